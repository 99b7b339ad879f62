// Package client plays clients of an OpenAI-style chat API: they send, read the stream, keep a record of what came
// when, hang up, and come again as the published clients do.
package client

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dillroute/lab/emulator"
	"dillroute/lab/record"
)

// Ask is one request of a client.
type Ask struct {
	Model     string
	Messages  []emulator.Message
	Mark      emulator.Mark
	MaxTokens int
	Whole     bool          // no stream
	Session   string        // prompt_cache_key
	Patience  time.Duration // without a first token
	HangupAt  int           // leave after this many events; 0 = never
	Key       string        // in place of the client's; "" = that
	Tenant    string        // in the record
}

// Result is what the client saw of one try.
type Result struct {
	Outcome record.Outcome
	Status  int
	Code    string
	Retry   bool          // the node said that a further try is harmless
	After   time.Duration // and when to come
	Text    string
	OK      bool // the text is whole and as it should be
	First   time.Duration
	Took    time.Duration
	Events  int
	Err     error
}

// Client asks one node. It is safe for concurrent use.
type Client struct {
	Key  string
	Log  *record.Log
	HTTP *http.Client
}

// New returns a client; Close ends its connections.
func New(key string, l *record.Log) *Client {
	return &Client{Key: key, Log: l, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8,
		IdleConnTimeout: 5 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close ends idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Body writes the request.
func (a *Ask) Body() []byte {
	m := map[string]any{"model": a.Model, "messages": a.Messages, "stream": !a.Whole, "x_lab": a.Mark,
		"temperature": 0}
	if a.MaxTokens > 0 {
		m["max_completion_tokens"] = a.MaxTokens
	}
	if a.Session != "" {
		m["prompt_cache_key"] = a.Session
	}
	b, _ := json.Marshal(m) // strings and numbers encode
	return b
}

// Do sends one try to a node and reads its answer. node names it in the record.
func (c *Client) Do(ctx context.Context, node, address string, a Ask) Result {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	base := record.Record{Op: a.Mark.Operation, Try: a.Mark.Attempt, Class: a.Mark.Class, Node: node, Tenant: a.Tenant}
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/v1/chat/completions", bytes.NewReader(a.Body()))
	if err != nil {
		return Result{Err: err}
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+cmp.Or(a.Key, c.Key))
	q.Header.Set("X-Stainless-Retry-Count", strconv.Itoa(a.Mark.Attempt))
	if a.Patience > 0 {
		q.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(a.Patience.Milliseconds(), 10))
	}
	note := func(k record.Kind, change func(*record.Record)) {
		r := base
		r.Kind = k
		if change != nil {
			change(&r)
		}
		c.Log.Add(r)
	}
	var once sync.Once
	late := false
	var watch *time.Timer
	if a.Patience > 0 {
		watch = time.AfterFunc(a.Patience+graceOnAnswer, func() { once.Do(func() { late = true; cancel() }) })
	}
	met := func() { // the first token ends the client's patience
		once.Do(func() {})
		if watch != nil {
			watch.Stop()
		}
	}
	note(record.Ask, func(r *record.Record) { r.Tokens = a.Patience.Seconds() })
	res := c.read(q, &a, start, func() {
		met()
		note(record.First, nil)
	})
	met()
	res.Took = time.Since(start)
	if res.Outcome == record.Cut && late {
		res.Outcome = record.Overdue
	}
	told := parent.Err() != nil && res.Outcome == record.Cut && !late // the run is over: it left, nobody cut it off
	if told || a.HangupAt > 0 && errors.Is(res.Err, errLeft) {
		note(record.Hangup, nil)
		return res
	}
	note(record.Answer, func(r *record.Record) {
		r.Outcome, r.OK, r.State = res.Outcome, res.OK, strconv.FormatBool(res.Retry)
		r.Tokens = float64(res.Events)
		r.Note = fmt.Sprintf("%d %s", res.Status, res.Code)
		if res.Err != nil {
			r.Note += " " + res.Err.Error()
		}
	})
	return res
}

// graceOnAnswer is how long beyond its patience a client still listens, so that a late answer is seen as late.
const graceOnAnswer = 300 * time.Millisecond

var errLeft = errors.New("client: left")

// read does the exchange.
func (c *Client) read(q *http.Request, a *Ask, start time.Time, first func()) Result {
	res := Result{Outcome: record.Cut}
	resp, err := c.HTTP.Do(q)
	if err != nil {
		res.Err = err
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			res.Outcome = record.Unmet
		}
		return res
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	res.Retry = resp.Header.Get("X-Should-Retry") == "true"
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		res.After = time.Duration(ms) * time.Millisecond
	}
	want, _ := emulator.ExpectedResponse(a.Messages, a.Mark, a.MaxTokens)
	switch {
	case resp.StatusCode != 200:
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			res.Err = err
			return res
		}
		res.Code = errorCode(body)
		res.Outcome = record.Failed
		if res.Retry {
			res.Outcome = record.Refused
		}
	case a.Whole:
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			res.Err = err
			return res
		}
		first()
		res.First = time.Since(start)
		var reply struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(body, &reply); err != nil || len(reply.Choices) != 1 {
			res.Err = fmt.Errorf("not a chat completion: %v", err)
			return res
		}
		res.Text = reply.Choices[0].Message.Content
		res.OK = res.Text == want
		res.Outcome = record.Served
	default:
		c.stream(resp.Body, a, start, first, want, &res)
	}
	return res
}

func errorCode(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	json.Unmarshal(body, &e) // a body of another shape has no code
	return e.Error.Code
}

// stream reads server-sent events to the end.
func (c *Client) stream(body io.Reader, a *Ask, start time.Time, first func(), want string, res *Result) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), 1<<20)
	var text strings.Builder
	ended := false
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if ended {
			res.Err = errors.New("something came after the end")
			res.Outcome = record.Cut
			return
		}
		if res.Events++; res.Events == 1 {
			res.First = time.Since(start)
			first()
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var chunk struct {
			Error   json.RawMessage `json:"error"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			res.Err = err
			return
		}
		if len(chunk.Error) > 0 {
			res.Code = errorCode([]byte(data))
			res.Outcome = record.Failed
			res.Text = text.String()
			res.OK = strings.HasPrefix(want, res.Text) // what came before is right
			return
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if a.HangupAt > 0 && res.Events >= a.HangupAt {
			res.Err = errLeft
			return
		}
	}
	res.Text = text.String()
	res.Err = sc.Err()
	if !ended {
		res.OK = strings.HasPrefix(want, res.Text)
		return
	}
	res.Outcome, res.OK = record.Served, res.Text == want
}
