package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// EventReader reads server-sent events (WHATWG HTML, section 9.2), and returns their raw bytes as well as their data. It is not safe for
// concurrent use.
type EventReader struct {
	Comment  func(line []byte) // called with each comment line; may be nil
	buffered *bufio.Reader
	max      int
	raw      []byte
	data     []byte
}

// ErrEventTooLong is returned for an event that exceeds the reader's size limit.
var ErrEventTooLong = errors.New("http1: event too long")

var eventBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2<<10) }}

// NewEventReader returns a reader of events of at most max bytes each. The caller must call Close, which returns its buffer to a pool.
func NewEventReader(r io.Reader, max int) *EventReader {
	br := eventBuffers.Get().(*bufio.Reader)
	br.Reset(r)
	return &EventReader{buffered: br, max: max}
}

// Close releases the reader's buffer. The reader must not be used afterwards.
func (e *EventReader) Close() {
	if e.buffered != nil {
		e.buffered.Reset(nil)
		eventBuffers.Put(e.buffered)
		e.buffered = nil
	}
}

// Next returns the data of the next event that has any, and the raw bytes of the event including the empty line that ends it. Both are
// valid until the next call. The error is io.EOF if the stream ended between two events.
func (e *EventReader) Next() (data, raw []byte, err error) {
	if cap(e.raw) > 64<<10 {
		e.raw, e.data = nil, nil
	}
	e.raw, e.data = e.raw[:0], e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, e.raw, nil
			}
			e.raw, e.data = e.raw[:0], e.data[:0] // a comment, or an event without data
			continue
		}
		if line[0] == ':' && e.Comment != nil {
			e.Comment(line)
		}
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if hasData {
				e.data = append(e.data, '\n')
			}
			hasData = true
			e.data = append(e.data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}

// readLine appends a line to the raw bytes of the event and returns it without its line ending.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := e.buffered.ReadSlice('\n')
		if len(e.raw)+len(part) > e.max {
			return nil, ErrEventTooLong
		}
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case err == io.EOF && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// More reports whether Next would return a further event without waiting for the peer. It does not count a buffered comment. The
// caller delays an event in order to write it together with the next one, and the event after a comment may arrive much later.
func (e *EventReader) More() bool {
	b, _ := e.buffered.Peek(e.buffered.Buffered())
	return bytes.HasPrefix(b, []byte("data:")) && bytes.Contains(b, []byte("\n\n"))
}

// AppendEvent appends an event with the given data, which must not contain line breaks.
func AppendEvent(b, data []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
