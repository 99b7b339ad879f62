package node_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"dillroute/internal/goldenfile"
	"dillroute/lab/emulator"
	"dillroute/lab/fleet"
)

// newGoldenChatHarness is newChatHarness with a tap in front of each engine.
func newGoldenChatHarness(t *testing.T, members []fleet.Member) (*chatHarness, goldenTaps) {
	t.Helper()
	taps := goldenTaps{}
	t.Cleanup(taps.close) // after the cleanup of the harness
	harness := newChatHarness(t, members, func(m map[string]any) {
		engines := m["engines"].(map[string]any)
		engines["file"] = tapList(t, engines["file"].(string), taps)
	})
	harness.eventually("the node is ready", harness.node.Ready)
	return harness, taps
}

// goldenBody returns the body of a request for a response of three tokens. more is further JSON members.
func goldenBody(model, stream, more string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"system","content":"You help."},{"role":"user","content":"Who covers?"}],`+
		`"stream":%s,"max_completion_tokens":20%s,"x_lab":{"op":"op1","try":0,"class":%q,"answer":3}}`, model, stream, more, model)
}

// goldenChat returns a valid request with the given body and further header lines.
func goldenChat(body, headerLines string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		testKey, headerLines, len(body), body)
}

// goldenGet returns a request without a body.
func goldenGet(method, path, headerLines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s\r\n", method, path, testKey, headerLines)
}

func init() {
	goldenMasks = append(goldenMasks,
		goldenMask{"request id assigned by the node", regexp.MustCompile(`node-0-[0-9a-z]+(-[0-9a-z]+)*`), `node-0-ID`},
		goldenMask{"time left, as sent to chat engines", regexp.MustCompile(`(?m)^(X-Request-Timeout-Ms: )\d+(\r?)$`),
			`${1}MILLISECONDS${2}`})
}

// Valid requests that engines serve.
func TestGoldenChatServed(t *testing.T) {
	harness, taps := newGoldenChatHarness(t, emulators(1, 1, 0, nil))
	valid := goldenBody("chat", "true", "")
	var b strings.Builder
	goldenRun(t, &b, harness.node.Addr().String(), taps, []goldenCase{
		{name: "streamed", request: goldenChat(valid, "")},
		{name: "streamed, with usage", request: goldenChat(goldenBody("chat", "true", `,"stream_options":{"include_usage":true}`), "")},
		{name: "not streamed", request: goldenChat(goldenBody("chat", "false", ""), "")},
		{name: "class that runs once", request: goldenChat(goldenBody("commit", "true", ""), "")},
		{name: "class that runs once, not streamed", request: goldenChat(goldenBody("commit", "false", ""), "")},
		{name: "further members", request: goldenChat(goldenBody("chat", "true",
			`,"temperature":0.5,"seed":1,"x_more":{"a":[1, 2]}`), "")},
		{name: "session", request: goldenChat(goldenBody("chat", "true", `,"prompt_cache_key":"abc"`), "")},
		{name: "further fields", request: goldenChat(valid,
			"Traceparent: 00-1-2-3\r\nTracestate: a=b\r\nIdempotency-Key: k1\r\nX-Request-Id: mine\r\n"+
				"X-Other: 1\r\nCookie: c=1\r\nX-Stainless-Retry-Count: 1\r\nX-Request-Timeout-Ms: 3000\r\n")},
		{name: "connection that is to close", request: goldenChat(valid, "Connection: close\r\n")},
		{name: "HTTP 1.0", request: strings.Replace(goldenChat(valid, ""), "HTTP/1.1", "HTTP/1.0", 1)},
		{name: "chunked request", request: goldenChunked(goldenChat(valid, ""))},
		{name: "models", request: goldenGet("GET", "/v1/models", "")},
		{name: "models, head alone", request: goldenGet("HEAD", "/v1/models", "")},
		{name: "one model", request: goldenGet("GET", "/v1/models/commit", "")},
		{name: "options of a path", request: goldenGet("OPTIONS", "/v1/chat/completions", "")},
		{name: "options of the node", request: goldenGet("OPTIONS", "*", "")},
	})
	goldenfile.Compare(t, "chat_served", b.String(), "")
}

// Requests that the node rejects as invalid.
func TestGoldenChatInvalidRequests(t *testing.T) {
	harness, taps := newGoldenChatHarness(t, emulators(1, 1, 0, nil))
	valid := goldenBody("chat", "true", "")
	edit := func(old, new string) string { return strings.Replace(goldenChat(valid, ""), old, new, 1) }
	body := func(old, new string) string { return goldenChat(strings.Replace(valid, old, new, 1), "") }
	var cases []goldenCase
	for _, c := range [][2]string{
		{"no key", edit("Authorization: Bearer "+testKey+"\r\n", "")},
		{"unknown key", edit(testKey, "other")},
		{"two keys", edit("Host", "Authorization: Bearer x\r\nHost")},
		{"key of another scheme", edit("Bearer", "Basic")},
		{"unknown model", body(`"chat"`, `"nothing"`)},
		{"model is missing", body(`"model"`, `"modal"`)},
		{"model is a number", body(`"chat"`, `7`)},
		{"model given twice", body(`"stream"`, `"model":"chat","stream"`)},
		{"no messages", goldenChat(`{"model":"chat","messages":[]}`, "")},
		{"messages are missing", goldenChat(`{"model":"chat"}`, "")},
		{"messages are text", goldenChat(`{"model":"chat","messages":"hello"}`, "")},
		{"message without a role", body(`"role":"system",`, ``)},
		{"content is a number", body(`"You help."`, `7`)},
		{"stream is text", body(`true`, `"yes"`)},
		{"most tokens is negative", body(`:20`, `:-1`)},
		{"most tokens is text", body(`:20`, `:"20"`)},
		{"two choices", body(`"stream"`, `"n":2,"stream"`)},
		{"stream options are text", body(`"stream"`, `"stream_options":"x","stream"`)},
		{"a member of the engines' protocol", body(`"stream"`, `"kv_transfer_params":{"x":1},"stream"`)},
		{"no JSON", body(`{"model"`, `<"model"`)},
		{"JSON that ends early", goldenChat(`{"model":"chat","messages":[`, "")},
		{"more after the JSON", goldenChat(valid+"}", "")},
		{"a list", goldenChat("[]", "")},
		{"an empty body", goldenChat("", "")},
		{"a body that is not UTF-8", body("Who", "Wh\xff")},
		{"other content type", edit("application/json", "text/plain")},
		{"encoded body", edit("Host", "Content-Encoding: gzip\r\nHost")},
		{"time-out in words", edit("Host", "X-Request-Timeout-Ms: soon\r\nHost")},
		{"time-out of nothing", edit("Host", "X-Request-Timeout-Ms: 0\r\nHost")},
		{"two lengths", edit("Content-Length:", "Content-Length: 1\r\nContent-Length:")},
		{"length and chunks", edit("Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:")},
		{"unknown coding", edit("Content-Length:", "Transfer-Encoding: gzip\r\nX-Length:")},
		{"negative length", edit("Content-Length: ", "Content-Length: -")},
		{"body too large", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 629145600\r\n\r\n"},
		{"head of 100 kB", goldenChat(valid, "X-Long: "+strings.Repeat("x", 100_000)+"\r\n")},
		{"target of 100 kB", goldenGet("GET", "/"+strings.Repeat("x", 100_000), "")},
		{"bare LF", strings.ReplaceAll(goldenChat(valid, ""), "\r\n", "\n")},
		{"no host", edit("Host: h\r\n", "")},
		{"version 2", edit("HTTP/1.1", "HTTP/2.0")},
		{"unknown path", goldenGet("GET", "/v1/embeddings", "")},
		{"unknown method", goldenGet("PUT", "/v1/chat/completions", "Content-Length: 0\r\n")},
		{"unknown method of models", goldenGet("DELETE", "/v1/models/chat", "")},
		{"unknown model by its path", goldenGet("GET", "/v1/models/nothing", "")},
		{"models without a key", "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"noise", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"},
	} {
		cases = append(cases, goldenCase{name: c[0], request: c[1]})
	}
	var b strings.Builder
	goldenRun(t, &b, harness.node.Addr().String(), taps, cases)
	goldenfile.Compare(t, "chat_not_in_order", b.String(), "")
}

// Faults of engines. Each case has a node and engines of its own.
func TestGoldenChatFaults(t *testing.T) {
	var b strings.Builder
	one, none := 1, 0
	for _, c := range []struct {
		name, class, stream string
		faults              emulator.Faults
	}{
		{"error", "commit", "true", emulator.Faults{ErrorShare: 1}},
		{"judged 400", "commit", "true", emulator.Faults{RejectStatus: 400}},
		{"judged 400, not streamed", "chat", "false", emulator.Faults{RejectStatus: 400}},
		{"garbage", "commit", "true", emulator.Faults{MalformedEvent: true}},
		{"lying chunk", "commit", "true", emulator.Faults{ChunkSizeMismatch: true}},
		{"cut body, not streamed", "commit", "false", emulator.Faults{TruncatedBody: true}},
		{"cut before the first event", "commit", "true", emulator.Faults{CloseAfter: &none}},
		{"cut after an event", "commit", "true", emulator.Faults{CloseAfter: &one}},
		{"cut after an event", "chat", "true", emulator.Faults{CloseAfter: &one}},
		{"cut after an event, not streamed", "commit", "false", emulator.Faults{CloseAfter: &one}},
		{"sending side closes after an event", "commit", "true", emulator.Faults{HalfCloseAfter: 1}},
	} {
		t.Run(c.class+" "+c.name, func(t *testing.T) {
			harness, taps := newGoldenChatHarness(t, emulators(1, 1, 0, nil))
			harness.fleet.Engine("decode-1").SetFaults(c.faults)
			goldenRun(t, &b, harness.node.Addr().String(), taps, []goldenCase{{name: "engine fails, " + c.class + ": " + c.name,
				request: goldenChat(goldenBody(c.class, c.stream, ""), "X-Request-Timeout-Ms: 3000\r\n")}})
		})
	}
	goldenfile.Compare(t, "chat_faults", b.String(), "")
}

// Requests to a node that shuts down. The response without any engine is not covered: under load it may come from the request table
// instead of the scheduler, with another text.
func TestGoldenChatShutdown(t *testing.T) {
	var b strings.Builder
	t.Run("stop", func(t *testing.T) {
		harness, taps := newGoldenChatHarness(t, emulators(1, 1, 0, nil))
		goldenShutdown(t, &b, harness.node.Addr().String(), goldenChat(goldenBody("chat", "true", ""), ""), taps,
			func() { harness.node.Shutdown(2 * time.Second) }, harness.node.Ready)
	})
	goldenfile.Compare(t, "chat_refused", b.String(), "")
}
