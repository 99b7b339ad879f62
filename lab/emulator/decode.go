package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"dillroute/lab/record"
)

// serveDecode serves the decode stage. If the request names no KV state and the engine may prefill, it serves both stages.
func (j *job) serveDecode() {
	hasState := j.request.Transfer != nil && j.request.Transfer.DoRemotePrefill
	if !hasState && !j.engine.LocalPrefill && j.engine.Role != roleMixed {
		j.reject(http.StatusConflict, "kv_state_required", "this engine reads no prompts")
		return
	}
	responseTokens := ResponseLength(j.digest, j.request.Mark, j.request.maxTokens())
	memoryTokens := j.tokens + responseTokens
	if !j.acquireSlotOrReject(memoryTokens) {
		return
	}
	defer j.releaseSlot(memoryTokens)
	defer j.record(record.AttemptEnded, "")
	if hasState {
		digest, err := j.fetchState()
		if err != nil {
			j.reject(http.StatusConflict, "kv_state_not_found", err.Error())
			return
		}
		if digest != j.digest {
			respondError(j.response, http.StatusInternalServerError, "kv_state_mismatch", "the state is of another prompt")
			return
		}
	} else if !j.readPrompt(j.tokens - j.cachePrompt()) {
		return
	}
	if j.canceled() {
		return
	}
	j.record(record.EffectStarted, "")
	if j.request.Stream {
		j.streamResponse(responseTokens)
	} else {
		j.sendResponse(responseTokens)
	}
}

// sendResponse generates the complete response and sends it without streaming.
func (j *job) sendResponse(tokens int) {
	created := time.Now().Unix()
	var text strings.Builder
	for i := range tokens {
		if !j.decodeStep() {
			return
		}
		text.WriteString(TokenText(j.digest, i))
	}
	j.response.Header().Set("Content-Type", "application/json")
	json.NewEncoder(j.response).Encode(map[string]any{
		"id":      "chatcmpl-" + j.requestID,
		"object":  "chat.completion",
		"created": created,
		"model":   j.request.Model,
		"usage":   j.usage(tokens),
		"choices": []any{map[string]any{
			"index":         0,
			"finish_reason": "stop",
			"message":       map[string]string{"role": "assistant", "content": text.String()},
		}},
	})
}

// streamResponse generates the response and sends each token as a server-sent event.
func (j *job) streamResponse(tokens int) {
	j.response.Header().Set("Content-Type", "text/event-stream")
	events := &eventWriter{job: j, faults: j.engine.faults.Load()}
	created := time.Now().Unix()
	for i := range tokens {
		if !j.decodeStep() {
			return
		}
		delta := map[string]any{"content": TokenText(j.digest, i)}
		if i == 0 {
			delta["role"] = "assistant"
		}
		if !events.send(j.deltaChunk(created, delta, nil)) {
			return
		}
	}
	if !events.send(j.deltaChunk(created, map[string]any{}, "stop")) {
		return
	}
	if j.request.StreamOptions.IncludeUsage {
		if !events.send(j.chunk(created, map[string]any{"choices": []any{}, "usage": j.usage(tokens)})) {
			return
		}
	}
	events.send("[DONE]")
}

// decodeStep waits for the duration of one decode step. It returns false if the job was canceled.
func (j *job) decodeStep() bool {
	return sleep(j.ctx, j.stepDuration()) && j.process.ctx.Err() == nil
}

// stepDuration returns the duration of a decode step under the current load and faults.
func (j *job) stepDuration() time.Duration {
	p := j.process
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	stepMS := j.engine.DecodeStepMS + j.engine.DecodeStepPerSequenceMS*float64(running)
	duration := stepMS / 1000 / j.engine.speedShare(p)
	if faults := j.engine.faults.Load(); faults.PauseMS > 0 {
		p.mu.Lock()
		if p.rng.Float64() < faults.PauseShare {
			duration += faults.PauseMS / 1000
		}
		p.mu.Unlock()
	}
	return seconds(duration)
}

func (j *job) usage(tokens int) map[string]any {
	return map[string]any{"prompt_tokens": j.tokens, "completion_tokens": tokens, "total_tokens": j.tokens + tokens}
}

// deltaChunk returns the JSON text of an event with a piece of the response. finishReason is nil in all events but the last.
func (j *job) deltaChunk(created int64, delta map[string]any, finishReason any) string {
	choice := map[string]any{"index": 0, "delta": delta, "finish_reason": finishReason}
	return j.chunk(created, map[string]any{"choices": []any{choice}})
}

// chunk returns the JSON text of an event with the given fields and those that all events of a response share.
func (j *job) chunk(created int64, fields map[string]any) string {
	fields["id"] = "chatcmpl-" + j.requestID
	fields["object"] = "chat.completion.chunk"
	fields["created"] = created
	fields["model"] = j.request.Model
	text, _ := json.Marshal(fields) // strings and numbers always encode
	return string(text)
}
