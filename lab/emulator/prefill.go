package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"dillroute/lab/record"
)

// prefixCache records which prefixes of prompts an engine has cached. The oldest are evicted first.
type prefixCache struct {
	tokens map[uint64]int // length of a prefix, by digest of its messages
	order  []uint64       // oldest first
	total  int            // sum of tokens
}

// add caches every prefix of a prompt, and returns how many of its tokens were already cached. If the cache then holds more than
// limitTokens, it evicts the oldest prefixes.
func (c *prefixCache) add(messages []Message, limitTokens int) (cachedTokens int) {
	sum := 0
	for i := range messages {
		sum += tokensOf(messages[i : i+1])
		key := Digest(messages[:i+1])
		if tokens, found := c.tokens[key]; found {
			cachedTokens = tokens
			continue
		}
		c.tokens[key] = sum
		c.order = append(c.order, key)
		c.total += sum
	}
	for c.total > limitTokens && len(c.order) > 1 {
		oldest := c.order[0]
		c.total -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.order = c.order[1:]
	}
	return cachedTokens
}

// cachePrompt caches the prompt, and returns how many of its tokens were already cached.
func (j *job) cachePrompt() (cachedTokens int) {
	j.process.mu.Lock()
	defer j.process.mu.Unlock()
	return j.process.prefixes.add(j.request.Messages, j.engine.MemoryTokens)
}

// prefillOverheadTokens is the cost of a prefill in addition to its tokens, expressed as a number of tokens.
const prefillOverheadTokens = 50

// readPrompt waits for the duration of a prefill of this many tokens, which begins after the engine's earlier prefills have ended. It
// returns false if the job was canceled.
func (j *job) readPrompt(tokens int) bool {
	p := j.process
	duration := seconds(float64(tokens+prefillOverheadTokens) / (j.engine.PrefillTokensPerSecond * j.engine.speedShare(p)))
	p.mu.Lock()
	now := time.Now()
	if p.prefillBusyUntil.Before(now) {
		p.prefillBusyUntil = now
	}
	p.prefillBusyUntil = p.prefillBusyUntil.Add(duration)
	until := p.prefillBusyUntil
	p.mu.Unlock()
	return sleep(j.ctx, time.Until(until)) && p.ctx.Err() == nil
}

// servePrefill serves the prefill stage.
func (j *job) servePrefill() {
	if !j.acquireSlotOrReject(j.tokens) {
		return
	}
	cachedTokens := j.cachePrompt()
	completed := j.readPrompt(j.tokens - cachedTokens)
	j.releaseSlot(j.tokens)
	if !completed {
		j.record(record.AttemptEnded, "gone")
		return
	}
	if !j.storeState() {
		j.reject(http.StatusGone, "kv_released", "the request was released")
		return
	}
	j.record(record.StateReserved, "")
	if j.engine.faults.Load().LoseStates {
		j.engine.endState(j.process, j.requestID, "lost")
	}
	j.expireState()
	j.response.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(j.response).Encode(j.prefillResponse(cachedTokens))
	if err != nil || j.ctx.Err() != nil {
		j.engine.endState(j.process, j.requestID, "client left")
	}
}

// storeState reserves memory for the KV state. It returns false if the request was released during the prefill.
func (j *job) storeState() bool {
	p := j.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released.contains(j.requestID) {
		return false
	}
	p.states[j.requestID] = &kvState{digest: j.digest, tokens: j.tokens, mark: j.request.Mark}
	p.memoryTokens += j.tokens
	return true
}

// expireState starts a goroutine that drops the state if it has not been fetched or released within its TTL. The goroutine ends early if
// the engine stops.
func (j *job) expireState() {
	p := j.process
	p.handlers.Add(1)
	go func() {
		defer p.handlers.Done()
		if sleep(p.ctx, seconds(j.engine.StateTTLSeconds)) {
			j.engine.endState(p, j.requestID, "expired")
		}
	}()
}

// prefillResponse returns the response of the prefill stage. It holds the parameters with which a decode engine fetches the state.
func (j *job) prefillResponse(cachedTokens int) map[string]any {
	host, portText, _ := net.SplitHostPort(j.engine.Address())
	port, _ := strconv.Atoi(portText)
	return map[string]any{
		"id":      "chatcmpl-" + j.requestID,
		"object":  "chat.completion",
		"created": time.Now().Unix(),
		"model":   j.request.Model,
		"choices": []any{map[string]any{
			"index":         0,
			"finish_reason": "length",
			"message":       map[string]string{"role": "assistant", "content": TokenText(j.digest, 0)},
		}},
		"usage": map[string]any{
			"prompt_tokens":         j.tokens,
			"completion_tokens":     1,
			"total_tokens":          j.tokens + 1,
			"prompt_tokens_details": map[string]int{"cached_tokens": cachedTokens},
		},
		"kv_transfer_params": map[string]any{
			"do_remote_prefill": true,
			"do_remote_decode":  false,
			"remote_engine_id":  j.engine.ID,
			"remote_block_ids":  []int{len(j.requestID)},
			"remote_host":       host,
			"remote_port":       port,
		},
	}
}
