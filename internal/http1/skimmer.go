package http1

import (
	"bufio"
	"bytes"
)

// skimmer finds the ends of requests in bytes that are not kept. A client that sends more requests at once than may be read ahead gets a
// rejection for each request that was skimmed, in order, and its disconnect is noticed behind them.
type skimmer struct {
	limits   Limits
	head     []byte // of the request that is being read, as far as it is incomplete
	body     int64  // bytes of that request's body that are still to come
	complete int    // requests that were read and have no response yet
	err      error  // a request is malformed or its end cannot be found; the bytes behind its beginning are ignored

	offset   int // bytes that were added
	boundary int // offset of the end of the last complete request
}

// headEnd ends the head of a request. The parser accepts no other line endings.
var headEnd = []byte("\r\n\r\n")

// errNotSkimmed is the response to a request whose end cannot be found without interpreting its body.
var errNotSkimmed = &Error{503, "too many bytes were sent at once"}

// add processes bytes that follow those that were added before.
func (s *skimmer) add(p []byte) {
	for len(p) > 0 && s.err == nil {
		n := s.addToBody(p)
		if n == 0 {
			n = s.addToHead(p)
		}
		s.offset += n
		p = p[n:]
		if len(s.head) == 0 && s.body == 0 && s.err == nil {
			s.complete++
			s.boundary = s.offset
		}
	}
}

// addToBody skips bytes of a body and returns their number.
func (s *skimmer) addToBody(p []byte) int {
	n := int(min(s.body, int64(len(p))))
	s.body -= int64(n)
	return n
}

// addToHead adds bytes to a head and returns their number. If they end the head, it parses it.
func (s *skimmer) addToHead(p []byte) int {
	searched := max(0, len(s.head)-len(headEnd)+1) // the end may have begun in the bytes before p
	previous := len(s.head)
	s.head = append(s.head, p...)
	i := bytes.Index(s.head[searched:], headEnd)
	if i < 0 {
		if len(s.head) > s.limits.Line+s.limits.Header {
			s.err = newError(431, "the head exceeds %d bytes", s.limits.Line+s.limits.Header)
		}
		return len(p)
	}
	length := searched + i + len(headEnd)
	s.parseHead(s.head[:length])
	s.head = nil
	return length - previous
}

func (s *skimmer) parseHead(head []byte) {
	request, err := ReadRequest(bufio.NewReader(bytes.NewReader(head)), s.limits)
	switch {
	case err != nil:
		s.err = err
	case request.frame.chunked, request.expectsContinue:
		s.err = errNotSkimmed
	default:
		s.body = max(0, request.frame.length)
	}
}
