// Package http1 implements HTTP/1.1 (RFC 9112, RFC 9110) on net connections, as a server and as a client with a connection pool, and
// server-sent events. Header types and names are those of net/textproto. It rejects messages with ambiguous framing, because attackers
// exploit ambiguous framing against a router in front of other servers (request smuggling). It contains no routing: hooks of [Server]
// and [Pool] leave the decisions on closing and reusing connections to the caller. Node and protocols use it in place of net/http, which
// hides the connection state that the platform's rules depend on (was a byte sent, did the client disconnect).
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"net/textproto"
	"strings"
)

// Limits are the maximum sizes of the parts of one message.
type Limits struct {
	Line    int   // bytes of a request or status line
	Header  int   // bytes of all header fields together
	Headers int   // number of header fields
	Body    int64 // bytes of a body
}

// DefaultLimits are the limits of the published protocol page: 8 KiB, 32 KiB, 100 fields, and 4 MiB of body.
var DefaultLimits = Limits{Line: 8 << 10, Header: 32 << 10, Headers: 100, Body: 4 << 20}

// Error is returned for a message that cannot be accepted. Status is the status code to respond with.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// errLineTooLong is returned by readLine; callers replace it with an Error whose status depends on the kind of line.
var errLineTooLong = errors.New("http1: line too long")

// readLine reads a line of at most limit bytes and returns it without its CRLF. A bare LF or CR is an error, since two parsers may treat
// it differently.
func readLine(br *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := br.ReadSlice('\n')
		if len(line)+len(part) > limit+2 {
			return nil, errLineTooLong
		}
		if err == bufio.ErrBufferFull {
			line = append(line, part...)
			continue
		}
		if err != nil && len(line)+len(part) == 0 {
			return nil, err
		}
		if err != nil {
			return nil, &incompleteError{err}
		}
		if line != nil {
			part = append(line, part...)
		}
		return checkLine(part)
	}
}

// checkLine returns a line without its CRLF, or an error for a bare LF or CR or a NUL.
func checkLine(line []byte) ([]byte, error) {
	n := len(line)
	if n < 2 || line[n-2] != '\r' {
		return nil, newError(400, "line ends in a bare LF")
	}
	line = line[:n-2]
	for _, c := range line {
		if c == '\r' || c == 0 {
			return nil, newError(400, "control byte %#02x in a line", c)
		}
	}
	return line, nil
}

// incompleteError is a connection error or a timeout that occurred within a message rather than before it.
type incompleteError struct{ err error }

func (e *incompleteError) Error() string { return "http1: incomplete message: " + e.err.Error() }

func (e *incompleteError) Unwrap() error { return e.err }

// readHeader reads header fields up to the empty line.
func readHeader(br *bufio.Reader, lim Limits) (textproto.MIMEHeader, error) {
	h := make(textproto.MIMEHeader, 8)
	left, fields := lim.Header, 0
	for {
		line, err := readLine(br, left)
		if err == errLineTooLong {
			return nil, newError(431, "header fields exceed %d bytes", lim.Header)
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		left -= len(line) + 2
		if fields++; fields > lim.Headers {
			return nil, newError(431, "over %d header fields", lim.Headers)
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, newError(400, "folded header line")
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok {
			return nil, newError(400, "header line without a colon")
		}
		if !isToken(name) {
			return nil, newError(400, "header name %q is not a token", truncate(name))
		}
		value = textproto.TrimString(value)
		if i := strings.IndexFunc(value, isControl); i >= 0 {
			return nil, newError(400, "control byte in header %q", truncate(name))
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		h[key] = append(h[key], value)
	}
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return true
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}
