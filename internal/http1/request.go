package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"net/textproto"
	"strings"
)

// Request is a parsed request. ReadBody reads its body.
type Request struct {
	Method, Path, Query string
	Minor               int // minor version of HTTP/1.x
	Header              textproto.MIMEHeader
	Body                []byte
	closesConnection    bool // the connection closes after the response
	expectsContinue     bool // the client waits for 100 Continue before it sends the body
	frame               framing
}

// ReadRequest reads a request up to the end of its header. An *Error has the status to respond with; any other error is a connection
// error or a timeout.
func ReadRequest(br *bufio.Reader, lim Limits) (*Request, error) {
	line, err := readLine(br, lim.Line)
	if err == nil && len(line) == 0 { // RFC 9112, section 2.2: skip one empty line before the request line
		line, err = readLine(br, lim.Line)
	}
	if err == errLineTooLong {
		return nil, newError(414, "request line exceeds %d bytes", lim.Line)
	}
	if err != nil {
		return nil, err
	}
	q := &Request{}
	if err := q.parseLine(string(line)); err != nil {
		return nil, err
	}
	if q.Header, err = readHeader(br, lim); err != nil {
		return nil, err
	}
	return q, q.checkHeader(lim)
}

// parseLine parses a request line: the method, the target and the version.
func (q *Request) parseLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return newError(400, "request line has not three parts")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !isToken(method) {
		return newError(400, "method is not a token")
	}
	switch version {
	case "HTTP/1.1":
		q.Minor = 1
	case "HTTP/1.0":
	default:
		if strings.HasPrefix(version, "HTTP/") && len(version) == len("HTTP/1.1") {
			return newError(505, "version %q is not spoken", truncate(version))
		}
		return newError(400, "version %q is malformed", truncate(version))
	}
	if strings.IndexFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }) >= 0 {
		return newError(400, "target holds a byte that it may not")
	}
	if rest, ok := cutScheme(target); ok { // absolute form, RFC 9112, section 3.2.2
		_, path, _ := strings.Cut(rest, "/")
		target = "/" + path
	}
	if !strings.HasPrefix(target, "/") && !(target == "*" && method == "OPTIONS") {
		return newError(400, "target is neither a path nor an absolute address")
	}
	q.Method = method
	q.Path, q.Query, _ = strings.Cut(target, "?")
	return nil
}

func cutScheme(target string) (rest string, ok bool) {
	for _, s := range []string{"http://", "https://"} {
		if len(target) >= len(s) && strings.EqualFold(target[:len(s)], s) {
			return target[len(s):], true
		}
	}
	return "", false
}

// checkHeader checks the header fields that concern the connection and the body.
func (q *Request) checkHeader(lim Limits) error {
	hosts := q.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && q.Minor == 1 {
		return newError(400, "%d Host fields, one is wanted", len(hosts))
	}
	if len(hosts) == 1 && strings.IndexFunc(hosts[0], func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`/?#@\,`, r)
	}) >= 0 {
		return newError(400, "Host is malformed")
	}
	var err error
	if q.frame, err = readFraming(q.Header, q.Minor); err != nil {
		return err
	}
	if q.frame.length > lim.Body {
		return newError(413, "body of %d bytes exceeds %d", q.frame.length, lim.Body)
	}
	connection := q.Header["Connection"]
	q.closesConnection = hasListToken(connection, "close") || q.Minor == 0 && !hasListToken(connection, "keep-alive")
	if expect, ok := q.Header["Expect"]; ok {
		if len(expect) != 1 || !strings.EqualFold(expect[0], "100-continue") {
			return newError(417, "expectation %q is not known", truncate(expect[0]))
		}
		q.expectsContinue = q.Minor == 1 && (q.frame.chunked || q.frame.length > 0)
	}
	return nil
}

// ReadBody reads the whole body into q.Body.
func (q *Request) ReadBody(br *bufio.Reader, lim Limits) error {
	switch {
	case q.frame.chunked:
		body, err := readChunked(br, lim)
		q.Body = body
		return err
	case q.frame.length > 0:
		q.Body = make([]byte, q.frame.length)
		if _, err := io.ReadFull(br, q.Body); err != nil {
			return &incompleteError{err}
		}
	}
	return nil
}

// readChunked reads a chunked body and its trailer, which is discarded.
func readChunked(br *bufio.Reader, lim Limits) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(br), lim.Body+1))
	if int64(len(body)) > lim.Body {
		return nil, newError(413, "chunked body exceeds %d bytes", lim.Body)
	}
	if err != nil {
		if isConnectionError(err) {
			return nil, &incompleteError{err}
		}
		return nil, newError(400, "chunked body: %v", err)
	}
	return body, readTrailer(br, lim)
}

func readTrailer(br *bufio.Reader, lim Limits) error {
	_, err := readHeader(br, lim)
	if err != nil && isConnectionError(err) {
		return &incompleteError{err}
	}
	return err
}

// isConnectionError reports whether err is a connection error or a timeout, and not an error in the bytes received.
func isConnectionError(err error) bool {
	var timeout interface{ Timeout() bool }
	var incomplete *incompleteError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &timeout) || errors.As(err, &incomplete)
}

// Target returns the request target as it was sent, without the scheme and host of one in absolute form.
func (q *Request) Target() string {
	if q.Query == "" {
		return q.Path
	}
	return q.Path + "?" + q.Query
}
