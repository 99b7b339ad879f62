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
	node      string // that sent it
	digest    uint64 // of the prompt
	tokens    int    // of the prompt
	prefill   bool   // it asks for the prefill stage alone
}

// record adds what happened to the job to the log; the note begins with the job's stage.
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
		Kind:   kind,
		Engine: j.engine.ID,
		Node:   j.node,
		Op:     mark.Operation,
		Try:    mark.Attempt,
		Class:  mark.Class,
		State:  j.requestID,
		Tokens: float64(j.tokens),
		Work:   work,
		Note:   stage,
	})
}

// reject responds with an error that says that the job never ran.
func (j *job) reject(status int, code, message string) {
	j.record(record.AttemptRejected, code)
	respondError(j.response, status, code, message)
}

// canceled reports whether the client has left or the engine has stopped.
func (j *job) canceled() bool { return j.ctx.Err() != nil || j.process.ctx.Err() != nil }

// acquireSlot waits for a slot and for memory, in a bounded queue. It returns false where the queue is full; otherwise releaseSlot
// must follow, also for a job that was canceled while it waited.
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
			break // the next sleep ends the job, and releaseSlot returns what is taken here
		}
		p.capacityChanged.Wait()
	}
	p.running++
	p.memoryTokens += memoryTokens
	return true
}

// releaseSlot returns the slot and the memory of acquireSlot.
func (j *job) releaseSlot(memoryTokens int) {
	p := j.process
	p.mu.Lock()
	p.running--
	p.memoryTokens -= memoryTokens
	p.capacityChanged.Broadcast()
	p.mu.Unlock()
}

// acquireSlotOrReject is acquireSlot that rejects the job where the queue is full.
func (j *job) acquireSlotOrReject(memoryTokens int) bool {
	if !j.acquireSlot(memoryTokens) {
		j.reject(http.StatusServiceUnavailable, "engine_full", "slots and queue are full")
		return false
	}
	return true
}
