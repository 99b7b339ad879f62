package cli

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter is a log that takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestLogWriterNeverBlocks(t *testing.T) {
	s := &stuckWriter{release: make(chan struct{})}
	w := newLogWriter(s)
	begun := time.Now()
	for i := range 2 * logLines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatalf("line %d: wrote %d, %v", i, n, err)
		}
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("writing took %v with a log that takes nothing", took)
	}
	close(s.release)
	for len(w.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(w, "last")
	w.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := s.got.String()
	if !strings.HasPrefix(text, "line 0\n") && !strings.Contains(text, "line 0\nline 1\n") {
		t.Errorf("the first lines are not there: %.60q", text)
	}
	if !strings.Contains(text, "lines of the log were dropped") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("want a word on what was dropped, and the last line; got the end %q", text[max(0, len(text)-120):])
	}
}

func TestLogWriterEndsThoughItsLogIsStuck(t *testing.T) {
	s := &stuckWriter{release: make(chan struct{})}
	w := newLogWriter(s)
	fmt.Fprintln(w, "a line")
	begun := time.Now()
	w.Close()
	if took := time.Since(begun); took > 10*logFlush {
		t.Errorf("closing took %v", took)
	}
	close(s.release)
	<-w.done
}
