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

func TestStreamAndWholeAnswersAreExact(t *testing.T) {
	r := newRig(t, engines(1, 1, 1, nil), nil)
	for i := range 20 {
		a := r.ask([]string{"chat", "commit"}[i%2], 5+i)
		a.Whole = i%3 == 0
		if res := r.do(a); res.Outcome != record.Served || !res.OK {
			t.Fatalf("request %d: %+v", i, res)
		}
	}
	r.lawful()
}

func TestWriterDiesMidStreamOfOnce(t *testing.T) {
	const tokens = 6
	for _, after := range []int{0, 1, 4, tokens, tokens + 1} { // events: the tokens, the reason, the mark of the end
		for _, whole := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %d, whole %v", after, whole), func(t *testing.T) {
				r := newRig(t, engines(1, 2, 0, nil), nil)
				for i := range 2 {
					r.fleet.Engine(fmt.Sprint("decode-", i+1)).SetFaults(emulator.Faults{CrashAfter: &after})
				}
				a := r.ask("commit", tokens)
				a.Whole = whole
				res := r.do(a)
				if res.Outcome != record.Failed || res.Retry || !res.OK && res.Events > 0 {
					t.Fatalf("want a clear failure without the word that a retry is harmless: %+v", res)
				}
				if n := r.count(record.Run, a.Mark.Operation); n != 1 {
					t.Fatalf("ran %d times", n)
				}
				r.lawful()
			})
		}
	}
}

func TestWriterCutsStreamOfRepeatable(t *testing.T) {
	r := newRig(t, engines(1, 2, 0, nil), limits(map[string]any{"max_attempts": 8}))
	cut := 0
	r.fleet.Engine("decode-1").SetFaults(emulator.Faults{CloseAfter: &cut})
	for range 8 { // before the first token another engine serves it
		if res := r.do(r.ask("chat", 5)); res.Outcome != record.Served || !res.OK {
			t.Fatalf("%+v", res)
		}
	}
	r.lawful()
}

func TestClientHangsUpJustBeforeTheEnd(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), nil)
	for i := range 10 {
		a := r.ask("commit", 8)
		a.HangupAt = 8 + i%2 // the last token, or the chunk after it
		r.do(a)
	}
	r.eventually("the node holds nothing", func() bool { return r.node.Held() == 0 })
	if res := r.do(r.ask("chat", 4)); res.Outcome != record.Served {
		t.Fatalf("%+v", res)
	}
	r.lawful()
}

// raw opens a connection to the node.
func (r *rig) raw() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.node.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func post(a client.Ask, headers string) string {
	b := a.Body()
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		testKey, headers, len(b), b)
}

func TestClientHalfCloses(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, func(s *emulator.Settings) { s.DecodeStepMS = 300 }), nil)
	a := r.ask("commit", 5)
	c := r.raw()
	io.WriteString(c, post(a, ""))
	r.eventually("the request is held", func() bool { return r.node.Live() == 1 })
	c.(*net.TCPConn).CloseWrite()
	text, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(text), "client_closed") {
		t.Fatalf("a half-closing client gets a last word, got %q, %v", text, err)
	}
	r.eventually("the node holds nothing", func() bool { return r.node.Held() == 0 })
}

func TestReaderDiesBetweenReadAndFetch(t *testing.T) {
	r := newRig(t, engines(2, 1, 0, nil), limits(map[string]any{"max_attempts": 8}))
	r.fleet.Engine("prefill-1").SetFaults(emulator.Faults{LoseStates: true})
	for range 4 {
		if res := r.do(r.ask("commit", 4)); res.Outcome != record.Served || !res.OK {
			t.Fatalf("a lost state is read anew, elsewhere in the end: %+v", res)
		}
	}
	r.lawful()
}

func TestStreamStalls(t *testing.T) {
	short := emulator.Faults{StallAfter: 3, StallSeconds: 0.4}
	long := emulator.Faults{StallAfter: 3, StallSeconds: 30}
	r := newRig(t, engines(1, 1, 0, nil), limits(map[string]any{"stall_s": 1.5}))
	r.fleet.Engine("decode-1").SetFaults(short) // longer than the aim, shorter than the bound
	if res := r.do(r.ask("chat", 6)); res.Outcome != record.Served || !res.OK {
		t.Fatalf("a stall within bounds is waited for: %+v", res)
	}
	r.fleet.Engine("decode-1").SetFaults(long)
	if res := r.do(r.ask("commit", 6)); res.Outcome != record.Failed || res.Code != "stream_broken" {
		t.Fatalf("a stall beyond the bound ends the stream: %+v", res)
	}
	r.lawful()
}

func TestEngineTalksNonsense(t *testing.T) {
	for name, f := range map[string]emulator.Faults{"garbage": {MalformedEvent: true}, "lying chunk": {ChunkSizeMismatch: true},
		"cut body": {TruncatedBody: true}, "half close": {HalfCloseAfter: 2}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, engines(1, 2, 0, nil), nil)
			r.fleet.Engine("decode-1").SetFaults(f)
			for i := range 6 {
				a := r.ask([]string{"chat", "commit"}[i%2], 5)
				res := r.do(a)
				if a.Model == "chat" && name != "half close" && (res.Outcome != record.Served || !res.OK) {
					t.Fatalf("a repeatable request goes elsewhere: %+v", res)
				}
				if res.Outcome != record.Served && res.Outcome != record.Failed {
					t.Fatalf("%+v", res)
				}
			}
			r.lawful()
		})
	}
}

func TestEngineJudgesTheRequest(t *testing.T) {
	r := newRig(t, engines(1, 2, 0, nil), nil)
	r.fleet.Engine("decode-1").SetFaults(emulator.Faults{RejectStatus: 422})
	for range 4 { // one engine that dislikes everything is not believed
		if res := r.do(r.ask("commit", 4)); res.Outcome != record.Served {
			t.Fatalf("%+v", res)
		}
	}
	r.fleet.Engine("decode-2").SetFaults(emulator.Faults{RejectStatus: 422})
	if res := r.do(r.ask("commit", 4)); res.Status != 422 || res.Retry {
		t.Fatalf("two that agree are: %+v", res)
	}
	r.lawful()
}

func TestClientSendsByteByByte(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), limits(map[string]any{"body_s": 0.5}))
	c := r.raw()
	text := post(r.ask("chat", 4), "")
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
		t.Fatalf("%v %v", resp, err)
	}
	c.Close()
	<-done
}

func TestClientReadsNothing(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, func(s *emulator.Settings) { s.DecodeStepMS = 0.01; s.DecodeStepPerSequenceMS = 0.001 }),
		limits(map[string]any{"write_s": 0.3}))
	a := r.ask("chat", 60000)
	a.MaxTokens = 60000
	c := r.raw()
	c.(*net.TCPConn).SetReadBuffer(4096)
	io.WriteString(c, post(a, ""))
	r.eventually("it is held", func() bool { return r.node.Held() == 1 })
	r.eventually("a client that takes nothing counts as gone", func() bool { return r.node.Held() == 0 })
}

func TestConnectionsThatNeverSend(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), limits(map[string]any{"head_s": 1, "max_connections": 1100}))
	for range 1000 {
		r.raw()
	}
	if res := r.do(r.ask("chat", 4)); res.Outcome != record.Served {
		t.Fatalf("others are served meanwhile: %+v", res)
	}
	r.client.Close()
	r.eventually("they are closed", func() bool { return r.node.Connections() <= 1 })
}

func TestShutdownUnderLoad(t *testing.T) {
	r := newRig(t, engines(2, 2, 0, func(s *emulator.Settings) { s.DecodeStepMS = 20 }), nil)
	var wg sync.WaitGroup
	for i := range 60 {
		a := r.ask([]string{"chat", "commit"}[i%2], 10+i)
		wg.Add(1)
		go func() { defer wg.Done(); r.do(a) }()
	}
	r.eventually("many are held", func() bool { return r.node.Live() > 30 })
	r.node.Shutdown(300 * time.Millisecond)
	wg.Wait()
	for _, x := range r.log.All() {
		if x.Kind == record.Answer && x.Outcome == record.Cut {
			t.Errorf("%s was cut: %s", x.Op, x.Note)
		}
	}
	r.lawful()
}

func TestInvalidListIsNotTaken(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), nil)
	for _, text := range []string{"{", `{"engines":[{"id":"x","address":"127.0.0.1:1","kind":"nobody"}]}`, `{"engine":[]}`} {
		if err := os.WriteFile(r.list, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if res := r.do(r.ask("chat", 4)); res.Outcome != record.Served {
				t.Fatalf("after the list %q: %+v", text, res)
			}
		}
	}
	r.lawful()
}

func TestTwoRequestsWithOneClientID(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, func(s *emulator.Settings) { s.DecodeStepMS = 10 }), nil)
	var wg sync.WaitGroup
	for range 2 {
		a := r.ask("commit", 10)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.raw()
			io.WriteString(c, post(a, "X-Request-Id: same\r\nConnection: close\r\n"))
			text, _ := io.ReadAll(c)
			if !strings.Contains(string(text), "data: [DONE]") || !strings.Contains(string(text), emulator.TokenText(emulator.Digest(a.Messages), 9)) {
				t.Errorf("got %q", text)
			}
		}()
	}
	wg.Wait()
}

func TestDrainedEngineGetsNothingNew(t *testing.T) {
	r := newRig(t, engines(1, 2, 0, nil), nil)
	r.fleet.Mark("decode-1", "draining")
	r.publish()
	stop := time.Now().Add(1500 * time.Millisecond) // beyond the grace and the lag that the checker allows
	for time.Now().Before(stop) {
		if res := r.do(r.ask("chat", 2)); res.Outcome != record.Served {
			t.Fatalf("%+v", res)
		}
	}
	r.lawful()
}

func TestPublishedClientStreams(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), nil)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	c := openai.NewClient(option.WithBaseURL("http://"+r.node.Addr().String()+"/v1"), option.WithAPIKey(testKey),
		option.WithHTTPClient(&http.Client{Transport: tr}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	params := openai.ChatCompletionNewParams{Model: "chat", MaxCompletionTokens: openai.Int(7),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You help with rosters."), openai.UserMessage("Who?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}}
	want := emulator.ResponseText(emulator.Digest([]emulator.Message{{Role: "system", Content: "You help with rosters."}, {Role: "user", Content: "Who?"}}), 7)
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil || acc.Choices[0].Message.Content != want || acc.Usage.CompletionTokens != 7 {
		t.Fatalf("%v, %+v, want %q", err, acc, want)
	}
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	whole, err := c.Chat.Completions.New(ctx, params)
	if err != nil || whole.Choices[0].Message.Content != want || whole.Usage.CompletionTokens != 7 {
		t.Fatalf("%v, %+v", err, whole)
	}
	if _, err := c.Models.Get(ctx, "commit"); err != nil {
		t.Fatal(err)
	}
	params.Model = "nobody"
	if _, err := c.Chat.Completions.New(ctx, params); err == nil || !strings.Contains(err.Error(), "model_not_found") {
		t.Fatalf("%v", err)
	}
}
