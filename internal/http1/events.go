package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// EventReader reads server-sent events (WHATWG HTML, section 9.2) and keeps each as the bytes that came.
type EventReader struct {
	Comment func(line []byte) // is told comment lines; nil = nobody is
	br      *bufio.Reader
	max     int
	raw     []byte
	dat     []byte
}

// ErrEventTooLong tells of an event beyond the reader's bound.
var ErrEventTooLong = errors.New("http1: event too long")

var eventBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2<<10) }}

// NewEventReader reads events of at most max bytes each. Close gives its buffer back.
func NewEventReader(r io.Reader, max int) *EventReader {
	br := eventBuffers.Get().(*bufio.Reader)
	br.Reset(r)
	return &EventReader{br: br, max: max}
}

// Close ends the use of the reader.
func (e *EventReader) Close() {
	if e.br != nil {
		e.br.Reset(nil)
		eventBuffers.Put(e.br)
		e.br = nil
	}
}

// Next returns the data of the next event that has any, and the event as it came, with the empty line. Both
// hold until the next call. The error is io.EOF where the stream ended between events.
func (e *EventReader) Next() (data, raw []byte, err error) {
	if cap(e.raw) > 64<<10 {
		e.raw, e.dat = nil, nil
	}
	e.raw, e.dat = e.raw[:0], e.dat[:0]
	has := false
	for {
		start := len(e.raw)
		for {
			part, err := e.br.ReadSlice('\n')
			if len(e.raw)+len(part) > e.max {
				return nil, nil, ErrEventTooLong
			}
			e.raw = append(e.raw, part...)
			if err == nil {
				break
			}
			if err != bufio.ErrBufferFull {
				if err == io.EOF && len(e.raw) > 0 {
					err = io.ErrUnexpectedEOF
				}
				return nil, nil, err
			}
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if has {
				return e.dat, e.raw, nil
			}
			e.raw, e.dat = e.raw[:0], e.dat[:0] // a comment, or an event without data
			continue
		}
		if line[0] == ':' && e.Comment != nil {
			e.Comment(line)
		}
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if has {
				e.dat = append(e.dat, '\n')
			}
			has = true
			e.dat = append(e.dat, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}

// More tells whether Next would return a further event without waiting for the peer. A comment at hand is none: an
// event that was kept back for it would wait as long as the peer does.
func (e *EventReader) More() bool {
	b, _ := e.br.Peek(e.br.Buffered())
	return bytes.HasPrefix(b, []byte("data:")) && bytes.Contains(b, []byte("\n\n"))
}

// AppendEvent appends an event with the data given, which holds no line end.
func AppendEvent(b, data []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
