// Package emulator plays the systems around a node: prefill, decode and mixed engines that speak the protocol of
// vLLM's disaggregated serving, and clients. They are written for the project, from public specifications; nothing
// here is a measurement of a real engine.
package emulator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Mark travels in a request as the unknown member "x_lab", which a router must pass on untouched. Engines record
// by it, and it fixes the length of the answer.
type Mark struct {
	Operation      string `json:"op"`
	Attempt        int    `json:"try"`
	Class          string `json:"class"`
	ResponseTokens int    `json:"answer,omitempty"` // tokens of the answer; 0 = a length drawn from the prompt
}

// Message is a message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Digest names a prompt.
func Digest(ms []Message) uint64 {
	h := xxhash.New()
	for _, m := range ms {
		h.WriteString(m.Role)
		h.WriteString("\x00")
		h.WriteString(m.Content)
		h.WriteString("\x01")
	}
	return h.Sum64()
}

// TokenText returns the text of an answer at a position. It holds the position, so that any repeat, gap or mix-up of
// answers shows.
func TokenText(digest uint64, i int) string {
	x := digest ^ uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return words[x%uint64(len(words))] + strconv.Itoa(i) + " "
}

var words = strings.Fields("roster visit carer kōrero morning evening swap cover whānau travel shift break call kai note")

// ResponseLength returns how many tokens the answer to a prompt has.
func ResponseLength(digest uint64, mark Mark, max int) int {
	n := mark.ResponseTokens
	if n <= 0 {
		n = 8 + int(digest%24)
	}
	if max > 0 {
		n = min(n, max)
	}
	return n
}

// ResponseText returns a whole answer.
func ResponseText(digest uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(digest, i))
	}
	return b.String()
}

// tokensOf estimates the tokens of a prompt, as the node does for plain text.
func tokensOf(ms []Message) int {
	n := 0
	for _, m := range ms {
		n += (len(m.Content)+3)/4 + 4
	}
	return n
}

// request is a chat request as an engine reads it.
type request struct {
	Model       string    `json:"model"`
	Messages    []Message `json:"messages"`
	Stream      bool      `json:"stream"`
	MaxTokens   int       `json:"max_tokens"`
	MaxComplete int       `json:"max_completion_tokens"`
	Options     struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	Transfer *transfer `json:"kv_transfer_params"`
	Mark     Mark      `json:"x_lab"`
}

// transfer is the engine protocol's word on a state.
type transfer struct {
	DoDecode  bool            `json:"do_remote_decode"`
	DoPrefill bool            `json:"do_remote_prefill"`
	EngineID  *string         `json:"remote_engine_id"`
	BlockIDs  json.RawMessage `json:"remote_block_ids"`
	Host      *string         `json:"remote_host"`
	Port      *int            `json:"remote_port"`
}

func (q *request) max() int {
	if q.MaxComplete > 0 {
		return q.MaxComplete
	}
	return q.MaxTokens
}
