package cli

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a log whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestLogWriterNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(s)
	begun := time.Now()
	for i := range 2 * logQueueSize {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatalf("line %d: wrote %d, %v", i, n, err)
		}
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("writing took %v with a log that blocks", took)
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
		t.Errorf("the first lines are missing: %.60q", text)
	}
	if !strings.Contains(text, "lines of the log were dropped") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("want a note about dropped lines and then the last line; got %q at the end", text[max(0, len(text)-120):])
	}
}

func TestLogWriterCloseIsBoundedWhenLogBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(s)
	fmt.Fprintln(w, "a line")
	begun := time.Now()
	w.Close()
	if took := time.Since(begun); took > 10*logFlushTimeout {
		t.Errorf("closing took %v", took)
	}
	close(s.release)
	<-w.done
}
