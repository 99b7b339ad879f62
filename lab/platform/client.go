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

// Ask is one request of a client in good order.
type Ask struct {
	Op       string
	Class    string
	Tenant   string
	Session  string
	Tokens   int // of the answer
	Patience time.Duration
	ID       string // "" = a new one
	Head     string // further header lines, each with its end
}

// Answer is what a client got.
type Answer struct {
	Status  int
	Text    string
	Done    bool // the stream came to its last chunk
	After   string
	Outcome record.Outcome
	Err     error
	Took    time.Duration
}

var calls atomic.Uint64

// Request is the text of a request.
func (a Ask) Request() string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, a.Tokens, a.Op)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"+
		"X-Route-Hash: %s\r\nX-Budget: %.3f\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		a.ID, a.Class, a.Tenant, a.Session, a.Patience.Seconds(), a.Tokens, a.Head, len(body), body)
}

// Do makes a request on a connection of its own.
func (p *Platform) Do(addr string, a Ask) Answer {
	if a.ID == "" {
		a.ID = fmt.Sprintf("%016x", calls.Add(1))
	}
	p.Call(a.ID, Op{Name: a.Op, Class: a.Class, Tokens: a.Tokens})
	start := time.Now()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return Answer{Outcome: record.Unreachable, Err: err}
	}
	defer c.Close()
	base := record.Record{Op: a.Op, Class: a.Class, Node: p.Node}
	ask := base
	ask.Kind, ask.Tokens = record.RequestSent, a.Patience.Seconds()
	p.Log.Add(ask)
	if _, err = io.WriteString(c, a.Request()); err != nil {
		return Answer{Outcome: record.Cut, Err: err}
	}
	ans := p.hear(c, a, base)
	ans.Took = time.Since(start)
	end := base
	end.Kind, end.Outcome, end.OK = record.FinalResponse, ans.Outcome, ans.Outcome == record.Served && ans.Text == Whole(a.Op, a.Tokens) ||
		ans.Outcome == record.Failed && strings.HasPrefix(Whole(a.Op, a.Tokens), ans.Text)
	if ans.Err != nil {
		end.Note = ans.Err.Error()
	}
	p.Log.Add(end)
	return ans
}

// hear reads the answer. A stream that ends without its last chunk has failed; no answer at all is one that was cut.
func (p *Platform) hear(c net.Conn, a Ask, base record.Record) Answer {
	c.SetReadDeadline(time.Now().Add(a.Patience + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return Answer{Outcome: record.Cut, Err: err}
	}
	ans := Answer{Status: resp.StatusCode, After: resp.Header.Get("Retry-After")}
	switch {
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		ans.Outcome = record.Rejected
	case resp.StatusCode != 200:
		ans.Outcome = record.Failed
	}
	if ans.Outcome != "" {
		io.Copy(io.Discard, resp.Body)
		return ans
	}
	first := base
	first.Kind = record.FirstToken
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
		ans.Outcome, ans.Done = record.Served, true
	}
	return ans
}
