// Package emulator emulates the systems around a node: prefill, decode and mixed engines that speak the protocol of vLLM's
// disaggregated serving, and a Consul server that lists them. They were written for the project, from public specifications; nothing
// here is a measurement of a real engine. Engines and list server have faults on command, and record what they see (lab/record).
package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest names a prompt.
func Digest(messages []Message) uint64 {
	h := xxhash.New()
	for _, m := range messages {
		h.WriteString(m.Role)
		h.WriteString("\x00")
		h.WriteString(m.Content)
		h.WriteString("\x01")
	}
	return h.Sum64()
}

// TokenText returns the text of a response at a position. It holds the position, so that any repetition, gap or confusion of
// responses shows.
func TokenText(digest uint64, position int) string {
	x := digest ^ uint64(position)*0x9e3779b97f4a7c15 // the mixing steps of splitmix64
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return vocabulary[x%uint64(len(vocabulary))] + strconv.Itoa(position) + " "
}

var vocabulary = strings.Fields("roster visit carer kōrero morning evening swap cover whānau travel shift break call kai note")

// ResponseLength returns how many tokens the response to a prompt has.
func ResponseLength(digest uint64, mark Mark, maxTokens int) int {
	tokens := mark.ResponseTokens
	if tokens <= 0 {
		tokens = 8 + int(digest%24)
	}
	if maxTokens > 0 {
		tokens = min(tokens, maxTokens)
	}
	return tokens
}

// ResponseText returns the text of a complete response.
func ResponseText(digest uint64, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(digest, i))
	}
	return b.String()
}

// ExpectedResponse returns the complete response to a request, and how many tokens it has.
func ExpectedResponse(messages []Message, mark Mark, maxTokens int) (text string, tokens int) {
	digest := Digest(messages)
	tokens = ResponseLength(digest, mark, maxTokens)
	return ResponseText(digest, tokens), tokens
}

// PromptText returns the text of a prompt of about so many tokens.
func PromptText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := 0; b.Len() < tokens*4-8; i++ {
		b.WriteString(TokenText(seed, i))
	}
	return b.String()
}
