package http1

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
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
	for text, want := range map[string]error{"data: cut": ErrIncompleteEvent, "data: " + strings.Repeat("a", 200): ErrEventTooLong} {
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

// eventForms are forms of a stream that the standard allows, with their events and the end that Next reports.
var eventForms = []struct {
	name, in string
	data     []string
	raw      string // what the events consist of; "" = the whole input
	comments []string
	end      error
}{
	{name: "empty body", in: "", raw: "none", end: io.EOF},
	{name: "LF", in: "data: a\n\ndata: b\n\n", data: []string{"a", "b"}, end: io.EOF},
	{name: "CRLF", in: "data: a\r\n\r\ndata: b\r\n\r\n", data: []string{"a", "b"}, end: io.EOF},
	{name: "CR", in: "data: a\r\rdata: b\r\r", data: []string{"a", "b"}, end: io.EOF},
	{name: "line endings mixed", in: "data: a\r\n\ndata: b\n\rdata: c\r\r\n", data: []string{"a", "b", "c"}, end: io.EOF},
	{name: "comment alone at the end", in: "data: a\n\n: note\n", data: []string{"a"}, raw: "data: a\n\n", comments: []string{": note"},
		end: io.EOF},
	{name: "comment at the end with an empty line", in: "data: a\n\n: note\n\n", data: []string{"a"}, raw: "data: a\n\n",
		comments: []string{": note"}, end: io.EOF},
	{name: "comment without a line ending", in: "data: a\n\n: note", data: []string{"a"}, raw: "data: a\n\n",
		comments: []string{": note"}, end: io.EOF},
	{name: "comment that ends with CR", in: "data: a\r\r: note\r", data: []string{"a"}, raw: "data: a\r\r", comments: []string{": note"},
		end: io.EOF},
	{name: "several comments at the end", in: "data: a\n\n: one\n:two\n:\n\n: three\n", data: []string{"a"}, raw: "data: a\n\n",
		comments: []string{": one", ":two", ":", ": three"}, end: io.EOF},
	{name: "comments between events", in: ": one\n\ndata: a\n\n: two\n\ndata: b\n\n", data: []string{"a", "b"},
		raw: "data: a\n\ndata: b\n\n", comments: []string{": one", ": two"}, end: io.EOF},
	{name: "comment within an event", in: "data: a\n: note\ndata: b\n\n", data: []string{"a\nb"}, comments: []string{": note"},
		end: io.EOF},
	{name: "other fields of an event", in: "event: x\nid: 7\nretry: 10\ndata: a\n\n", data: []string{"a"}, end: io.EOF},
	{name: "fields without data before an event", in: "retry: 10\n\n: note\n\nid: 7\n\ndata: a\n\n", data: []string{"a"},
		raw: "retry: 10\n\nid: 7\n\ndata: a\n\n", comments: []string{": note"}, end: io.EOF},
	{name: "fields without data at the end", in: "data: a\n\nretry: 10\n\n", data: []string{"a"}, raw: "data: a\n\n", end: io.EOF},
	{name: "byte order mark", in: "\uFEFFdata: a\n\ndata: \uFEFFb\n\n", data: []string{"a", "\uFEFFb"}, end: io.EOF},
	{name: "byte order mark of a comment", in: "\uFEFF: note\n\ndata: a\n\n", data: []string{"a"}, raw: "data: a\n\n",
		comments: []string{": note"}, end: io.EOF},
	{name: "no space after the colon", in: "data:a\n\ndata:  b\n\n", data: []string{"a", " b"}, end: io.EOF},
	{name: "empty data", in: "data:\n\ndata\n\ndata: \n\n", data: []string{"", "", ""}, end: io.EOF},
	{name: "field whose name begins with data", in: "database: a\n\ndata: b\n\n", data: []string{"b"}, end: io.EOF},
	{name: "event without its empty line", in: "data: a\n\ndata: b\n", data: []string{"a"}, raw: "data: a\n\n", end: ErrIncompleteEvent},
	{name: "event without a line ending", in: "data: a\n\ndata: b", data: []string{"a"}, raw: "data: a\n\n", end: ErrIncompleteEvent},
	{name: "event without its empty line, then a comment", in: "data: a\n\ndata: b\n: note\n", data: []string{"a"}, raw: "data: a\n\n",
		comments: []string{": note"}, end: ErrIncompleteEvent},
	{name: "field without its empty line", in: "data: a\n\nid: 7\n", data: []string{"a"}, raw: "data: a\n\n", end: ErrIncompleteEvent},
}

// A stream whose last line was a comment with nothing behind it counted as cut off. The reader must read each form of a stream in the same
// way however its bytes arrive.
func TestEventReaderReadsEveryFormInAnyPieces(t *testing.T) {
	for _, form := range eventForms {
		for pieces, reader := range map[string]io.Reader{
			"at once":                strings.NewReader(form.in),
			"byte by byte":           iotest.OneByteReader(strings.NewReader(form.in)),
			"end with the last byte": iotest.DataErrReader(strings.NewReader(form.in)),
		} {
			data, raw, comments, err := readEvents(reader, 1000)
			if !slices.Equal(data, form.data) || !slices.Equal(comments, form.comments) || err != form.end {
				t.Errorf("%s, %s: got events %q, comments %q and %v, want %q, %q and %v", form.name, pieces, data, comments, err, form.data,
					form.comments, form.end)
			}
			want := form.raw
			switch want {
			case "":
				want = form.in
			case "none":
				want = ""
			}
			// Only the LF of a last CRLF that arrives after the event was returned may be missing.
			if raw != want && raw+"\n" != want {
				t.Errorf("%s, %s: got the bytes %q, want %q", form.name, pieces, raw, want)
			}
		}
	}
}

// readEvents reads a body to its end.
func readEvents(body io.Reader, max int) (data []string, raw string, comments []string, err error) {
	e := NewEventReader(body, max)
	defer e.Close()
	e.Comment = func(line []byte) { comments = append(comments, string(line)) }
	for {
		d, r, err := e.Next()
		if err != nil {
			return data, raw, comments, err
		}
		data, raw = append(data, string(d)), raw+string(r)
	}
}

// A body that breaks in a comment, or in an event, must not look like one that has ended.
func TestEventReaderReportsBrokenBody(t *testing.T) {
	for _, in := range []string{"", "data: a\n\n", "data: a\n\n: no", "data: a\n\n: note\n", "data: a\n\ndata: b", "data: a\n\ndata: b\n"} {
		body := io.MultiReader(strings.NewReader(in), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, _, _, err := readEvents(body, 1000); err != io.ErrUnexpectedEOF {
			t.Errorf("%q, then a broken connection: got %v, want %v", in, err, io.ErrUnexpectedEOF)
		}
	}
}

// An event must not be held back until the byte after it has arrived, which may be an event's time later.
func TestEventReaderReturnsEventBeforeNextByteArrives(t *testing.T) {
	for _, event := range []string{"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\r\n\r"} {
		r, w := io.Pipe()
		go w.Write([]byte(event))
		e := NewEventReader(r, 1000)
		data, _, err := e.Next() // would wait for ever
		if err != nil || string(data) != "a" || e.More() {
			t.Errorf("%q: got %q, more %v, %v", event, data, e.More(), err)
		}
		e.Close()
		r.Close()
	}
}

// FuzzEventReader checks that the reader gives the same events and the same end for any body, however its bytes arrive, and keeps its
// limit.
func FuzzEventReader(f *testing.F) {
	for _, form := range eventForms {
		f.Add(form.in)
	}
	f.Fuzz(func(t *testing.T, in string) {
		const limit = 64
		data, raw, comments, err := readEvents(strings.NewReader(in), limit)
		dataByByte, rawByByte, commentsByByte, errByByte := readEvents(iotest.OneByteReader(strings.NewReader(in)), limit)
		if errors.Is(err, ErrEventTooLong) || errors.Is(errByByte, ErrEventTooLong) {
			return // where the limit is exceeded depends on the pieces
		}
		if !slices.Equal(data, dataByByte) || !slices.Equal(comments, commentsByByte) || err != errByByte {
			t.Errorf("got %q, %q and %v at once, but %q, %q and %v byte by byte", data, comments, err, dataByByte, commentsByByte,
				errByByte)
		}
		if strings.TrimSuffix(raw, "\n") != strings.TrimSuffix(rawByByte, "\n") {
			t.Errorf("got the bytes %q at once, but %q byte by byte", raw, rawByByte)
		}
		for _, d := range data {
			if len(d) > limit {
				t.Errorf("got an event of %d bytes, the limit is %d", len(d), limit)
			}
		}
	})
}
