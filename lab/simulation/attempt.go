package simulation

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dillroute/lab/record"
)

const (
	// lateResponseGrace is how long a client waits for the head of a response after its patience has ended (s).
	lateResponseGrace = 0.5
	// maxStreamTime is how long a client waits for the end of a stream, counted from the head of the response.
	maxStreamTime = time.Minute
	// slowSendPause is the delay between the two parts of a request under SlowClients.
	slowSendPause = 300 * time.Millisecond
)

// Codes of attempts without a response.
const (
	codeClosed   = "closed"
	codeTimedOut = "overdue"
)

// clientResponse is the result of an attempt as the client observes it.
type clientResponse struct {
	outcome      Outcome
	code         string
	firstTokenAt time.Time
	retryAfter   float64 // value of Retry-After (s); 0 = none
	connReusable bool    // the connection may carry another request
}

// recordedOutcomes maps outcomes to those of records.
var recordedOutcomes = map[Outcome]record.Outcome{
	ServedInTime: record.Served,
	ServedLate:   record.Served,
	Rejected:     record.Rejected,
	Failed:       record.Failed,
	Broken:       record.Failed,
	NoResponse:   record.ConnectionLost,
}

// sendAttempt sends one attempt to a node and returns the result. It reuses an idle connection if there is one.
func (p *productRun) sendAttempt(h *host, a *clientAttempt) clientResponse {
	p.addAttempt(a)
	conn := h.takeIdle()
	reused := conn != nil
	if !reused {
		var err error
		conn, err = p.network.Dialer("client")(context.Background(), "mem", h.name)
		if err != nil {
			return clientResponse{outcome: Unreachable}
		}
	}
	a.sentAt = time.Now()
	if err := p.sendRequest(conn, a); err != nil {
		conn.Close()
		return clientResponse{outcome: Unreachable}
	}
	p.recordAttempt(h, a, record.Record{Kind: record.RequestSent, Tokens: a.budget})
	reader := bufio.NewReader(conn)
	disconnect := p.disconnectLater(conn, a)
	response := p.readResponse(conn, reader, h, a)
	if disconnect.happened() {
		p.recordAttempt(h, a, record.Record{Kind: record.ClientDisconnected})
		return clientResponse{outcome: Disconnected}
	}
	if response.outcome == NoResponse && reused && response.code == codeClosed {
		// The node closed the idle connection while the request was in transit: the client resends it on a new connection.
		conn.Close()
		p.recordAttempt(h, a, record.Record{Kind: record.FinalResponse, Outcome: record.Unreachable})
		return clientResponse{outcome: Unreachable}
	}
	p.recordResponse(h, a, response)
	p.clientClosed(a)
	if !response.connReusable {
		conn.Close()
		return response
	}
	conn.SetDeadline(time.Time{})
	if reader.Buffered() > 0 {
		conn.Close()
		return response
	}
	h.putIdle(conn)
	return response
}

// recordAttempt records an event of an attempt.
func (p *productRun) recordAttempt(h *host, a *clientAttempt, r record.Record) {
	r.Op = a.id
	r.Attempt = a.number
	r.Class = className(a.class)
	r.Tenant = tenantName(a.tenant)
	r.Node = h.name
	p.log.Add(r)
}

func (p *productRun) recordResponse(h *host, a *clientAttempt, response clientResponse) {
	outcome := recordedOutcomes[response.outcome]
	if response.outcome == NoResponse && response.code == codeTimedOut {
		outcome = record.TimedOut
	}
	p.recordAttempt(h, a, record.Record{Kind: record.FinalResponse, Outcome: outcome, Note: response.code, OK: true})
}

// sendRequest writes a request, in two parts if the client is slow.
func (p *productRun) sendRequest(conn net.Conn, a *clientAttempt) error {
	text := a.text()
	if f, ok := p.scenario.active(SlowClients, a.at); ok && a.draws.backoff < f.Fraction {
		half := len(text) / 2
		io.WriteString(conn, text[:half]) // after an error, writing the second part fails too
		time.Sleep(slowSendPause)
		text = text[half:]
	}
	_, err := io.WriteString(conn, text)
	return err
}

// text returns the request in HTTP/1.1 format.
func (a *clientAttempt) text() string {
	body := `{"model":"chat","stream":true,"max_tokens":` + strconv.Itoa(a.maxResponseTokens) +
		`,"messages":[{"role":"user","content":"x"}]}`
	info := fmt.Sprintf("prompt_len=%d,max_out=%d", int(a.promptTokens), a.maxResponseTokens)
	if a.prefix != "" {
		info += fmt.Sprintf(",prefix=%s,prefix_len=%d", a.prefix, int(a.prefixTokens))
	}
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"+
		"X-Route-Hash: %s\r\nX-Budget: %.3f\r\nX-Call-Info: %s\r\nContent-Length: %d\r\n\r\n%s",
		a.id, className(a.class), tenantName(a.tenant), a.session, a.budget, info, len(body), body)
}

// disconnection is a scheduled disconnect of a client; nil = none is scheduled.
type disconnection struct {
	timer *time.Timer
	done  chan struct{}
}

// disconnectLater schedules the client's disconnect: the connection of its first attempt is closed after disconnectAfter seconds. It
// returns nil if the client doesn't disconnect, or if this is not its first attempt.
func (p *productRun) disconnectLater(conn net.Conn, a *clientAttempt) *disconnection {
	if a.disconnectAfter <= 0 || a.number > 0 {
		return nil
	}
	d := &disconnection{done: make(chan struct{})}
	d.timer = time.AfterFunc(duration(a.disconnectAfter), func() {
		close(d.done)
		p.clientClosed(a)
		conn.Close()
	})
	return d
}

// happened cancels the disconnect and reports whether it has already happened.
func (d *disconnection) happened() bool {
	if d == nil || d.timer.Stop() {
		return false
	}
	<-d.done
	return true
}

// readResponse reads the response to an attempt.
func (p *productRun) readResponse(conn net.Conn, reader *bufio.Reader, h *host, a *clientAttempt) clientResponse {
	conn.SetReadDeadline(a.sentAt.Add(duration(a.budget + lateResponseGrace)))
	r, err := http.ReadResponse(reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return clientResponse{outcome: NoResponse, code: codeTimedOut}
	}
	if err != nil {
		return clientResponse{outcome: NoResponse, code: codeClosed}
	}
	if r.StatusCode != http.StatusOK {
		return readRejection(r)
	}
	p.recordAttempt(h, a, record.Record{Kind: record.FirstToken})
	firstTokenAt := time.Now()
	conn.SetReadDeadline(firstTokenAt.Add(maxStreamTime))
	body, err := io.ReadAll(r.Body)
	if err != nil || !strings.Contains(string(body), "data: [DONE]") {
		return clientResponse{outcome: Broken, code: "broken stream", firstTokenAt: firstTokenAt}
	}
	response := clientResponse{
		outcome:      p.site.streamOutcome(a.request, firstTokenAt, time.Now()),
		firstTokenAt: firstTokenAt,
		connReusable: !r.Close,
	}
	if response.outcome == ServedLate {
		response.code = "slow stream"
	}
	return response
}

// readRejection reads a response whose status is not 200.
func readRejection(r *http.Response) clientResponse {
	body, _ := io.ReadAll(r.Body) // if the body is incomplete, the part received is reported
	response := clientResponse{
		outcome:      Failed,
		code:         fmt.Sprintf("%d %s", r.StatusCode, strings.TrimSpace(string(body))),
		connReusable: !r.Close,
	}
	if r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable {
		response.outcome = Rejected
	}
	response.retryAfter, _ = strconv.ParseFloat(r.Header.Get("Retry-After"), 64) // 0 without the header
	return response
}
