package http1

import (
	"net/textproto"
	"strings"
)

// framing is how a body is delimited.
type framing struct {
	chunked bool
	length  int64 // in bytes; -1 = no Content-Length
}

// readFraming determines the length of a body from Transfer-Encoding and Content-Length. It rejects any message whose length two
// recipients could determine differently (RFC 9112, section 6.3).
func readFraming(h textproto.MIMEHeader, minor int) (framing, error) {
	codings, hasCoding := h["Transfer-Encoding"]
	lengths, hasLength := h["Content-Length"]
	switch {
	case hasCoding && hasLength:
		return framing{}, newError(400, "both Content-Length and Transfer-Encoding")
	case hasCoding:
		return codingFraming(codings, minor)
	case hasLength:
		return lengthFraming(lengths)
	}
	return framing{length: -1}, nil
}

// codingFraming parses Transfer-Encoding, which must be exactly chunked.
func codingFraming(codings []string, minor int) (framing, error) {
	switch {
	case minor == 0:
		return framing{}, newError(400, "Transfer-Encoding in HTTP/1.0")
	case len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		return framing{chunked: true, length: -1}, nil
	case len(codings) == 1 && isToken(codings[0]):
		return framing{}, newError(501, "transfer coding %q is not known", truncate(codings[0]))
	}
	return framing{}, newError(400, "Transfer-Encoding is not one final chunked")
}

// lengthFraming parses Content-Length. Repeated values must be the same number.
func lengthFraming(fields []string) (framing, error) {
	length := int64(-1)
	for _, field := range fields {
		for _, v := range strings.Split(field, ",") {
			n, ok := decimal(textproto.TrimString(v))
			if !ok {
				return framing{}, newError(400, "Content-Length %q is not a number", truncate(v))
			}
			if length >= 0 && n != length {
				return framing{}, newError(400, "Content-Length given twice, differently")
			}
			length = n
		}
	}
	return framing{length: length}, nil
}

// decimal parses a number of at most 18 digits, without sign or spaces.
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

// hasListToken reports whether a comma-separated header field contains a token, ignoring case.
func hasListToken(values []string, token string) bool {
	for _, v := range values {
		for _, listed := range strings.Split(v, ",") {
			if strings.EqualFold(textproto.TrimString(listed), token) {
				return true
			}
		}
	}
	return false
}
