package http1

import (
	"io"
	"strings"
	"testing"
)

func TestEventReaderReturnsDataAndRawBytes(t *testing.T) {
	in := ": comment\r\n\r\ndata: one\n\nid: 7\ndata: two\ndata:three\n\nevent: x\n\ndata: " + strings.Repeat("z", 5000) + "\r\n\r\n"
	e := NewEventReader(strings.NewReader(in), 10000)
	defer e.Close()
	for _, want := range []string{"one", "two\nthree", strings.Repeat("z", 5000)} {
		data, raw, err := e.Next()
		if err != nil || string(data) != want || !strings.Contains(in, string(raw)) {
			t.Fatalf("got data %q, raw %q, %v", data, raw, err)
		}
	}
	if _, _, err := e.Next(); err != io.EOF {
		t.Fatal(err)
	}
	for text, want := range map[string]error{"data: cut": io.ErrUnexpectedEOF, "data: " + strings.Repeat("a", 200): ErrEventTooLong} {
		e := NewEventReader(strings.NewReader(text), 100)
		if _, _, err := e.Next(); err != want {
			t.Fatalf("%q: got %v", text, err)
		}
		e.Close()
	}
}

// More reports true only for a complete event that is buffered. A buffered heartbeat comment must not delay the event before it.
func TestMoreReportsOnlyBufferedEvents(t *testing.T) {
	for text, want := range map[string]bool{"data: a\n\ndata: b\n\n": true, "data: a\n\n: ping\n\n": false,
		"data: a\n\ndata: b\n": false, "data: a\n\n": false} {
		e := NewEventReader(strings.NewReader(text), 100)
		if _, _, err := e.Next(); err != nil || e.More() != want {
			t.Errorf("%q: got more %v, %v", text, !want, err)
		}
		e.Close()
	}
}
