package platform

import (
	"bufio"
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

// Request is one request of a client in good order.
type Request struct {
	Operation      string
	Class          string
	Tenant         string
	Session        string
	ResponseTokens int // of the answer
	Timeout        time.Duration
	ID             string // "" = a new one
	ExtraHeader    string // further header lines, each with its end
}

// Response is what a client got.
type Response struct {
	Status     int
	Text       string
	Complete   bool // the stream came to its last chunk
	RetryAfter string
	Outcome    record.Outcome
	Err        error
	Duration   time.Duration
}

var calls atomic.Uint64

// Encode is the text of a request.
func (a Request) Encode() string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, a.ResponseTokens, a.Operation)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"+
		"X-Route-Hash: %s\r\nX-Budget: %.3f\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		a.ID, a.Class, a.Tenant, a.Session, a.Timeout.Seconds(), a.ResponseTokens, a.ExtraHeader, len(body), body)
}

// Send makes a request on a connection of its own.
func (p *Platform) Send(addr string, a Request) Response {
	if a.ID == "" {
		a.ID = fmt.Sprintf("%016x", calls.Add(1))
	}
	p.RegisterCall(a.ID, Operation{Name: a.Operation, Class: a.Class, ResponseTokens: a.ResponseTokens})
	start := time.Now()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return Response{Outcome: record.Unmet, Err: err}
	}
	defer c.Close()
	base := record.Record{Op: a.Operation, Class: a.Class, Node: p.Node}
	ask := base
	ask.Kind, ask.Tokens = record.Ask, a.Timeout.Seconds()
	p.Log.Add(ask)
	if _, err = io.WriteString(c, a.Encode()); err != nil {
		return Response{Outcome: record.Cut, Err: err}
	}
	ans := p.hear(c, a, base)
	ans.Duration = time.Since(start)
	end := base
	end.Kind, end.Outcome, end.OK = record.Answer, ans.Outcome, ans.Outcome == record.Served && ans.Text == ResponseText(a.Operation, a.ResponseTokens) ||
		ans.Outcome == record.Failed && strings.HasPrefix(ResponseText(a.Operation, a.ResponseTokens), ans.Text)
	if ans.Err != nil {
		end.Note = ans.Err.Error()
	}
	p.Log.Add(end)
	return ans
}

// hear reads the answer. A stream that ends without its last chunk has failed; no answer at all is one that was cut.
func (p *Platform) hear(c net.Conn, a Request, base record.Record) Response {
	c.SetReadDeadline(time.Now().Add(a.Timeout + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return Response{Outcome: record.Cut, Err: err}
	}
	ans := Response{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	switch {
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		ans.Outcome = record.Refused
	case resp.StatusCode != 200:
		ans.Outcome = record.Failed
	}
	if ans.Outcome != "" {
		io.Copy(io.Discard, resp.Body)
		return ans
	}
	first := base
	first.Kind = record.First
	p.Log.Add(first)
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	ans.Outcome = record.Failed
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			ans.Err = fmt.Errorf("event %q: %w", data, err)
			return ans
		}
		for _, x := range e.Choices {
			ans.Text += x.Delta.Content
		}
	}
	if ans.Err = lines.Err(); ans.Err == nil {
		ans.Outcome, ans.Complete = record.Served, true
	}
	return ans
}
