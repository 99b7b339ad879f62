package front

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// message holds the members of a message that are read.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readMessages estimates the tokens of the prompt, and hashes the tools and the leading system and developer messages, which other
// sessions may share.
func (c *Chat) readMessages() error {
	raw := c.Object.Get("messages")
	var ms []message
	if raw == nil || json.Unmarshal(raw, &ms) != nil {
		return &FieldError{"messages", "must be a list of messages"}
	}
	if len(ms) == 0 || len(ms) > maxMessages {
		return &FieldError{"messages", fmt.Sprintf("must hold 1 to %d messages", maxMessages)}
	}
	h, leading, tokens := xxhash.New(), true, 0
	if tools := c.Object.Get("tools"); tools != nil {
		h.Write(tools)
		tokens += estimateTokens(string(tools))
		c.PrefixTokens = tokens
	}
	for i, m := range ms {
		text, err := contentText(m.Content)
		if err != nil {
			return &FieldError{fmt.Sprintf("messages[%d].content", i), err.Error()}
		}
		switch m.Role {
		case "system", "developer":
			if leading {
				h.WriteString(m.Role)
				h.WriteString("\x00")
				h.WriteString(text)
				c.PrefixTokens = tokens + estimateTokens(text) + tokensPerMessage
			}
		case "user", "assistant", "tool", "function":
			leading = false
		default:
			return &FieldError{fmt.Sprintf("messages[%d].role", i),
				fmt.Sprintf("%q is not system, developer, user, assistant or tool", truncate(m.Role))}
		}
		tokens += estimateTokens(text) + tokensPerMessage
	}
	c.PromptTokens = tokens
	if c.PrefixTokens > 0 {
		c.Prefix = strconv.FormatUint(h.Sum64(), 16)
	}
	return nil
}

// tokensPerMessage is the overhead of the delimiters around a message, in tokens.
const tokensPerMessage = 4

// charsPerToken is the mean number of ASCII characters in a token.
const charsPerToken = 4

// estimateTokens estimates the number of tokens of a text: one for each charsPerToken ASCII characters, and one for each non-ASCII
// character. The error is some tens of percent.
func estimateTokens(text string) int {
	runes := utf8.RuneCountInString(text)
	nonASCII := 0
	for i := range len(text) {
		if text[i] >= 0xc0 {
			nonASCII++
		}
	}
	return int(math.Ceil(float64(runes-nonASCII)/charsPerToken)) + nonASCII
}

// contentText returns the text of a message's content, which is a string or a list of parts.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil // an assistant message that has only tool calls
	}
	if raw[0] == '"' {
		var s string
		err := json.Unmarshal(raw, &s)
		return s, err
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", fmt.Errorf("is neither a string nor a list of parts")
	}
	text := ""
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}
