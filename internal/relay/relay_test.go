package relay

import (
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/textproto"
	"strings"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/lab/platform"
	"dillroute/scheduler"
)

func testSettings(t testing.TB) *settings.Settings {
	t.Helper()
	s, err := settings.Parse([]byte(platform.SettingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestConfigurationFromFileAndEnvironment(t *testing.T) {
	env := map[string]string{"RELAY_NAME": "n7", "RELAY_LISTEN": "127.0.0.1:1", "RELAY_DISCOVERY": "127.0.0.1:2"}
	c, err := Parse([]byte(`{"seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":32,"sockets":256},`+
		`"settings":`+platform.SettingsJSON+`}`),
		func(n string) string { return env[n] })
	if err != nil || c.Name != "n7" || c.Discovery != "127.0.0.1:2" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 256 {
		t.Fatalf("got unexpected configuration %+v or error %v", c, err)
	}
	for name, text := range map[string]string{
		"no JSON": "{", "no settings": `{}`, "bad seed": `{"seed":"x","settings":` + platform.SettingsJSON + `}`,
		"negative limit": `{"limits":{"sockets":-1},"settings":` + platform.SettingsJSON + `}`,
		"bad settings":   `{"settings":{"classes":[{"effect":"maybe"}]}}`,
	} {
		if _, err := Parse([]byte(text), func(n string) string { return env[n] }); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
	if _, err := Parse([]byte(`{"settings":`+platform.SettingsJSON+`}`), func(string) string { return "" }); err == nil {
		t.Error("a configuration without a name was accepted")
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("a missing configuration file was accepted")
	}
}

func TestNodeResponsesPromiseOnlySafeRetries(t *testing.T) {
	e := &exchange{}
	for _, c := range []struct {
		a      outcome.Response
		after  float64
		status int
		header bool
	}{
		{outcome.RejectedResponse(), 0.25, 503, true}, {outcome.RejectedResponse(), 0, 503, false},
		{outcome.FailedResponse(), 0.25, 500, false},
		{outcome.Response{HTTPStatus: 409}, 0, 409, false}, {outcome.Response{HTTPStatus: 429, RetryIsSafe: true}, 1, 429, true},
		{outcome.Response{HTTPStatus: 503}, 0, 500, false}, {outcome.Response{HTTPStatus: 400, RetryIsSafe: true}, 0, 503, false},
	} {
		response := e.NodeResponse(c.a, c.after, "x")
		hasRetryAfter := false
		for _, f := range response.Fields {
			hasRetryAfter = hasRetryAfter || f.Name == "Retry-After"
		}
		if response.Status != c.status || hasRetryAfter != c.header {
			t.Errorf("%+v, retry after %g s: got unexpected response %+v", c.a, c.after, response)
		}
	}
}

func TestMalformedLoadReportsAreIgnored(t *testing.T) {
	if r := parseLoadReport("util=0.61,queue=2,x0=0.25,other=7"); r == nil || r.Utilization != 0.61 || r.Waiting != 2 ||
		r.MemoryShare != 0.25 || r.Has != scheduler.HasUtilization|scheduler.HasWaiting|scheduler.HasMemoryShare {
		t.Errorf("got unexpected load report %+v", r)
	}
	for _, bad := range []string{"", "util", "util=", "util=often", "util=-1", "util=NaN", "util=1e300", "=",
		"other=1", strings.Repeat("x", 1000)} {
		if r := parseLoadReport(bad); r != nil {
			t.Errorf("%q: got load report %+v, want none", bad, r)
		}
	}
}

// FuzzRequest checks that a request that is parsed without an error, from any header and body, is valid for the decision module.
func FuzzRequest(f *testing.F) {
	f.Add("a1", "chat", "branch", "4.8", "prefix=5c,prompt_len=20,prefix_len=3,max_out=8", "1", `{"max_tokens":3}`)
	f.Add("", "", "", "NaN", "prompt_len=-1", "x", "[")
	f.Add("a/../b", "chat", "branch", "1e999", "max_out=1e300,,=", "again", "{}")
	front := NewFront(testSettings(f), nil, func() bool { return true }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Fuzz(func(t *testing.T, id, class, tenant, timeLeft, info, retry, body string) {
		r := &http1.Request{Method: "POST", Path: pathChat, Body: []byte(body), Header: textproto.MIMEHeader{
			headerID: {id}, headerClass: {class}, headerTenant: {tenant}, headerTimeLeft: {timeLeft},
			headerInfo: {info}, headerRetry: {retry}}}
		q, err := front.parseRequest(r)
		if err != nil {
			return
		}
		for _, x := range []float64{q.ClientTimeLeft, q.PromptTokens, q.PrefixTokens, q.MaxOutputTokens} {
			if !(x >= 0) || math.IsInf(x, 0) {
				t.Fatalf("a figure of the request is negative or not finite: %+v", q)
			}
		}
		if q.ID == "" || strings.ContainsAny(q.ID, "/ \r\n%?") ||
			q.ClientTimeLeft <= 0 || q.PrefixTokens > q.PromptTokens || !json.Valid([]byte(body)) {
			t.Fatalf("accepted invalid request %+v with body %q", q, body)
		}
	})
}

// FuzzList checks that any list of discovery that is read without an error is valid for the host.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"version":1,"full":true,"servers":[` +
		`{"id":"a","addr":"h:1","zone":"z","kind":"read","cell":1,"state":"up","weight":1,"started_ms":5}]}`))
	f.Add([]byte(`{"version":0,"servers":[{"id":"a","state":"removed"}]}`))
	f.Add([]byte(`{"version":1e3,"servers":[null]}`))
	s := testSettings(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := readList(text)
		if err != nil {
			return
		}
		d := newDiscovery(testOptions(t, notifiedAfter, func(l protocol.EndpointList) {
			for _, e := range l.Engines {
				if e.ID == "" || e.Kind < 0 || e.Kind >= len(s.Kinds) || e.Zone < 0 || e.Zone >= len(s.Zones) {
					t.Fatalf("engine without an id, or with an unknown kind or zone: %+v", e)
				}
			}
		}))
		d.apply(a, false)
	})
}

// FuzzEvents checks that any data in an engine's events yields values within their bounds.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(`{"usage":{"prompt_tokens_details":{"cached_tokens":4096}}}`))
	f.Add([]byte(`{"usage":{"prompt_tokens_details":{"cached_tokens":-1e308}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if cached, ok := usageTokens(data); cached < 0 || cached > maxTokens || !ok && cached != 0 {
			t.Fatal(cached)
		}
		if cached := cachedTokens(data); cached < 0 || cached > maxTokens {
			t.Fatal(cached)
		}
		if isJSONObject(data) && !json.Valid(data) {
			t.Fatal("invalid JSON is accepted as an object")
		}
	})
}
