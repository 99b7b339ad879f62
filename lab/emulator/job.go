package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"dillroute/lab/record"
)

// job is one request at an engine.
type job struct {
	e       *Engine
	r       *life
	w       http.ResponseWriter
	q       *request
	ctx     context.Context
	id      string // X-Request-Id
	node    string
	digest  uint64
	tokens  int
	prefill bool
}

func (j *job) note(k record.Kind, note string) {
	stage, work := "decode", float64(ResponseLength(j.digest, j.q.Mark, j.q.max()))
	if j.prefill {
		stage, work = "prefill", float64(j.tokens)
	}
	if note != "" {
		stage += " " + note
	}
	j.e.log.Add(record.Record{Kind: k, Engine: j.e.ID, Node: j.node, Op: j.q.Mark.Operation, Try: j.q.Mark.Attempt,
		Class: j.q.Mark.Class, State: j.id, Tokens: float64(j.tokens), Work: work, Note: stage})
}

func (j *job) turn(status int, code, message string) {
	j.note(record.Turned, code)
	fail(j.w, status, code, message)
}

// enter waits for a slot and memory, in a bounded queue. It tells whether the job may run; leave must follow.
func (j *job) enter(memory int) bool {
	r, e := j.r, j.e
	stop := context.AfterFunc(j.ctx, func() { r.mu.Lock(); r.free.Broadcast(); r.mu.Unlock() })
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running+r.waiting >= e.Slots+e.QueueLimit || memory > e.MemoryTokens {
		return false
	}
	r.waiting++
	defer func() { r.waiting-- }()
	for r.running >= e.Slots || r.memory+memory > e.MemoryTokens {
		if j.ctx.Err() != nil || r.ctx.Err() != nil {
			break // found out by the next sleep; leave gives back what is taken here
		}
		r.free.Wait()
	}
	r.running++
	r.memory += memory
	return true
}

func (j *job) leave(memory int) {
	r := j.r
	r.mu.Lock()
	r.running--
	r.memory -= memory
	r.free.Broadcast()
	r.mu.Unlock()
}

// admit is enter that answers for a full engine; ok false = answered or gone.
func (j *job) admit(memory int) bool {
	if !j.enter(memory) {
		j.turn(503, "engine_full", "slots and queue are full")
		return false
	}
	return true
}

// cached returns how many tokens of the prompt were kept, and keeps the whole.
func (j *job) cached() int {
	r := j.r
	r.mu.Lock()
	defer r.mu.Unlock()
	found, sum := 0, 0
	for i := range j.q.Messages {
		sum += tokensOf(j.q.Messages[i : i+1])
		key := Digest(j.q.Messages[:i+1])
		if n, ok := r.kept[key]; ok {
			found = n
			continue
		}
		r.kept[key] = sum
		r.order = append(r.order, key)
		r.keptSum += sum
	}
	for r.keptSum > j.e.MemoryTokens && len(r.order) > 1 {
		r.keptSum -= r.kept[r.order[0]]
		delete(r.kept, r.order[0])
		r.order = r.order[1:]
	}
	return found
}

// prompt spends the time of reading so many tokens, after the reads that came before.
func (j *job) prompt(tokens int) bool {
	r := j.r
	d := seconds(float64(tokens+50) / (j.e.PrefillTokensPerSecond * j.e.share(r)))
	r.mu.Lock()
	now := time.Now()
	if r.readAt.Before(now) {
		r.readAt = now
	}
	r.readAt = r.readAt.Add(d)
	until := r.readAt
	r.mu.Unlock()
	return sleep(j.ctx, time.Until(until)) && j.r.ctx.Err() == nil
}

// read serves the prefill stage.
func (j *job) read() {
	if !j.admit(j.tokens) {
		return
	}
	kept := j.cached()
	ok := j.prompt(j.tokens - kept)
	j.leave(j.tokens)
	if !ok {
		j.note(record.End, "gone")
		return
	}
	r := j.r
	r.mu.Lock()
	s := &state{digest: j.digest, tokens: j.tokens, created: time.Now(), mark: j.q.Mark}
	if slices.Contains(r.let[:], j.id) { // let go of while it was being read
		r.mu.Unlock()
		j.turn(410, "kv_released", "the request was released")
		return
	}
	r.states[j.id] = s
	r.memory += s.tokens
	r.mu.Unlock()
	j.note(record.Parsed, "")
	if j.e.faults.Load().LoseStates {
		j.e.drop(r, j.id, "lost")
	}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		if sleep(r.ctx, seconds(j.e.StateTTLSeconds)) {
			j.e.drop(r, j.id, "expired")
		}
	}()
	host, port, _ := net.SplitHostPort(j.e.Address())
	var n int
	fmt.Sscan(port, &n)
	j.w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(j.w).Encode(map[string]any{
		"id": "chatcmpl-" + j.id, "object": "chat.completion", "created": time.Now().Unix(), "model": j.q.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length",
			"message": map[string]string{"role": "assistant", "content": TokenText(j.digest, 0)}}},
		"usage": map[string]any{"prompt_tokens": j.tokens, "completion_tokens": 1, "total_tokens": j.tokens + 1,
			"prompt_tokens_details": map[string]int{"cached_tokens": kept}},
		"kv_transfer_params": map[string]any{"do_remote_prefill": true, "do_remote_decode": false,
			"remote_engine_id": j.e.ID, "remote_block_ids": []int{len(j.id)}, "remote_host": host, "remote_port": n},
	})
	if err != nil || j.ctx.Err() != nil {
		j.e.drop(r, j.id, "client left")
	}
}

// write serves the decode stage.
func (j *job) write() {
	has := j.q.Transfer != nil && j.q.Transfer.DoPrefill
	if !has && !j.e.LocalPrefill && j.e.Role != "mixed" {
		j.turn(409, "kv_state_required", "this engine reads no prompts")
		return
	}
	n := ResponseLength(j.digest, j.q.Mark, j.q.max())
	memory := j.tokens + n
	if !j.admit(memory) {
		return
	}
	defer j.leave(memory)
	defer j.note(record.End, "")
	if has {
		digest, err := j.fetch()
		if err != nil {
			j.turn(409, "kv_state_not_found", err.Error())
			return
		}
		if digest != j.digest {
			fail(j.w, 500, "kv_state_mismatch", "the state is of another prompt")
			return
		}
	} else if !j.prompt(j.tokens - j.cached()) {
		return
	}
	if j.ctx.Err() != nil || j.r.ctx.Err() != nil {
		return
	}
	j.note(record.Run, "")
	j.stream(n)
}

var fetcher = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second}}

// CloseIdleConnections ends the idle connections over which states are fetched.
func CloseIdleConnections() { fetcher.CloseIdleConnections() }

// fetch takes the state from the engine that read the prompt, over its socket.
func (j *job) fetch() (uint64, error) {
	t := j.q.Transfer
	if t.Host == nil || t.Port == nil {
		return 0, fmt.Errorf("the transfer parameters name no place")
	}
	ctx, cancel := context.WithTimeout(j.ctx, 10*time.Second)
	defer cancel()
	if f := j.e.faults.Load(); t.EngineID != nil && f.cutFrom(*t.EngineID) {
		return 0, fmt.Errorf("%s cannot be reached", *t.EngineID)
	}
	url := fmt.Sprintf("http://%s:%d/lab/kv/%s", *t.Host, *t.Port, j.id)
	hq, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := fetcher.Do(hq)
	if err != nil {
		return 0, fmt.Errorf("the state cannot be fetched: %w", err)
	}
	defer resp.Body.Close()
	var s struct {
		Digest uint64 `json:"digest"`
	}
	if resp.StatusCode != 200 {
		io.Copy(io.Discard, resp.Body)
		return 0, fmt.Errorf("the state is not there")
	}
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s.Digest, err
}

// stream makes the answer, token by token.
func (j *job) stream(n int) {
	f := j.e.faults.Load()
	if j.q.Stream {
		j.w.Header().Set("Content-Type", "text/event-stream")
	}
	out := &eventWriter{j: j, f: f}
	created := time.Now().Unix()
	var whole strings.Builder
	for i := range n {
		if !sleep(j.ctx, j.step()) || j.r.ctx.Err() != nil {
			return
		}
		whole.WriteString(TokenText(j.digest, i))
		if !j.q.Stream {
			continue
		}
		delta := map[string]any{"content": TokenText(j.digest, i)}
		if i == 0 {
			delta["role"] = "assistant"
		}
		if !out.event(j.chunk(created, delta, nil)) {
			return
		}
	}
	usage := map[string]any{"prompt_tokens": j.tokens, "completion_tokens": n, "total_tokens": j.tokens + n}
	if !j.q.Stream {
		j.w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(j.w).Encode(map[string]any{"id": "chatcmpl-" + j.id, "object": "chat.completion",
			"created": created, "model": j.q.Model, "usage": usage, "choices": []any{map[string]any{"index": 0,
				"finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": whole.String()}}}})
		return
	}
	if !out.event(j.chunk(created, map[string]any{}, "stop")) {
		return
	}
	if j.q.Options.Usage {
		b, _ := json.Marshal(map[string]any{"id": "chatcmpl-" + j.id, "object": "chat.completion.chunk",
			"created": created, "model": j.q.Model, "choices": []any{}, "usage": usage})
		if !out.event(string(b)) {
			return
		}
	}
	out.event("[DONE]")
}

// step is the time of a token now.
func (j *job) step() time.Duration {
	j.r.mu.Lock()
	running := j.r.running
	j.r.mu.Unlock()
	d := (j.e.DecodeStepMS + j.e.DecodeStepPerSequenceMS*float64(running)) / 1000 / j.e.share(j.r)
	if f := j.e.faults.Load(); f.PauseMS > 0 {
		j.r.mu.Lock()
		if j.r.rng.Float64() < f.PauseShare {
			d += f.PauseMS / 1000
		}
		j.r.mu.Unlock()
	}
	return seconds(d)
}

func (j *job) chunk(created int64, delta map[string]any, finish any) string {
	b, _ := json.Marshal(map[string]any{"id": "chatcmpl-" + j.id, "object": "chat.completion.chunk", "created": created,
		"model": j.q.Model, "choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}}})
	return string(b)
}
