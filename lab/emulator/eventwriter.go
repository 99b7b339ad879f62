package emulator

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// eventWriter sends the events of a stream one by one and injects the faults of streams.
type eventWriter struct {
	job    *job
	faults *Faults // as they were when the stream began
	sent   int     // events
}

// send sends an event; false means that the stream is over.
func (w *eventWriter) send(data string) bool {
	faults, j := w.faults, w.job
	switch {
	case faults.CloseAfter != nil && w.sent >= *faults.CloseAfter:
		w.closeConnection()
		return false
	case faults.CrashAfter != nil && w.sent >= *faults.CrashAfter:
		go j.engine.Kill() // Kill waits for this handler
		<-j.process.ctx.Done()
		return false
	case faults.HalfCloseAfter > 0 && w.sent >= faults.HalfCloseAfter:
		w.halfCloseConnection()
		return false
	case faults.StallAfter > 0 && w.sent == faults.StallAfter:
		if !sleep(j.ctx, seconds(faults.StallSeconds)) {
			return false
		}
	}
	if _, err := fmt.Fprintf(j.response, "data: %s\n\n", data); err != nil {
		return false
	}
	w.sent++
	return http.NewResponseController(j.response).Flush() == nil
}

// hijack takes the connection from the HTTP server after all that was written has been sent.
func (w *eventWriter) hijack() (net.Conn, error) {
	controller := http.NewResponseController(w.job.response)
	controller.Flush()
	conn, _, err := controller.Hijack()
	return conn, err
}

// closeConnection closes the connection without the last chunk.
func (w *eventWriter) closeConnection() {
	if conn, err := w.hijack(); err == nil {
		conn.Close()
	}
}

// halfCloseTimeout bounds the wait for the other side after a half close.
const halfCloseTimeout = 5 * time.Second

// halfCloseConnection closes the sending side alone, and the connection when the router closes its side.
func (w *eventWriter) halfCloseConnection() {
	conn, err := w.hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		tcp.SetReadDeadline(time.Now().Add(halfCloseTimeout))
		var b [1]byte
		tcp.Read(b[:])
	}
}
