package cli

import (
	"fmt"
	"io"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// logWriter queues lines for another writer and never blocks its callers: the reader of a service's log may be stuck, and the caller
// may be the goroutine for which all requests wait. If the queue is full, a line is dropped and counted. It is safe for concurrent use.
type logWriter struct {
	dst     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// Bounds of a logWriter.
const (
	logQueueSize    = 4096                   // queued lines
	logFlushTimeout = 200 * time.Millisecond // limit for writing the queue when the program ends
)

// newLogWriter starts a logWriter. From then on SIGPIPE is ignored, so that a log whose reader has exited does not end the process
// either.
func newLogWriter(dst io.Writer) *logWriter {
	signal.Ignore(syscall.SIGPIPE)
	w := &logWriter{dst: dst, lines: make(chan []byte, logQueueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, but waits for that no longer than logFlushTimeout.
func (w *logWriter) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

func (w *logWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (w *logWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, after a note about lines that were dropped before it. Errors are ignored: a caller can do nothing about them.
func (w *logWriter) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.dst, "%d lines of the log were dropped: they were not read in time\n", n)
	}
	w.dst.Write(line)
}
