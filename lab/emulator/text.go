// Package emulator emulates the systems around a node: prefill, decode and mixed engines that speak the protocol of vLLM's
// disaggregated serving, and a Consul server that lists them. They are written from public specifications; no figure here was
// measured on a real engine. The engines and the Consul server inject faults on request, and the engines record what they see (lab/record).
package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of a prompt that identifies it.
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

// TokenText returns the token at a position of the response to a prompt. Its text contains the position, so that repeated or missing
// tokens and mixed-up responses are detected.
func TokenText(digest uint64, position int) string {
	x := digest ^ uint64(position)*0x9e3779b97f4a7c15 // mixed with the constants of splitmix64
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return vocabulary[x%uint64(len(vocabulary))] + strconv.Itoa(position) + " "
}

var vocabulary = strings.Fields("roster visit carer kōrero morning evening swap cover whānau travel shift break call kai note")

// ResponseLength returns the number of tokens of the response to a prompt; maxTokens 0 = no limit.
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

// ResponseText returns the text of a complete response of this many tokens.
func ResponseText(digest uint64, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(digest, i))
	}
	return b.String()
}

// ExpectedResponse returns the text of the complete response to a request, and its number of tokens.
func ExpectedResponse(messages []Message, mark Mark, maxTokens int) (text string, tokens int) {
	digest := Digest(messages)
	tokens = ResponseLength(digest, mark, maxTokens)
	return ResponseText(digest, tokens), tokens
}

// PromptText returns the text of a prompt of about this many tokens, generated from the seed.
func PromptText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := 0; b.Len() < tokens*4-8; i++ {
		b.WriteString(TokenText(seed, i))
	}
	return b.String()
}
