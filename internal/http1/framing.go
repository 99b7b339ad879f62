package http1

import (
	"net/textproto"
	"strings"
)

// framing says how a body is delimited.
type framing struct {
	chunked bool
	length  int64 // -1 = none stated
}

// readFraming settles the length of a body from Transfer-Encoding and Content-Length, and rejects any message
// for which two readers could settle it differently (RFC 9112, section 6.3).
func readFraming(h textproto.MIMEHeader, minor int) (framing, error) {
	te, hasTE := h["Transfer-Encoding"]
	cl, hasCL := h["Content-Length"]
	if hasTE {
		if hasCL {
			return framing{}, bad(400, "both Content-Length and Transfer-Encoding")
		}
		if minor == 0 {
			return framing{}, bad(400, "Transfer-Encoding in HTTP/1.0")
		}
		if len(te) != 1 || !strings.EqualFold(te[0], "chunked") {
			if len(te) == 1 && isToken(te[0]) {
				return framing{}, bad(501, "transfer coding %q is not known", clip(te[0]))
			}
			return framing{}, bad(400, "Transfer-Encoding is not one final chunked")
		}
		return framing{chunked: true, length: -1}, nil
	}
	if !hasCL {
		return framing{length: -1}, nil
	}
	length := int64(-1)
	for _, field := range cl {
		for _, v := range strings.Split(field, ",") {
			n, ok := decimal(textproto.TrimString(v))
			if !ok {
				return framing{}, bad(400, "Content-Length %q is not a number", clip(v))
			}
			if length >= 0 && n != length {
				return framing{}, bad(400, "Content-Length given twice, differently")
			}
			length = n
		}
	}
	return framing{length: length}, nil
}

// decimal reads digits alone: no sign, no space, at most 18 of them.
func decimal(s string) (int64, bool) {
	if s == "" || len(s) > 18 {
		return 0, false
	}
	n := int64(0)
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int64(s[i]-'0')
	}
	return n, true
}

// hasWord tells whether a comma-separated header names a word, whatever its case.
func hasWord(values []string, word string) bool {
	for _, v := range values {
		for _, w := range strings.Split(v, ",") {
			if strings.EqualFold(textproto.TrimString(w), word) {
				return true
			}
		}
	}
	return false
}
