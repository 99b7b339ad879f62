package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

// EventReader reads server-sent events (WHATWG HTML, section 9.2), and returns their raw bytes as well as their data. A line ends with LF,
// CRLF or CR. It is not safe for concurrent use.
type EventReader struct {
	Comment  func(line []byte) // called with each comment line; may be nil
	Progress func()            // called when bytes of an event have arrived, not when those of a comment have; may be nil
	buffered *bufio.Reader
	max      int
	raw      []byte
	data     []byte

	blockStart int  // length of the raw bytes before the block that is being read
	begun      bool // the first line has been read; only that line may begin with a byte order mark
	afterCR    bool // the last line ended with CR; an LF that follows belongs to that line ending
	ended      bool // that line ended a block that stays in the raw bytes
	dropped    bool // that line ended a block that was dropped from them
}

// Errors of an EventReader.
var (
	// ErrEventTooLong is returned for an event that exceeds the reader's size limit.
	ErrEventTooLong = errors.New("http1: event too long")
	// ErrIncompleteEvent is returned if the body has ended as it should, but within an event. The standard discards such an event.
	ErrIncompleteEvent = fmt.Errorf("http1: the body ended within an event: %w", io.ErrUnexpectedEOF)
)

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

// block is what has been read of the lines up to the next empty line.
type block struct {
	hasField bool // it has a line other than comments
	hasData  bool
}

// Next returns the data of the next event that has any, and the raw bytes of the event including the empty line that ends it. Both are
// valid until the next call. Lines without data that an empty line ends are no event; unless they are comments alone, they are part of the
// raw bytes of the event that follows. The error is io.EOF if the body ended between two events or in a comment, ErrIncompleteEvent if it
// ended within an event, and that of the body if the body broke.
func (e *EventReader) Next() (data, raw []byte, err error) {
	if cap(e.raw) > 64<<10 {
		e.raw, e.data = nil, nil
	}
	e.raw, e.data = e.raw[:0], e.data[:0]
	e.blockStart = 0
	var current block
	for {
		line, err := e.readLine()
		if err != nil {
			if err == io.EOF && len(line) > 0 { // the last line has no line ending
				e.readField(line, &current)
			}
			return nil, nil, endOfEvents(err, current)
		}
		if len(line) > 0 {
			e.readField(line, &current)
			continue
		}
		switch {
		case current.hasData:
			e.ended = e.afterCR
			return e.data, e.raw, nil
		case current.hasField:
			e.ended = e.afterCR
			e.blockStart = len(e.raw)
		default:
			e.dropped = e.afterCR
			e.raw = e.raw[:e.blockStart]
		}
		current = block{}
	}
}

// endOfEvents returns the error with which Next reports the end of the body in a block.
func endOfEvents(err error, current block) error {
	if err == io.EOF && current.hasField {
		return ErrIncompleteEvent
	}
	return err
}

// readField reads a line of an event.
func (e *EventReader) readField(line []byte, current *block) {
	if line[0] == ':' {
		if e.Comment != nil {
			e.Comment(line)
		}
		return
	}
	current.hasField = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if current.hasData {
		e.data = append(e.data, '\n')
	}
	current.hasData = true
	e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// readLine appends a line to the raw bytes and returns it without its line ending. At the end of the body it returns the rest and an error.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	if e.afterCR {
		if err := e.readLF(); err != nil {
			return nil, err
		}
		start = len(e.raw)
	}
	for {
		if _, err := e.buffered.Peek(1); err != nil {
			return e.contentFrom(start), err
		}
		arrived, _ := e.buffered.Peek(e.buffered.Buffered())
		length, ending := endOfLine(arrived)
		if err := e.take(arrived[:length+ending]); err != nil {
			return nil, err
		}
		if length > 0 && e.raw[start] != ':' && e.Progress != nil {
			e.Progress()
		}
		if ending == 0 {
			continue
		}
		e.afterCR = length+ending == len(arrived) && arrived[length] == '\r'
		line := e.contentFrom(start)
		return line[:len(line)-ending], nil
	}
}

// readLF reads the LF of a CRLF whose CR ended the last line, if there is one.
func (e *EventReader) readLF() error {
	next, err := e.buffered.Peek(1)
	if err != nil {
		return err
	}
	if next[0] == '\n' {
		if err := e.take(next); err != nil {
			return err
		}
		switch {
		case e.dropped:
			e.raw = e.raw[:len(e.raw)-1]
		case e.ended:
			e.blockStart = len(e.raw)
		}
	}
	e.afterCR, e.ended, e.dropped = false, false, false
	return nil
}

// take moves bytes that have arrived to the raw bytes.
func (e *EventReader) take(arrived []byte) error {
	if len(e.raw)+len(arrived) > e.max {
		return ErrEventTooLong
	}
	e.raw = append(e.raw, arrived...)
	e.buffered.Discard(len(arrived))
	return nil
}

// contentFrom returns the raw bytes from a position, without the byte order mark of the first line.
func (e *EventReader) contentFrom(start int) []byte {
	line := e.raw[start:]
	if !e.begun && len(line) > 0 {
		e.begun = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line
}

// endOfLine returns the length of the line at the start of b and that of its ending: LF, CRLF or CR. The ending is 0 if b holds no end of
// the line. Of a CRLF that b cuts in two, it is the CR.
func endOfLine(b []byte) (length, ending int) {
	length = bytes.IndexByte(b, '\n')
	if length < 0 {
		length = len(b)
	} else {
		ending = 1
	}
	if i := bytes.IndexByte(b[:length], '\r'); i >= 0 {
		ending = 1
		if i+1 < len(b) && b[i+1] == '\n' {
			ending = 2
		}
		return i, ending
	}
	return length, ending
}

// More reports whether Next would return a further event without waiting for the peer. It does not count a buffered comment. The
// caller delays an event in order to write it together with the next one, and the event after a comment may arrive much later.
func (e *EventReader) More() bool {
	b, _ := e.buffered.Peek(e.buffered.Buffered())
	if e.afterCR {
		b = bytes.TrimPrefix(b, []byte("\n"))
	}
	if !bytes.HasPrefix(b, []byte("data:")) {
		return false
	}
	for len(b) > 0 {
		length, ending := endOfLine(b)
		if length == 0 && ending > 0 {
			return true
		}
		b = b[length+ending:]
	}
	return false
}

// AppendEvent appends an event with the given data, which must not contain line breaks.
func AppendEvent(b, data []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
