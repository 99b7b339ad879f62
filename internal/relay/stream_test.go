package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// grantAlways is an observer that grants the response to each attempt.
type grantAlways struct{}

func (grantAlways) LoadReported(*scheduler.LoadReport) {}
func (grantAlways) RequestGrant() bool                 { return true }

// streamSource is an engine that answers each request with the same stream, and the client and node on either side of it.
type streamSource struct {
	t       *testing.T
	engines *Engines
	server  *http1.Server
	node    net.Listener
	engine  net.Listener
	stage   outcome.Stage
	first   string // response to the first request on a connection; "" = the stream
	results chan protocol.Result
	conns   chan net.Conn // connections that the engine has accepted
}

// newStreamSource starts an engine that answers with the given chunks, and a node that forwards each request to it.
func newStreamSource(t *testing.T, stage outcome.Stage, chunks ...string) *streamSource {
	t.Helper()
	return newStreamSourceAfter(t, "", stage, chunks...)
}

// newStreamSourceAfter is newStreamSource with another response to the first request on each connection.
func newStreamSourceAfter(t *testing.T, first string, stage outcome.Stage, chunks ...string) *streamSource {
	t.Helper()
	s := &streamSource{t: t, first: first, stage: stage, results: make(chan protocol.Result, 8), conns: make(chan net.Conn, 8)}
	s.engine, s.node = listen(t), listen(t)
	go s.serveEngine(chunks)
	s.engines = NewEngines(&settings.Settings{ConnectTimeout: 1, EngineIdleTimeout: 30}, 8,
		func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", s.engine.Addr().String())
		})
	s.server = &http1.Server{Limits: http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: 1 << 10},
		Timeouts: http1.Timeouts{Head: time.Second, Body: time.Second, Idle: time.Second, Write: time.Second},
		Handler:  http1.HandlerFunc(s.forward)}
	go s.server.Serve(s.node)
	t.Cleanup(func() {
		s.engine.Close()
		s.node.Close()
		s.server.Close()
		s.engines.Close()
	})
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (s *streamSource) serveEngine(chunks []string) {
	for {
		c, err := s.engine.Accept()
		if err != nil {
			return
		}
		s.conns <- c
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				if n == 0 && s.first != "" {
					io.WriteString(c, s.first)
					continue
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				for _, chunk := range chunks {
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
					time.Sleep(time.Millisecond) // a write of its own
				}
				io.WriteString(c, "0\r\n\r\n")
			}
		}()
	}
}

// forward makes one attempt for a request.
func (s *streamSource) forward(x *http1.Exchange) {
	a := &attempt{engines: s.engines, id: "1eff", method: "POST", target: pathChat, body: []byte("{}"), client: x,
		spec: protocol.AttemptSpec{Address: "engine", Stage: s.stage, Timeout: 2 * time.Second,
			ClientDeadline: time.Now().Add(2 * time.Second)}}
	result := a.Run(grantAlways{})
	switch {
	case result.Evidence.ResponseKind == outcome.PrefillDone:
		x.Reply(202, nil, nil)
	case result.Evidence.Cause != outcome.ResponseComplete && x.Begun():
		x.AbortBody()
	case result.Evidence.Cause != outcome.ResponseComplete:
		x.Reply(500, nil, nil)
	}
	s.results <- result
}

// request sends a request and returns the body that the client got, the attempt's result, and the error with which the body ended.
func (s *streamSource) request() (body string, result protocol.Result, err error) {
	s.t.Helper()
	response, err := http.Post("http://"+s.node.Addr().String()+pathChat, "application/json", strings.NewReader("{}"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), <-s.results, err
}

const (
	firstEvent = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
	doneEvent  = "data: [DONE]\n\n"
	reportLine = ": X-Load-Report: util=0.61,queue=2,x0=0.1"
)

// A stream that ended with a bare comment was cut off: its load report was lost, and so was the connection. The client must get the events
// unchanged and the last chunk, the report must reach the scheduler, and the connection must carry the next request.
func TestStreamThatEndsWithCommentKeepsReportAndConnection(t *testing.T) {
	for name, chunks := range map[string][]string{
		"comment and empty line":        {firstEvent, doneEvent + reportLine + "\n\n"},
		"bare comment":                  {firstEvent, doneEvent + reportLine + "\n"},
		"comment in a chunk of its own": {firstEvent, doneEvent, reportLine + "\n"},
		"comment in pieces":             {firstEvent, doneEvent, reportLine[:12], reportLine[12:] + "\n"},
		"comment without line ending":   {firstEvent, doneEvent, reportLine},
		"comment that ends with CR":     {firstEvent, doneEvent, reportLine + "\r"},
		"comments around it":            {firstEvent, doneEvent, ":\n", reportLine + "\n", ": bye\n"},
		"comment before final event":    {firstEvent, reportLine + "\n", doneEvent},
	} {
		t.Run(name, func(t *testing.T) {
			for _, stage := range []outcome.Stage{outcome.Decode, outcome.Prefill} {
				s := newStreamSource(t, stage, chunks...)
				for range 2 {
					body, result, err := s.request()
					withoutReport := strings.ReplaceAll(body, reportLine+"\n", "")
					if err != nil || withoutReport != firstEvent+doneEvent {
						t.Errorf("%v: the client got %q and %v, want %q to its end", stage, body, err, firstEvent+doneEvent)
					}
					if result.Report == nil || result.Report.Utilization != 0.61 || result.Report.Waiting != 2 {
						t.Errorf("%v: got the load report %+v, want that of the comment", stage, result.Report)
					}
					time.Sleep(minIdleTime + 20*time.Millisecond) // a connection is reused only after it has been idle for a moment
				}
				if n := len(s.conns); n != 1 {
					t.Errorf("%v: got %d connections to the engine for two requests, want one that is reused", stage, n)
				}
			}
		})
	}
}

// A body that ends within an event before the final one is a broken stream: the client must not get the last chunk for it.
func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	for name, chunks := range map[string][]string{
		"half an event":                      {firstEvent, firstEvent[:20]},
		"event without its empty line":       {firstEvent, strings.TrimSuffix(firstEvent, "\n")},
		"final event without its empty line": {firstEvent, strings.TrimSuffix(doneEvent, "\n")},
		"no final event":                     {firstEvent},
		"comment alone after the events":     {firstEvent, reportLine + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			body, result, err := newStreamSource(t, outcome.Decode, chunks...).request()
			if err == nil || result.Evidence.Cause != outcome.ConnectionBroken {
				t.Errorf("the client got %q and %v, the attempt ended with %v, want a broken stream", body, err, result.Evidence.Cause)
			}
		})
	}
}

// A late second response to an earlier request looks like the response to a prefill on the same connection. It must not reach the client of
// that request, which may have run all the same if the engine has become one that decodes.
func TestStreamOnConnectionWithFinishedPrefillIsNotForwarded(t *testing.T) {
	s := newStreamSourceAfter(t, "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n", outcome.Prefill, firstEvent, doneEvent)
	if _, result, _ := s.request(); result.Evidence.ResponseKind != outcome.PrefillDone {
		t.Fatalf("got %+v, want a finished prefill", result.Evidence)
	}
	time.Sleep(minIdleTime + 20*time.Millisecond)
	body, result, _ := s.request()
	evidence := result.Evidence
	evidence.Stage = outcome.Prefill
	if body != "" || evidence.Cause != outcome.MalformedResponse || !outcome.Classify(evidence).MayHaveRun {
		t.Errorf("the client got %q; got the evidence %+v, want a malformed response of an attempt that may have run", body, evidence)
	}
	if n := len(s.conns); n != 1 {
		t.Errorf("got %d connections, want one", n)
	}
}
