package node_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"

	"go.uber.org/goleak"
)

// relayHarness runs a RelayNode on the emulated platform (lab/platform).
type relayHarness struct {
	t          *testing.T
	log        *record.Log
	platform   *platform.Platform
	discovery  *platform.Discovery
	node       *node.RelayNode
	configFile string
	settings   string
	requests   int
	stopped    bool
	nodeLog    *logBuffer // log of the node at info level, which operators read
}

// logBuffer stores log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// linesWith returns the lines that contain all of the texts.
func (b *logBuffer) linesWith(texts ...string) (found []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}
	return found
}

// newRelayHarness starts engines, each given by id and role ("r0 read"), and a node with the given limits.
func newRelayHarness(t *testing.T, memoryMB, sockets int, engines ...string) (*relayHarness, map[string]*platform.Engine) {
	t.Helper()
	return newRelayHarnessWith(t, platform.SettingsJSON, memoryMB, sockets, engines...)
}

// newRelayHarnessWith is newRelayHarness with other settings.
func newRelayHarnessWith(t *testing.T, settings string, memoryMB, sockets int, engines ...string) (*relayHarness,
	map[string]*platform.Engine) {
	t.Helper()
	return newRelayHarnessOn(t, nil, settings, memoryMB, sockets, engines...)
}

// newRelayHarnessOn is newRelayHarnessWith with a listener for clients; nil = the node opens one.
func newRelayHarnessOn(t *testing.T, l net.Listener, settings string, memoryMB, sockets int, engines ...string) (*relayHarness,
	map[string]*platform.Engine) {
	t.Helper()
	h := &relayHarness{t: t, log: &record.Log{}, nodeLog: &logBuffer{}, settings: settings,
		configFile: filepath.Join(t.TempDir(), "config.json")}
	h.platform = platform.New("n0", h.log)
	byID := map[string]*platform.Engine{}
	var all []*platform.Engine
	for _, e := range engines {
		id, role, _ := strings.Cut(e, " ")
		byID[id] = h.platform.StartEngine(id, role)
		all = append(all, byID[id])
	}
	h.discovery = h.platform.StartDiscovery(all...)
	h.writeConfig(memoryMB, sockets)
	cfg, err := relay.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return h.configFile
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if h.node, err = node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(h.nodeLog, nil))),
		node.WithListener(l)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !h.stopped {
			h.node.Shutdown(0)
		}
		h.discovery.Close()
		h.platform.Stop()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	h.eventually("the node is ready", h.node.Ready)
	return h, byID
}

func (h *relayHarness) writeConfig(memoryMB, sockets int) {
	h.t.Helper()
	if err := platform.WriteConfig(h.configFile, platform.ConfigText(h.settings, "127.0.0.1:0", h.discovery.Address(),
		h.discovery.Snapshot(), memoryMB, sockets)); err != nil {
		h.t.Fatal(err)
	}
}

func (h *relayHarness) eventually(what string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	h.t.Fatalf("not seen within 10 s: %s", what)
}

func (h *relayHarness) newRequest(class string) platform.Request {
	h.requests++
	return platform.Request{Operation: fmt.Sprintf("op%d", h.requests), Class: class, Tenant: "branch", Session: "abc", ResponseTokens: 8,
		Timeout: 4 * time.Second}
}

func (h *relayHarness) send(request platform.Request) platform.Response {
	return h.platform.Send(h.node.Addr().String(), request)
}

func (h *relayHarness) countRecords(kind record.Kind, op string) (n int) {
	for _, x := range h.log.All() {
		if x.Kind == kind && x.Op == op {
			n++
		}
	}
	return n
}

// requireNoViolations waits until no engine holds a state and checks all records of the sockets against the rules.
func (h *relayHarness) requireNoViolations() {
	h.t.Helper()
	h.eventually("no engine holds a state", func() bool { return h.platform.CallsWithState() == 0 })
	c := rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"}, "commit": {Effect: "once",
		Group: "all"}},
		AnswerSlack: 0.058, DrainGrace: 0.25, OverloadMultiple: 4, SlowStartWindow: 1.5, StateReleaseLimit: 1.3, Skew: 0.3}
	for _, v := range rules.Check(h.log.All(), c) {
		h.t.Error(v)
	}
	for _, x := range h.log.All() {
		if x.Kind == record.ExtraResponse {
			h.t.Errorf("%s: %s", x.Op, x.Note)
		}
	}
}

// sendRaw sends bytes on a new connection and returns the status of the response; 0 = the connection was closed without a response.
func (h *relayHarness) sendRaw(text string) int {
	h.t.Helper()
	c, err := net.Dial("tcp", h.node.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
