package simulation

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// Headers of the platform's protocol that engines write.
const (
	rejectedHeader   = "X-Rejected: 1\r\n"
	loadReportHeader = "X-Load-Report: "
)

// accept serves connections until the listener closes.
func (e *engine) accept(l *memnet.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.fleet.run(func() {
			serveConnection(e.fleet, conn, func(r *http.Request, peerClosed <-chan struct{}) bool {
				return e.serveRequest(conn, r, peerClosed)
			})
		})
	}
}

// serveConnection serves the requests of a connection in sequence until the peer closes it or serve returns false. peerClosed is closed
// when the peer closes the connection during a request.
func serveConnection(f *fleet, conn net.Conn, serve func(r *http.Request, peerClosed <-chan struct{}) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		peerClosed, nextRequest := watchPeer(f, reader)
		if !serve(r, peerClosed) {
			return
		}
		select {
		case <-peerClosed:
			return
		case <-nextRequest:
		}
	}
}

// watchPeer closes peerClosed when the peer has closed its side, or nextRequest when the peer's next request begins.
func watchPeer(f *fleet, reader *bufio.Reader) (peerClosed, nextRequest chan struct{}) {
	peerClosed = make(chan struct{})
	nextRequest = make(chan struct{})
	f.run(func() {
		if _, err := reader.Peek(1); err != nil {
			close(peerClosed)
		} else {
			close(nextRequest)
		}
	})
	return peerClosed, nextRequest
}

// respond writes a response; false = the connection failed.
func respond(conn net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}

// loadReport returns the engine's report of its load.
func (e *engine) loadReport() string {
	running, waiting := e.occupancy()
	utilization := float64(running) / float64(e.kind.Slots)
	return fmt.Sprintf("util=%.3f,queue=%d,x0=%.3f", utilization, waiting, 0.8*utilization)
}

// serveRequest serves one request; false = the connection must be closed.
func (e *engine) serveRequest(conn net.Conn, r *http.Request, peerClosed <-chan struct{}) bool {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == http.MethodDelete {
		return e.serveRelease(conn, id, peerClosed)
	}
	a := e.fleet.attempt(r.Header.Get("X-Call-Id"))
	if a == nil {
		e.fleet.addViolation("void: %s was sent a request that no client sent", e.ID)
		return respond(conn, http.StatusBadRequest, "", "no client sent this id")
	}
	node := conn.RemoteAddr().String()
	e.fleet.attemptReached(a, e, node, r.Header.Get("X-Budget"))
	e.requestArrived(a.request)
	owner := e.fleet.stateOwner(a.id)
	arrived := record.Record{
		Kind:    record.AttemptArrived,
		Op:      a.id,
		Attempt: a.number,
		Class:   className(a.class),
		Node:    node,
		Engine:  e.ID,
		Note:    "decode",
	}
	if e.kind.Role == RolePrefill {
		arrived.Note = "prefill"
	} else if owner != nil {
		arrived.State = stateID(a.id, owner)
	}
	e.fleet.log.Add(arrived)
	defer func() {
		ended := arrived
		ended.Kind = record.AttemptEnded
		e.fleet.log.Add(ended)
	}()
	if e.kind.Role == RolePrefill {
		return e.servePrefill(conn, a, node, peerClosed)
	}
	return e.serveDecode(conn, a, arrived, owner, peerClosed)
}

// serveRelease releases the state of an attempt; false = the connection must be closed.
func (e *engine) serveRelease(conn net.Conn, id string, peerClosed <-chan struct{}) bool {
	state := e.state()
	if state.fault == Hangs || state.fault == Silent {
		awaitEnd(state.exited, peerClosed)
		return false
	}
	e.fleet.releaseState(id)
	_, err := io.WriteString(conn, "HTTP/1.1 204 x\r\n\r\n")
	return err == nil
}

func (e *engine) servePrefill(conn net.Conn, a *clientAttempt, node string, peerClosed <-chan struct{}) bool {
	switch e.prefill(a.request, peerClosed) {
	case completed:
		select {
		case <-peerClosed: // the node has disconnected during the prefill: no state is reserved
			return false
		default:
		}
		e.fleet.reserveState(a, e, node)
		return respond(conn, http.StatusAccepted, loadReportHeader+e.loadReport()+"\r\n", `{"cached_tokens":0}`)
	case rejectedByEngine:
		return respond(conn, http.StatusServiceUnavailable, rejectedHeader+loadReportHeader+e.loadReport()+"\r\n", "")
	case failedAtEngine:
		return respond(conn, http.StatusInternalServerError, "", "no")
	}
	return false
}

// responseStream writes the response of a decode attempt to a connection.
type responseStream struct {
	conn    net.Conn
	fleet   *fleet
	attempt *clientAttempt
	arrived record.Record
}

func (s *responseStream) start() bool {
	started := s.arrived
	started.Kind = record.EffectStarted
	s.fleet.log.Add(started)
	s.fleet.releaseState(s.attempt.id)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	_, err := io.WriteString(s.conn, head+tokenEvent(0))
	return err == nil
}

func (s *responseStream) event(tokens int) bool {
	_, err := io.WriteString(s.conn, tokenEvent(tokens))
	return err == nil
}

// end writes the last event, with the engine's load report as a comment line (PROTOCOL), and the end of the body.
func (s *responseStream) end(loadReport string) bool {
	_, err := io.WriteString(s.conn, chunk("data: [DONE]\n\n: "+loadReportHeader+loadReport+"\n")+"0\r\n\r\n")
	return err == nil
}

// tokenEvent returns an event whose text is the number of tokens.
func tokenEvent(tokens int) string {
	return chunk(`data: {"choices":[{"index":0,"delta":{"content":"` + strconv.Itoa(tokens) + `"}}]}` + "\n\n")
}

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (e *engine) serveDecode(conn net.Conn, a *clientAttempt, arrived record.Record, owner *engine, peerClosed <-chan struct{}) bool {
	out := &responseStream{conn: conn, fleet: e.fleet, attempt: a, arrived: arrived}
	switch e.decode(a.request, owner, peerClosed, out) {
	case completed:
		return out.end(e.loadReport())
	case rejectedByEngine:
		return respond(conn, http.StatusServiceUnavailable, rejectedHeader+loadReportHeader+e.loadReport()+"\r\n", "")
	case stateNotFound:
		e.fleet.releaseState(a.id)
		return respond(conn, http.StatusGone, rejectedHeader, "")
	case failedAtEngine:
		return respond(conn, http.StatusInternalServerError, "", "no")
	}
	return false
}
