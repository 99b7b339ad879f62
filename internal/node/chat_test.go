package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/record"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

func TestChatStreamedAndUnstreamedResponsesAreExact(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 1, nil), nil)
	for i := range 20 {
		request := harness.newRequest([]string{"chat", "commit"}[i%2], 5+i)
		request.NoStream = i%3 == 0
		if result := harness.send(request); result.Outcome != record.Served || !result.TextCorrect {
			t.Fatalf("request %d: got %+v, want an exact response", i, result)
		}
	}
	harness.requireNoViolations()
}

func TestChatAtMostOnceFailsWhenDecodeEngineDies(t *testing.T) {
	const tokens = 6
	for _, after := range []int{0, 1, 4, tokens, tokens + 1} { // events: the tokens, the finish reason, the end marker
		for _, unstreamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("engine crashes after %d events, unstreamed %v", after, unstreamed), func(t *testing.T) {
				harness := newChatHarness(t, emulators(1, 2, 0, nil), nil)
				for i := range 2 {
					harness.fleet.Engine(fmt.Sprint("decode-", i+1)).SetFaults(emulator.Faults{CrashAfter: &after})
				}
				request := harness.newRequest("commit", tokens)
				request.NoStream = unstreamed
				result := harness.send(request)
				if result.Outcome != record.Failed || result.RetryHarmless || !result.TextCorrect && result.Events > 0 {
					t.Fatalf("got %+v, want a failure that does not declare a retry safe", result)
				}
				if n := harness.countRecords(record.EffectStarted, request.Mark.Operation); n != 1 {
					t.Fatalf("ran %d times, want 1", n)
				}
				harness.requireNoViolations()
			})
		}
	}
}

func TestChatIdempotentIsRetriedAfterCutBeforeFirstToken(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 2, 0, nil), withLimits(map[string]any{"max_attempts": 8}))
	cut := 0
	harness.fleet.Engine("decode-1").SetFaults(emulator.Faults{CloseAfter: &cut})
	for range 8 { // a request that was cut off before its first token is served by another engine
		if result := harness.send(harness.newRequest("chat", 5)); result.Outcome != record.Served || !result.TextCorrect {
			t.Fatalf("got %+v, want it served", result)
		}
	}
	harness.requireNoViolations()
}

func TestChatClientDisconnectsAtEndOfStream(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), nil)
	for i := range 10 {
		request := harness.newRequest("commit", 8)
		request.DisconnectAfter = 8 + i%2 // the last token, or the chunk after it
		harness.send(request)
	}
	harness.eventually("the node has forgotten every request", func() bool { return harness.node.UnfinishedRequests() == 0 })
	if result := harness.send(harness.newRequest("chat", 4)); result.Outcome != record.Served {
		t.Fatalf("got %+v, want it served", result)
	}
	harness.requireNoViolations()
}

// dial opens a connection to the node.
func (h *chatHarness) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.node.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func chatRequest(request client.Request, headers string) string {
	body := request.Body()
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		testKey, headers, len(body), body)
}

func TestChatHalfClosedClientReceivesFinalResponse(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, func(s *emulator.Settings) { s.DecodeStepMS = 300 }), nil)
	request := harness.newRequest("commit", 5)
	c := harness.dial()
	io.WriteString(c, chatRequest(request, ""))
	harness.eventually("the request is open", func() bool { return harness.node.OpenRequests() == 1 })
	c.(*net.TCPConn).CloseWrite()
	text, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(text), "client_closed") {
		t.Fatalf("got %q, %v, want the final response client_closed", text, err)
	}
	harness.eventually("the node has forgotten every request", func() bool { return harness.node.UnfinishedRequests() == 0 })
}

func TestChatLostStateIsPrefilledAgain(t *testing.T) {
	harness := newChatHarness(t, emulators(2, 1, 0, nil), withLimits(map[string]any{"max_attempts": 8}))
	harness.fleet.Engine("prefill-1").SetFaults(emulator.Faults{LoseStates: true})
	for range 4 {
		if result := harness.send(harness.newRequest("commit", 4)); result.Outcome != record.Served || !result.TextCorrect {
			t.Fatalf("got %+v, want the lost state prefilled again and the request served", result)
		}
	}
	harness.requireNoViolations()
}

func TestChatStalledStreamIsCutAfterLimit(t *testing.T) {
	short := emulator.Faults{StallAfter: 3, StallSeconds: 0.4}
	long := emulator.Faults{StallAfter: 3, StallSeconds: 30}
	harness := newChatHarness(t, emulators(1, 1, 0, nil), withLimits(map[string]any{"stall_s": 1.5}))
	harness.fleet.Engine("decode-1").SetFaults(short) // longer than the token objective, shorter than the limit
	if result := harness.send(harness.newRequest("chat", 6)); result.Outcome != record.Served || !result.TextCorrect {
		t.Fatalf("stall within the limit: got %+v, want it served", result)
	}
	harness.fleet.Engine("decode-1").SetFaults(long)
	if result := harness.send(harness.newRequest("commit", 6)); result.Outcome != record.Failed || result.Code != "stream_broken" {
		t.Fatalf("stall beyond the limit: got %+v, want stream_broken", result)
	}
	harness.requireNoViolations()
}

func TestChatMalformedEngineResponsesAreRetriedWhereSafe(t *testing.T) {
	for name, faults := range map[string]emulator.Faults{"garbage": {MalformedEvent: true},
		"chunk size mismatch": {ChunkSizeMismatch: true}, "truncated body": {TruncatedBody: true}, "half close": {HalfCloseAfter: 2}} {
		t.Run(name, func(t *testing.T) {
			harness := newChatHarness(t, emulators(1, 2, 0, nil), nil)
			harness.fleet.Engine("decode-1").SetFaults(faults)
			for i := range 6 {
				request := harness.newRequest([]string{"chat", "commit"}[i%2], 5)
				result := harness.send(request)
				if request.Model == "chat" && name != "half close" && (result.Outcome != record.Served || !result.TextCorrect) {
					t.Fatalf("idempotent request: got %+v, want it served by another engine", result)
				}
				if result.Outcome != record.Served && result.Outcome != record.Failed {
					t.Fatalf("got %+v, want it served or failed", result)
				}
			}
			harness.requireNoViolations()
		})
	}
}

func TestChatInvalidRequestNeedsTwoEnginesToAgree(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 2, 0, nil), nil)
	harness.fleet.Engine("decode-1").SetFaults(emulator.Faults{RejectStatus: 422})
	for range 4 { // a rejection by one engine alone is not passed through
		if result := harness.send(harness.newRequest("commit", 4)); result.Outcome != record.Served {
			t.Fatalf("got %+v, want it served", result)
		}
	}
	harness.fleet.Engine("decode-2").SetFaults(emulator.Faults{RejectStatus: 422})
	if result := harness.send(harness.newRequest("commit", 4)); result.Status != 422 || result.RetryHarmless {
		t.Fatalf("rejected by two engines: got %+v, want status 422 without a safe retry", result)
	}
	harness.requireNoViolations()
}

func TestChatSlowRequestBodyTimesOut(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), withLimits(map[string]any{"body_s": 0.5}))
	c := harness.dial()
	text := chatRequest(harness.newRequest("chat", 4), "")
	head := strings.Index(text, "\r\n\r\n") + 4
	io.WriteString(c, text[:head])
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := head; i < len(text); i++ {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 408 {
		t.Fatalf("got %v, %v, want status 408", resp, err)
	}
	c.Close()
	<-done
}

func TestChatClientThatNeverReadsIsDisconnected(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0,
		func(s *emulator.Settings) { s.DecodeStepMS = 0.01; s.DecodeStepPerSequenceMS = 0.001 }),
		withLimits(map[string]any{"write_s": 0.3}))
	request := harness.newRequest("chat", 60000)
	request.MaxTokens = 60000
	c := harness.dial()
	c.(*net.TCPConn).SetReadBuffer(4096)
	io.WriteString(c, chatRequest(request, ""))
	harness.eventually("the request is open", func() bool { return harness.node.UnfinishedRequests() == 1 })
	harness.eventually("the client that reads nothing counts as disconnected",
		func() bool { return harness.node.UnfinishedRequests() == 0 })
}

func TestChatSilentConnectionsAreClosed(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), withLimits(map[string]any{"head_s": 1, "max_connections": 1100}))
	for range 1000 {
		harness.dial()
	}
	if result := harness.send(harness.newRequest("chat", 4)); result.Outcome != record.Served {
		t.Fatalf("with 1000 silent connections open: got %+v, want it served", result)
	}
	harness.client.Close()
	harness.eventually("the silent connections are closed", func() bool { return harness.node.Connections() <= 1 })
}

func TestChatShutdownUnderLoad(t *testing.T) {
	harness := newChatHarness(t, emulators(2, 2, 0, func(s *emulator.Settings) { s.DecodeStepMS = 20 }), nil)
	var wg sync.WaitGroup
	for i := range 60 {
		request := harness.newRequest([]string{"chat", "commit"}[i%2], 10+i)
		wg.Add(1)
		go func() { defer wg.Done(); harness.send(request) }()
	}
	harness.eventually("many requests are open", func() bool { return harness.node.OpenRequests() > 30 })
	harness.node.Shutdown(300 * time.Millisecond)
	wg.Wait()
	for _, x := range harness.log.All() {
		if x.Kind == record.FinalResponse && x.Outcome == record.ConnectionLost {
			t.Errorf("%s was cut (%s), want a final response", x.Op, x.Note)
		}
	}
	harness.requireNoViolations()
}

func TestChatInvalidEndpointListIsRejected(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), nil)
	for _, text := range []string{"{", `{"engines":[{"id":"x","address":"127.0.0.1:1","kind":"nobody"}]}`, `{"engine":[]}`} {
		if err := os.WriteFile(harness.listFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if result := harness.send(harness.newRequest("chat", 4)); result.Outcome != record.Served {
				t.Fatalf("after the list %q: got %+v, want it served", text, result)
			}
		}
	}
	harness.requireNoViolations()
}

func TestChatTwoRequestsWithOneClientID(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, func(s *emulator.Settings) { s.DecodeStepMS = 10 }), nil)
	var wg sync.WaitGroup
	for range 2 {
		request := harness.newRequest("commit", 10)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := harness.dial()
			io.WriteString(c, chatRequest(request, "X-Request-Id: same\r\nConnection: close\r\n"))
			text, _ := io.ReadAll(c)
			if !strings.Contains(string(text), "data: [DONE]") || !strings.Contains(string(text),
				emulator.TokenText(emulator.Digest(request.Messages), 9)) {
				t.Errorf("got %q, want the complete stream", text)
			}
		}()
	}
	wg.Wait()
}

func TestChatDrainingEngineReceivesNoNewAttempts(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 2, 0, nil), nil)
	harness.fleet.SetState("decode-1", "draining")
	harness.publishList()
	stop := time.Now().Add(1500 * time.Millisecond) // beyond the drain grace period and the lag that the rule checker allows
	for time.Now().Before(stop) {
		if result := harness.send(harness.newRequest("chat", 2)); result.Outcome != record.Served {
			t.Fatalf("got %+v, want it served", result)
		}
	}
	harness.requireNoViolations()
}

func TestChatPublishedClientLibraryStreams(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), nil)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := openai.NewClient(option.WithBaseURL("http://"+harness.node.Addr().String()+"/v1"), option.WithAPIKey(testKey),
		option.WithHTTPClient(&http.Client{Transport: transport}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	params := openai.ChatCompletionNewParams{Model: "chat", MaxCompletionTokens: openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You help with rosters."),
			openai.UserMessage("Who?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}}
	want := emulator.ResponseText(emulator.Digest([]emulator.Message{{Role: "system", Content: "You help with rosters."}, {Role: "user",
		Content: "Who?"}}), 7)
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil || acc.Choices[0].Message.Content != want || acc.Usage.CompletionTokens != 7 {
		t.Fatalf("got %v, %+v, want %q", err, acc, want)
	}
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	completion, err := c.Chat.Completions.New(ctx, params)
	if err != nil || completion.Choices[0].Message.Content != want || completion.Usage.CompletionTokens != 7 {
		t.Fatalf("got %v, %+v, want the same response unstreamed", err, completion)
	}
	if _, err := c.Models.Get(ctx, "commit"); err != nil {
		t.Fatal(err)
	}
	params.Model = "nobody"
	if _, err := c.Chat.Completions.New(ctx, params); err == nil || !strings.Contains(err.Error(), "model_not_found") {
		t.Fatalf("got %v, want model_not_found", err)
	}
}

// The decode engine never responds to an attempt, while the client is still waiting. The state that the attempt would have
// fetched must be released by its limit, for requests of every class.
func TestChatStateOfSilentAttemptIsReleasedInTime(t *testing.T) {
	h := newChatHarness(t, emulators(1, 1, 0, nil), nil)
	h.fleet.Engine("decode-1").SetFaults(emulator.Faults{Silent: true})
	for _, class := range []string{"chat", "commit"} {
		request := h.newRequest(class, 5)
		request.Patience = 10 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.client.Do(ctx, "node-0", h.node.Addr().String(), request)
		}()
		operation := request.Mark.Operation
		h.eventually("the state is released", func() bool {
			return h.countRecords(record.StateReserved, operation) > 0 && h.heldFor(operation) > 0
		})
		if seconds := h.heldFor(operation); seconds > 1.3 {
			t.Errorf("%s: the state was held for %.2f s, want at most 1.3 s (the limit of 1 s and a slack of 0.3 s)", class, seconds)
		}
		cancel()
		<-ended
	}
}

// heldFor returns for how long the first state of an operation was held (s); 0 = it is still held, or there was none.
func (h *chatHarness) heldFor(op string) float64 {
	reserved := record.Record{}
	for _, r := range h.log.All() {
		switch {
		case r.Kind == record.StateReserved && r.Op == op && reserved.State == "":
			reserved = r
		case r.Kind == record.StateEnded && reserved.State != "" && r.State == reserved.State:
			return r.T - reserved.T
		}
	}
	return 0
}
