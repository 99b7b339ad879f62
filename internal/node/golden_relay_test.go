package node_test

import (
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dillroute/internal/goldenfile"
	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"

	"go.uber.org/goleak"
)

// newGoldenRelayHarness is newRelayHarness with a tap in front of each engine.
func newGoldenRelayHarness(t *testing.T, memoryMB int, engines ...string) (*relayHarness, map[string]*platform.Engine, goldenTaps) {
	t.Helper()
	h := &relayHarness{t: t, log: &record.Log{}, settings: platform.SettingsJSON, configFile: filepath.Join(t.TempDir(), "config.json")}
	h.platform = platform.New("n0", h.log)
	byID, taps := map[string]*platform.Engine{}, goldenTaps{}
	h.discovery = h.platform.StartDiscovery()
	for _, e := range engines {
		id, role, _ := strings.Cut(e, " ")
		byID[id] = h.platform.StartEngine(id, role)
		taps[id] = newGoldenTap(t, byID[id].Address())
		h.discovery.Update(id, func(x *platform.Endpoint) {
			*x = platform.Endpoint{ID: id, Address: taps[id].addr(), Zone: "z", Kind: role, State: "up", Weight: 1}
		})
	}
	h.writeConfig(memoryMB, 256)
	h.node = startGoldenRelay(t, h.configFile)
	t.Cleanup(func() {
		if !h.stopped {
			h.node.Shutdown(0)
		}
		h.discovery.Close()
		taps.close()
		h.platform.Stop()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	h.eventually("the node is ready", h.node.Ready)
	return h, byID, taps
}

// startGoldenRelay starts a node with a configuration file.
func startGoldenRelay(t *testing.T, file string) *node.RelayNode {
	t.Helper()
	cfg, err := relay.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// goldenRelayRequest returns a valid request and registers its id with the platform.
func (h *relayHarness) goldenRelayRequest(id, class string) string {
	request := platform.Request{Operation: "op" + id, Class: class, Tenant: "branch", Session: "abc", ResponseTokens: 3,
		Timeout: 4 * time.Second, ID: id}
	h.platform.RegisterCall(id, platform.Operation{Name: request.Operation, Class: class, ResponseTokens: request.ResponseTokens})
	return request.Encode()
}

// Valid requests that engines serve.
func TestGoldenRelayServed(t *testing.T) {
	harness, engines, taps := newGoldenRelayHarness(t, 64, "r0 read", "w0 write")
	withHeader := func(id, lines string) string {
		return strings.Replace(harness.goldenRelayRequest(id, "chat"), "X-Caller", lines+"X-Caller", 1)
	}
	unstreamed := strings.Replace(harness.goldenRelayRequest("a9", "chat"), `"stream":true`, `"stream":null`, 1)
	var b strings.Builder
	goldenRun(t, &b, harness.node.Addr().String(), taps, []goldenCase{
		{name: "repeatable class", request: harness.goldenRelayRequest("a1", "chat")},
		{name: "class that runs once", request: harness.goldenRelayRequest("a2", "commit")},
		{name: "id that was taken before", request: harness.goldenRelayRequest("a1", "chat")},
		{name: "again by the client", request: withHeader("a3", "X-Again: 1\r\n")},
		{name: "again after a node's end", request: withHeader("a4", "X-Again: again\r\n")},
		{name: "further fields", request: withHeader("a5",
			"Traceparent: 00-1-2-3\r\nX-Other: one\r\nX-Other: two\r\nCookie: c=1\r\nAuthorization: Bearer k\r\n")},
		{name: "fields of the connection", request: withHeader("a6",
			"Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n")},
		{name: "path with a query", request: strings.Replace(harness.goldenRelayRequest("a7", "chat"), "completions HTTP",
			"completions?x=1&y=%20 HTTP", 1)},
		{name: "HTTP 1.0", request: strings.Replace(harness.goldenRelayRequest("a8", "chat"), "HTTP/1.1", "HTTP/1.0", 1)},
		{name: "stream is not asked for", request: unstreamed},
		{name: "chunked request", request: goldenChunked(harness.goldenRelayRequest("b1", "chat"))},
		{name: "no session and no information", request: goldenWithout(harness.goldenRelayRequest("b2", "chat"), "X-Route-Hash",
			"X-Call-Info")},
		{name: "interim answers of the engine", request: harness.goldenRelayRequest("b3", "chat"),
			before: func() { engines["w0"].QueueFaults(platform.InterimResponses) }},
		{name: "load report that cannot be read", request: harness.goldenRelayRequest("b4", "chat"),
			before: func() { engines["w0"].QueueFaults(platform.MalformedLoadReport) }},
		{name: "readiness", request: "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"},
		{name: "readiness, head alone", request: "HEAD /healthz HTTP/1.1\r\nHost: h\r\n\r\n"},
	})
	goldenfile.Compare(t, "relay_served", b.String(), "")
}

// goldenChunked returns a request with its body in one chunk.
func goldenChunked(request string) string {
	head, body, _ := strings.Cut(request, "\r\n\r\n")
	return contentLength.ReplaceAllString(head+"\r\n",
		"Transfer-Encoding: chunked\r") + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// goldenWithout returns a request without the given header fields.
func goldenWithout(request string, fields ...string) string {
	var remaining []string
	for _, l := range strings.SplitAfter(request, "\r\n") {
		name, _, _ := strings.Cut(l, ":")
		drop := false
		for _, f := range fields {
			drop = drop || name == f
		}
		if !drop {
			remaining = append(remaining, l)
		}
	}
	return strings.Join(remaining, "")
}

// goldenRelayWithBody returns a request with a valid header and the given body.
func goldenRelayWithBody(text string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-Id: l%d\r\n"+
		"X-Call-Class: chat\r\nX-Caller: branch\r\nX-Budget: 1\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(text), len(text), text)
}

// Requests that the node rejects as invalid.
func TestGoldenRelayInvalidRequests(t *testing.T) {
	harness, _, taps := newGoldenRelayHarness(t, 64, "r0 read", "w0 write")
	n := 0
	edit := func(old, new string) string {
		n++
		return strings.Replace(harness.goldenRelayRequest(fmt.Sprintf("ab%d", n), "chat"), old, new, 1)
	}
	var cases []goldenCase
	for _, c := range [][2]string{
		{"no id", edit("X-Call-Id:", "X-Other:")},
		{"two ids", edit("X-Caller", "X-Call-Id: 77\r\nX-Caller")},
		{"id with a slash", edit("X-Call-Id: ab", "X-Call-Id: ../ab")},
		{"id too long", edit("X-Call-Id: ab", "X-Call-Id: "+strings.Repeat("ab", 40))},
		{"unknown class", edit("X-Call-Class: chat", "X-Call-Class: gossip")},
		{"no class", edit("X-Call-Class:", "X-Other:")},
		{"unknown tenant", edit("X-Caller: branch", "X-Caller: nobody")},
		{"no tenant", edit("X-Caller:", "X-Other:")},
		{"session too long", edit("X-Route-Hash: abc", "X-Route-Hash: "+strings.Repeat("x", 300))},
		{"no budget", edit("X-Budget:", "X-Other:")},
		{"budget in words", edit("X-Budget: 4.000", "X-Budget: soon")},
		{"budget not a number", edit("X-Budget: 4.000", "X-Budget: NaN")},
		{"budget infinite", edit("X-Budget: 4.000", "X-Budget: Inf")},
		{"budget negative", edit("X-Budget: 4.000", "X-Budget: -1")},
		{"budget zero", edit("X-Budget: 4.000", "X-Budget: 0")},
		{"budget beyond an hour", edit("X-Budget: 4.000", "X-Budget: 3601")},
		{"length negative", edit("prompt_len=20", "prompt_len=-20")},
		{"length huge", edit("prompt_len=20", "prompt_len=1e300")},
		{"length in words", edit("max_out=3", "max_out=many")},
		{"prefix beyond", edit("prefix_len=0", "prefix_len=21")},
		{"info malformed", edit("prompt_len=20", "prompt_len")},
		{"unknown retry mark", edit("X-Budget", "X-Again: perhaps\r\nX-Budget")},
		{"no JSON", edit(`{"model"`, `<"model"`)},
		{"a list", goldenRelayWithBody("[]")},
		{"an empty body", goldenRelayWithBody("")},
		{"two lengths", edit("Content-Length:", "Content-Length: 1\r\nContent-Length:")},
		{"length and chunks", edit("Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:")},
		{"unknown coding", edit("Content-Length:", "Transfer-Encoding: gzip\r\nX-Length:")},
		{"chunk size that is none", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{"negative length", edit("Content-Length: ", "Content-Length: -")},
		{"huge length", edit("Content-Length: ", "Content-Length: 99999999999999999999")},
		{"60 MB", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 62914560\r\n\r\n"},
		{"head of 100 kB", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 100_000) + "\r\n\r\n"},
		{"bare LF", strings.ReplaceAll(edit("", ""), "\r\n", "\n")},
		{"no host", edit("Host: origin.svc\r\n", "")},
		{"space in a name", edit("X-Caller:", "X-Caller :")},
		{"folded line", edit("X-Caller:", "X-Fold: a\r\n b\r\nX-Caller:")},
		{"version 2", edit("HTTP/1.1", "HTTP/2.0")},
		{"expectation that is not known", edit("X-Caller", "Expect: wonders\r\nX-Caller")},
		{"other path", "GET /v1/servers HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"path with dots", "GET /../healthz HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"other method", edit("POST", "PUT")},
		{"method of the readiness path", "POST /healthz HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{"noise", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"},
	} {
		cases = append(cases, goldenCase{name: c[0], request: c[1]})
	}
	var b strings.Builder
	goldenRun(t, &b, harness.node.Addr().String(), taps, cases)
	goldenfile.Compare(t, "relay_not_in_order", b.String(), "")
}

// Faults of engines. Each case has a node and engines of its own.
func TestGoldenRelayFaults(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		class string
		fault platform.Fault
	}{
		{"commit", platform.InternalError}, {"commit", platform.Unavailable}, {"commit", platform.CloseBeforeResponse}, {"commit",
			platform.MalformedHead},
		{"commit", platform.GarbageHead}, {"commit", platform.CloseMidStream}, {"commit", platform.MalformedChunkSize}, {"commit",
			platform.ChunkSizeMismatch},
		{"commit", platform.NoFinalEvent}, {"commit", platform.CloseInLastChunk}, {"chat", platform.CloseMidStream}, {"chat",
			platform.MalformedChunkSize},
		{"chat", platform.NoFinalEvent}, {"chat", platform.SecondResponse},
	} {
		t.Run(c.class+" "+string(c.fault), func(t *testing.T) {
			harness, engines, taps := newGoldenRelayHarness(t, 64, "r0 read", "w0 write")
			engines["w0"].QueueFaults(c.fault)
			goldenRun(t, &b, harness.node.Addr().String(), taps, []goldenCase{
				{name: "engine fails, " + c.class + ": " + string(c.fault), request: harness.goldenRelayRequest("f1", c.class)}})
		})
	}
	goldenfile.Compare(t, "relay_faults", b.String(), "")
}

// Requests to a node that shuts down. The response without any engine is not covered: under load it has one of two texts.
func TestGoldenRelayShutdown(t *testing.T) {
	var b strings.Builder
	t.Run("stop", func(t *testing.T) {
		harness, _, taps := newGoldenRelayHarness(t, 64, "r0 read", "w0 write")
		harness.stopped = true
		goldenShutdown(t, &b, harness.node.Addr().String(), harness.goldenRelayRequest("s1", "chat"), taps,
			func() { harness.node.Shutdown(2 * time.Second) }, harness.node.Ready)
	})
	t.Run("short stop", func(t *testing.T) {
		harness, _, taps := newGoldenRelayHarness(t, 64, "r0 read", "w0 write")
		harness.stopped = true
		goldenShutdown(t, &b, harness.node.Addr().String(), harness.goldenRelayRequest("s2", "chat"), taps,
			func() { harness.node.Shutdown(200 * time.Millisecond) }, harness.node.Ready)
	})
	goldenfile.Compare(t, "relay_refused", b.String(), "")
}
