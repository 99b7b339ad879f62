package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"dillroute/lab/record"
)

// Request is one request of a well-behaved client.
type Request struct {
	Operation      string
	Class          string
	Tenant         string
	Session        string
	ResponseTokens int
	Timeout        time.Duration // stated in X-Budget; the client waits headGrace longer for the head of the response
	ID             string        // ID of the call; "": Send assigns a new one
	ExtraHeader    string        // further header lines, each ending with CRLF
}

// Response is the result of a request as its client saw it.
type Response struct {
	Status     int
	Text       string
	Complete   bool   // the stream ended with its last chunk
	RetryAfter string // value of the Retry-After header
	Outcome    record.Outcome
	Err        error
	Duration   time.Duration
}

// lastCallID is the last ID that Send assigned.
var lastCallID atomic.Uint64

// Encode returns the request as it is sent: header and body.
func (r Request) Encode() string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		r.ResponseTokens, r.Operation)
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n" +
		fmt.Sprintf("X-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n", r.ID, r.Class, r.Tenant) +
		fmt.Sprintf("X-Route-Hash: %s\r\nX-Budget: %.3f\r\n", r.Session, r.Timeout.Seconds()) +
		fmt.Sprintf("X-Call-Info: prompt_len=20,prefix_len=0,max_out=%d\r\n", r.ResponseTokens) +
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.ExtraHeader, len(body), body)
}

// Send sends a request on a new connection, waits for the response, and records both.
func (p *Platform) Send(address string, r Request) Response {
	if r.ID == "" {
		r.ID = fmt.Sprintf("%016x", lastCallID.Add(1))
	}
	p.RegisterCall(r.ID, Operation{Name: r.Operation, Class: r.Class, ResponseTokens: r.ResponseTokens})
	start := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Response{Outcome: record.Unreachable, Err: err}
	}
	defer conn.Close()
	base := record.Record{Op: r.Operation, Class: r.Class, Node: p.Node}
	sent := base
	sent.Kind = record.RequestSent
	sent.Tokens = r.Timeout.Seconds()
	p.Log.Add(sent)
	if _, err = io.WriteString(conn, r.Encode()); err != nil {
		return Response{Outcome: record.ConnectionLost, Err: err}
	}
	response := p.receive(conn, r, base)
	response.Duration = time.Since(start)
	p.Log.Add(FinalRecord(base, r, response))
	return response
}

// FinalRecord returns the record of a response. It is base with the outcome, the error, and whether the text is as expected: of a served
// response, the expected text; of a failed response, a prefix of it.
func FinalRecord(base record.Record, r Request, response Response) record.Record {
	final := base
	final.Kind = record.FinalResponse
	final.Outcome = response.Outcome
	expected := ResponseText(r.Operation, r.ResponseTokens)
	switch response.Outcome {
	case record.Served:
		final.OK = response.Text == expected
	case record.Failed:
		final.OK = strings.HasPrefix(expected, response.Text)
	}
	if response.Err != nil {
		final.Note = response.Err.Error()
	}
	return final
}

const (
	// headGrace is how much longer than its timeout a client waits for the head of a response.
	headGrace = time.Second
	// streamTimeout bounds the time for reading a stream.
	streamTimeout = 20 * time.Second
)

// receive reads the response. A stream without its last chunk counts as a failed response, and a missing head as a lost connection.
func (p *Platform) receive(conn net.Conn, r Request, base record.Record) Response {
	conn.SetReadDeadline(time.Now().Add(r.Timeout + headGrace))
	head, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Response{Outcome: record.ConnectionLost, Err: err}
	}
	response := Response{Status: head.StatusCode, RetryAfter: head.Header.Get("Retry-After"), Outcome: StatusOutcome(head.StatusCode)}
	if response.Outcome != record.Served {
		io.Copy(io.Discard, head.Body)
		return response
	}
	first := base
	first.Kind = record.FirstToken
	p.Log.Add(first)
	conn.SetReadDeadline(time.Now().Add(streamTimeout))
	response.Text, response.Err = ReadEvents(head.Body)
	response.Complete = response.Err == nil
	if response.Err != nil {
		response.Outcome = record.Failed
	}
	return response
}

// StatusOutcome returns the outcome of a response according to its status. A response with status 200 may still fail in its stream.
func StatusOutcome(status int) record.Outcome {
	switch status {
	case http.StatusOK:
		return record.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return record.Rejected
	}
	return record.Failed
}

// ReadEvents reads the events of a stream to its end and returns their text. With an error, it returns the text read so far.
func ReadEvents(body io.Reader) (string, error) {
	text := ""
	lines := bufio.NewScanner(body)
	lines.Split(splitEventLines)
	for lines.Scan() {
		data, found := strings.CutPrefix(strings.TrimPrefix(lines.Text(), "\uFEFF"), "data:")
		data = strings.TrimPrefix(data, " ")
		if !found || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return text, fmt.Errorf("event %q: %w", data, err)
		}
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
	return text, lines.Err()
}

// splitEventLines is a bufio.SplitFunc for the lines of server-sent events, which end with LF, CRLF or CR. Of a CRLF, the LF gives a line
// of its own, which is empty.
func splitEventLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if i := bytes.IndexAny(data, "\r\n"); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
