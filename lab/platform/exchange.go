package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dillroute/lab/record"
)

// exchange is one request at an engine and its response. The boolean result of a method that serves or writes says whether the connection
// can carry another request.
type exchange struct {
	engine       *Engine
	conn         net.Conn
	request      *http.Request
	disconnected <-chan struct{} // closed when the peer has closed its side
	nextRequest  <-chan struct{} // closed when the peer's next request begins
	lost         bool            // the engine has lost the request; the connection stays open and carries nothing more

	// The fields below are set for a request of a known call only.
	call          string
	operation     Operation
	fault         Fault
	base          record.Record // the fields that all records of the attempt share
	markWritten   bool          // the byte order mark of OtherFields has been written
	waitsForState bool          // it is a decode attempt that waits for the state of its call
}

// serve serves a release call or an attempt.
func (x *exchange) serve() bool {
	platform := x.engine.platform
	if call, found := strings.CutPrefix(x.request.URL.Path, "/v1/holds/"); found && x.request.Method == http.MethodDelete {
		return x.serveRelease(call)
	}
	x.call = x.request.Header.Get("X-Call-Id")
	operation, known := platform.operation(x.call)
	if !known {
		platform.Log.Add(record.Record{Kind: record.ExtraResponse, Op: "void:" + x.call, Note: "an id that no client sent"})
		return x.respond(http.StatusBadRequest, "", "no client sent this id") && x.awaitNext()
	}
	x.operation = operation
	return x.serveAttempt()
}

// serveRelease releases the states of a call, unless an attempt waits for them. The response is the same in both cases.
func (x *exchange) serveRelease(call string) bool {
	if !x.awaitRecovery() {
		return false
	}
	x.engine.platform.releaseUnneededStates(call)
	return x.write("HTTP/1.1 204 x\r\n\r\n") && x.awaitNext()
}

// serveAttempt serves an attempt of either stage. The attempt ends when the next request on the connection begins, or with the connection.
func (x *exchange) serveAttempt() bool {
	e := x.engine
	remaining, _ := strconv.ParseFloat(x.request.Header.Get("X-Budget"), 64)
	e.platform.trackAttempt(x.operation.Name, x.request.Header, remaining)
	x.base = record.Record{
		Op:         x.operation.Name,
		Attempt:    x.operation.Attempt,
		Class:      x.operation.Class,
		Node:       e.platform.callingNode(x.request.Host),
		Engine:     e.ID,
		Note:       "decode",
		Work:       1,
		StatedTime: remaining,
	}
	role := e.Role()
	if role == rolePrefill {
		x.base.Note = "prefill"
		x.base.State = stateID(x.call, e.ID)
	} else {
		holder := e.platform.stateHolder(x.call)
		x.base.State = stateID(x.call, holder)
		x.waitsForState = holder != ""
	}
	x.record(record.AttemptArrived)
	defer x.record(record.AttemptEnded)
	if x.waitsForState {
		e.platform.addWaiting(x.call, 1)
		defer x.stopWaiting()
	}
	if !x.awaitRecovery() {
		return false
	}
	fault, startDelay := e.nextFault()
	x.fault = fault
	if !x.wait(startDelay) {
		return false
	}
	if role == rolePrefill {
		return x.servePrefill() && x.awaitNext()
	}
	return x.serveDecode() && x.awaitNext()
}

// stopWaiting records that the attempt no longer waits for the state of its call.
func (x *exchange) stopWaiting() {
	if x.waitsForState {
		x.waitsForState = false
		x.engine.platform.addWaiting(x.call, -1)
	}
}

// servePrefill processes a prompt and reserves its state.
func (x *exchange) servePrefill() bool {
	e := x.engine
	switch x.fault {
	case InternalError:
		x.respond(http.StatusInternalServerError, "", "no")
		return false
	case Rejection:
		return x.reject(http.StatusServiceUnavailable)
	case IncompleteRejection:
		return x.respondIncomplete("503 x\r\nX-Rejected: 1")
	case CloseBeforeResponse: // the prefill has already succeeded
		e.platform.reserveState(x.base.Node, x.call, e.ID, "")
		return false
	}
	if !x.wait(e.PrefillTime) {
		return false
	}
	note := ""
	if e.platform.losesResponse(e.ID, x.conn.RemoteAddr()) {
		note = record.ResponseLost
	}
	e.platform.reserveState(x.base.Node, x.call, e.ID, note)
	loadReport := "util=0.2,queue=0,x0=0.1"
	switch x.fault {
	case MalformedLoadReport:
		loadReport = "util=often"
	case IncompletePrefillResponse:
		return x.respondIncomplete("202 x")
	}
	if !x.respond(http.StatusAccepted, "X-Load-Report: "+loadReport+"\r\n", `{"cached_tokens":12}`) {
		return false
	}
	return x.fault != DelayedSecondResponse || x.sendSecondResponse()
}

// serveDecode generates the response of a decode attempt. If the attempt needs a reserved state and there is none, it responds with
// status 410.
func (x *exchange) serveDecode() bool {
	platform := x.engine.platform
	switch {
	case x.fault == Rejection:
		return x.reject(http.StatusServiceUnavailable)
	case x.fault == IncompleteRejection:
		x.stopWaiting()
		return x.respondIncomplete("503 x\r\nX-Rejected: 1")
	case x.fault == StateMissing || x.engine.needsState() && platform.stateHolder(x.call) == "":
		platform.releaseStates(x.call, "lost")
		return x.reject(http.StatusGone)
	}
	x.record(record.EffectStarted)
	x.stopWaiting()
	switch x.fault {
	case InternalError:
		return x.respond(http.StatusInternalServerError, "", "no")
	case Unavailable:
		return x.respond(http.StatusServiceUnavailable, "", "no")
	case CloseBeforeResponse:
		return false
	case GarbageHead:
		return x.writeAndStall("\x16\x03\x01 noise, and then nothing")
	case MalformedHead:
		return x.writeAndStall("HTTP/1.1 200 OK\r\nTransfer-Encoding chunked\r\n")
	case EndlessHead:
		return x.writeAndStall("HTTP/1.1 200 OK\r\nX-More: ")
	case InterimResponses:
		x.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
	}
	platform.releaseStates(x.call, record.StateFetched)
	return x.stream()
}

// record adds a record of the attempt to the log.
func (x *exchange) record(kind record.Kind) {
	entry := x.base
	entry.Kind = kind
	x.engine.platform.Log.Add(entry)
}

// wait waits for a duration, and returns false if the peer closes its side first.
func (x *exchange) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.disconnected:
		return false
	}
}

// isDisconnected reports whether the peer has closed its side.
func (x *exchange) isDisconnected() bool {
	select {
	case <-x.disconnected:
		return true
	default:
		return false
	}
}

// awaitNext waits for the next request on the connection, and returns false if the peer closes its side instead.
func (x *exchange) awaitNext() bool {
	select {
	case <-x.disconnected:
		return false
	case <-x.nextRequest:
		return true
	}
}

func (x *exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

// writeAndStall writes a part of a response, then waits without writing until the peer closes its side.
func (x *exchange) writeAndStall(text string) bool {
	x.write(text)
	<-x.disconnected
	return false
}

// respond writes a complete response; each line of header ends with CRLF.
func (x *exchange) respond(status int, header, body string) bool {
	return x.write(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body))
}

// reject writes a rejection, which says that the attempt never ran.
func (x *exchange) reject(status int) bool {
	x.stopWaiting()
	return x.respond(status, "X-Rejected: 1\r\n", "")
}

// respondIncomplete writes a response whose body is shorter than its Content-Length.
func (x *exchange) respondIncomplete(statusAndHeader string) bool {
	return x.writeAndStall("HTTP/1.1 " + statusAndHeader + "\r\nContent-Length: 20\r\n\r\n{\"cached")
}
