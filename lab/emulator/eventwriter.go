package emulator

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// eventWriter sends the events of a stream and injects the faults that interrupt streams.
type eventWriter struct {
	job    *job
	faults *Faults // the engine's faults when the stream began
	sent   int     // number of events sent
}

// send sends an event. It returns false if the stream has ended.
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

// hijack flushes the response and takes over the connection from the HTTP server.
func (w *eventWriter) hijack() (net.Conn, error) {
	controller := http.NewResponseController(w.job.response)
	controller.Flush()
	conn, _, err := controller.Hijack()
	return conn, err
}

// closeConnection closes the connection without sending the last chunk.
func (w *eventWriter) closeConnection() {
	if conn, err := w.hijack(); err == nil {
		conn.Close()
	}
}

// halfCloseTimeout bounds the wait for the router to close its side after a half close.
const halfCloseTimeout = 5 * time.Second

// halfCloseConnection closes only the sending side. It closes the whole connection when the router has closed its side.
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
