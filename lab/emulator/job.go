package emulator

import (
	"context"
	"net/http"

	"dillroute/lab/record"
)

// job is one chat request at an engine.
type job struct {
	engine    *Engine
	process   *process
	response  http.ResponseWriter
	request   *request
	ctx       context.Context
	requestID string // X-Request-Id
	node      string // the node that sent the request
	digest    uint64 // of the prompt
	tokens    int    // of the prompt
	prefill   bool   // the request is for the prefill stage only
}

// record adds an event of the job to the log. The record's note begins with the job's stage.
func (j *job) record(kind record.Kind, note string) {
	mark := j.request.Mark
	stage := "decode"
	work := float64(ResponseLength(j.digest, mark, j.request.maxTokens()))
	if j.prefill {
		stage = "prefill"
		work = float64(j.tokens)
	}
	if note != "" {
		stage += " " + note
	}
	j.engine.log.Add(record.Record{
		Kind:    kind,
		Engine:  j.engine.ID,
		Node:    j.node,
		Op:      mark.Operation,
		Attempt: mark.Attempt,
		Class:   mark.Class,
		State:   j.requestID,
		Tokens:  float64(j.tokens),
		Work:    work,
		Note:    stage,
	})
}

// reject responds with an error and records the rejection. The error means that the job was not run.
func (j *job) reject(status int, code, message string) {
	j.record(record.AttemptRejected, code)
	respondError(j.response, status, code, message)
}

// canceled reports whether the client has disconnected or the engine has stopped.
func (j *job) canceled() bool { return j.ctx.Err() != nil || j.process.ctx.Err() != nil }

// acquireSlot waits in a bounded queue for a slot and memory. It returns false if the queue is full or the job needs more memory than
// the engine has. Otherwise the caller must call releaseSlot, even if the job was canceled while it waited.
func (j *job) acquireSlot(memoryTokens int) bool {
	p, e := j.process, j.engine
	stop := context.AfterFunc(j.ctx, p.wakeQueue)
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running+p.waiting >= e.Slots+e.QueueLimit || memoryTokens > e.MemoryTokens {
		return false
	}
	p.waiting++
	defer func() { p.waiting-- }()
	for p.running >= e.Slots || p.memoryTokens+memoryTokens > e.MemoryTokens {
		if j.canceled() {
			break // the job ends at its next sleep, and releaseSlot releases the slot and memory acquired here
		}
		p.capacityChanged.Wait()
	}
	p.running++
	p.memoryTokens += memoryTokens
	return true
}

// releaseSlot releases the slot and memory that acquireSlot acquired.
func (j *job) releaseSlot(memoryTokens int) {
	p := j.process
	p.mu.Lock()
	p.running--
	p.memoryTokens -= memoryTokens
	p.capacityChanged.Broadcast()
	p.mu.Unlock()
}

// acquireSlotOrReject calls acquireSlot and rejects the job if that returns false.
func (j *job) acquireSlotOrReject(memoryTokens int) bool {
	if !j.acquireSlot(memoryTokens) {
		j.reject(http.StatusServiceUnavailable, "engine_full", "slots and queue are full")
		return false
	}
	return true
}
