package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/fleet"
)

// TestMain runs the program itself if DILLROUTE_AS_PROGRAM is set, so that tests can start it as a process of its own, with its
// signals and exit codes.
func TestMain(m *testing.M) {
	if os.Getenv("DILLROUTE_AS_PROGRAM") == "1" {
		Main()
	}
	os.Exit(m.Run())
}

// startProgram starts the program as a process.
func startProgram(t *testing.T, args ...string) (*exec.Cmd, *bufio.Scanner, *bytes.Buffer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), "DILLROUTE_AS_PROGRAM=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, bufio.NewScanner(out), &errOut
}

// awaitLine reads output up to a line that contains a text and returns that line.
func awaitLine(t *testing.T, sc *bufio.Scanner, want string) string {
	t.Helper()
	for sc.Scan() {
		if strings.Contains(sc.Text(), want) {
			return sc.Text()
		}
	}
	t.Fatalf("%q was not printed", want)
	return ""
}

func TestExitCodesAndMessages(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.json")
	os.WriteFile(invalidFile, []byte(`{"lisen":"x:1"}`), 0o644)
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"version"}, ExitOK, "dillroute "}, {[]string{"--help"}, ExitOK, "scenario"},
		{[]string{"nonsense"}, ExitUsage, `unknown command "nonsense"`}, {[]string{"serve"}, ExitUsage, "needs --config"},
		{[]string{"serve", "--config", invalidFile}, ExitConfig, `did you mean "listen"?`},
		{[]string{"config", "check", invalidFile}, ExitConfig, "/listen: is missing"},
		{[]string{"config", "check", "../../examples/node.json"}, ExitOK, ": valid; "},
		{[]string{"config", "schema", "list"}, ExitOK, "Engine list"}, {[]string{"config", "schema", "x"}, ExitUsage, "invalid argument"},
		{[]string{"scenario", invalidFile}, ExitConfig, "/name: is missing"}, {[]string{"scenario", "none.json"}, ExitConfig, "none.json"},
		{[]string{"scenario", "convert", invalidFile}, ExitConfig, "not a day"},
		{[]string{"scenario", "--loud"}, ExitUsage, "unknown flag: --loud"},
		{[]string{"badday", invalidFile}, ExitConfig, "/name: is missing"}, {[]string{"badday", "none.json"}, ExitConfig, "none.json"},
		{[]string{"config", "schema", "scenario"}, ExitOK, "fault scenario"},
		{[]string{"config", "schema", "badday"}, ExitOK, "fault scenario"},
		{[]string{"badday", "convert", invalidFile}, ExitConfig, "not a day"},
		{[]string{"engine", "--config", invalidFile}, ExitConfig, "/id: is missing"},
		{[]string{"demo", "--once"}, ExitOK, "0 "},
	} {
		var out, errOut bytes.Buffer
		if code := Run(c.args, &out, &errOut); code != c.code || !strings.Contains(out.String()+errOut.String(), c.output) {
			t.Errorf("%v: code %d, want %d with %q:\n%s%s", c.args, code, c.code, c.output, out.String(), errOut.String())
		}
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	root := newRoot()
	for _, c := range root.Commands() {
		for _, sub := range append(c.Commands(), c) {
			if sub.Runnable() && !sub.Hidden && !strings.Contains(sub.Example, "dillroute ") {
				t.Errorf("%s has no example", sub.CommandPath())
			}
		}
	}
}

// requestStream sends one streaming request and returns the status code and the body of the response.
func requestStream(url, key string) (int, string, error) {
	q, err := http.NewRequest("POST", url+"/v1/chat/completions",
		strings.NewReader(`{"model":"roster-chat","stream":true,"messages":[{"role":"user","content":"Who?"}]}`))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func TestServeReloadsAndStopsOnSignals(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	dir := t.TempDir()
	f := fleet.New(demoFleet(), nil)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	list := filepath.Join(dir, "list.json")
	if err := f.WriteListFile(f.List(), "n", list); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "node.json")
	writeConfig := func(key, listen string) {
		t.Helper()
		text, err := os.ReadFile("../../examples/node.json")
		if err != nil {
			t.Fatal(err)
		}
		var m map[string]any
		json.Unmarshal(text, &m)
		m["listen"], m["admin"] = listen, "127.0.0.1:0"
		m["kinds"] = append(m["kinds"].([]any), map[string]any{"name": "mixed", "role": "mixed"})
		m["tenants"] = []any{map[string]any{"name": "wellington", "keys": []string{key}}}
		m["engines"] = map[string]any{"file": "list.json"}
		b, _ := json.Marshal(m)
		if err := os.WriteFile(file, b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig("first-key", "127.0.0.1:0")
	cmd, out, logs := startProgram(t, "serve", "--config", file)
	_, url, _ := strings.Cut(awaitLine(t, out, "listening on "), "listening on ")
	_, admin, _ := strings.Cut(awaitLine(t, out, "admin on "), "admin on ")
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200, "/x": 404} {
		if resp, err := http.Get(admin + path); err != nil || resp.StatusCode != want {
			t.Errorf("%s: got unexpected response %v or error %v", path, resp, err)
		} else {
			resp.Body.Close()
		}
	}
	if code, text, err := requestStream(url, "first-key"); code != 200 || !strings.Contains(text, "[DONE]") {
		t.Fatal(code, text, err)
	}
	writeConfig("second-key", "127.0.0.1:1")
	cmd.Process.Signal(syscall.SIGHUP)
	code := 0
	for end := time.Now().Add(10 * time.Second); code != 200 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		code, _, _ = requestStream(url, "second-key")
	}
	if old, _, _ := requestStream(url, "first-key"); code != 200 || old != 401 {
		t.Fatal("the reload did not replace the key", code, old)
	}
	inFlight := make(chan string, 1)
	go func() {
		_, text, err := requestStream(url, "second-key")
		inFlight <- fmt.Sprint(text, err)
	}()
	time.Sleep(100 * time.Millisecond) // so that the node has admitted it in most runs; it must get a response either way
	cmd.Process.Signal(syscall.SIGTERM)
	if text := <-inFlight; !strings.Contains(text, "[DONE]") && !strings.Contains(text, "node_draining") {
		t.Errorf("the request in flight got %q", text)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the program ended with %v\n%s", err, logs)
	}
	if !strings.Contains(logs.String(), "restart_required=[/listen") {
		t.Errorf("the log does not report that /listen requires a restart:\n%s", logs)
	}
}

// A node is replaced while clients send requests continuously. The listening socket belongs to the service manager (here the test), so
// that each connection is accepted by the old node or by the new one. Every request must be served.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	dir := t.TempDir()
	f := fleet.New(demoFleet(), nil)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	if err := f.WriteListFile(f.List(), "n", filepath.Join(dir, "list.json")); err != nil {
		t.Fatal(err)
	}
	cfg, err := demoConfig("127.0.0.1:0", "list.json")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(cfg)
	var m map[string]any
	json.Unmarshal(text, &m)
	for _, k := range []string{"admin", "zones", "match"} {
		delete(m, k)
	}
	m["node"], m["state_dir"], m["engines"] = map[string]any{"name": "n"}, "state", map[string]any{"file": "list.json"}
	m["tenants"] = []any{map[string]any{"name": "t", "keys": []string{demoKey}}}
	text, _ = json.Marshal(m)
	file := filepath.Join(dir, "node.json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	start := func() (*exec.Cmd, *bufio.Scanner) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		t.Cleanup(cancel)
		cmd := exec.CommandContext(ctx, "/bin/sh", "-c",
			`LISTEN_PID=$$ exec "$0" serve --config "$1" --takeover 30s`, os.Args[0], file)
		cmd.Env = append(os.Environ(), "DILLROUTE_AS_PROGRAM=1", "LISTEN_FDS=1", "LISTEN_FDNAMES=client")
		cmd.ExtraFiles = []*os.File{socket}
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return cmd, bufio.NewScanner(out)
	}
	old, out := start()
	awaitLine(t, out, "listening on ")
	url := "http://" + l.Addr().String()
	stop, failed := make(chan struct{}), make(chan string, 100)
	var clients sync.WaitGroup
	var served atomic.Int64
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			tr := &http.Transport{DisableKeepAlives: true} // one connection per request
			c := &http.Client{Transport: tr}
			for {
				select {
				case <-stop:
					return
				default:
				}
				q, _ := http.NewRequest("POST", url+"/v1/chat/completions",
					strings.NewReader(`{"model":"roster-commit","stream":true,"max_tokens":4,`+
						`"messages":[{"role":"user","content":"Who?"}]}`))
				q.Header.Set("Authorization", "Bearer "+demoKey)
				resp, err := c.Do(q)
				if err != nil {
					failed <- err.Error()
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || !strings.Contains(string(text), "[DONE]") {
					failed <- fmt.Sprint(resp.Status, string(text), err)
					return
				}
				served.Add(1)
			}
		}()
	}
	awaitServed := func(n int64) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); served.Load() < n && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	for range 2 {
		awaitServed(served.Load() + 10)
		next, out := start()
		old.Process.Signal(syscall.SIGTERM)
		awaitLine(t, out, "listening on ")
		if err := old.Wait(); err != nil {
			t.Fatal(err)
		}
		awaitServed(served.Load() + 10)
		old = next
	}
	close(stop)
	clients.Wait()
	old.Process.Signal(syscall.SIGTERM)
	old.Wait()
	select {
	case why := <-failed:
		t.Fatalf("a request failed after %d were served: %s", served.Load(), why)
	default:
	}
	if served.Load() < 40 {
		t.Fatalf("only %d requests were served", served.Load())
	}
}

// startUnderLimit starts engines, and a node in front of them under a resource limit that the shell sets.
func startUnderLimit(t *testing.T, limit string) (url string, stop func() string) {
	t.Helper()
	dir := t.TempDir()
	f := fleet.New(demoFleet(), nil)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.WriteListFile(f.List(), "n", filepath.Join(dir, "list.json")); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "node.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","node":{"name":"n"},
 "kinds":[{"name":"prefill","role":"prefill"},{"name":"decode","role":"decode"},{"name":"mixed","role":"mixed"}],
 "classes":[{"name":"c","effect":"once","aim_s":1,"patience_s":5,"token_aim_s":0.06}],
 "models":[{"name":"roster-chat","class":"c"}],"tenants":[{"name":"t","keys":[%q]}],"engines":{"file":"list.json","poll_s":0.02},
 "state_dir":"state","limits":{"idle_s":5}}`, demoKey)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", limit+`; exec "$0" serve --config "$1"`, os.Args[0], file)
	cmd.Env = append(os.Environ(), "DILLROUTE_AS_PROGRAM=1")
	var logs bytes.Buffer
	cmd.Stderr = &logs
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, url, _ = strings.Cut(awaitLine(t, bufio.NewScanner(out), "listening on "), "listening on ")
	return url, func() string {
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Wait()
		cancel()
		f.Stop()
		return logs.String()
	}
}

func TestServeRecoversFromDescriptorExhaustion(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	url, stop := startUnderLimit(t, "ulimit -n 60")
	defer stop()
	var conns []net.Conn
	for range 80 { // more than the node may have open
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		c.Close()
	}
	code, text := 0, ""
	for end := time.Now().Add(20 * time.Second); code != 200 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		code, text, _ = requestStream(url, demoKey)
	}
	if code != 200 || !strings.Contains(text, "[DONE]") {
		t.Fatalf("not served after the connections were closed: %d %s", code, text)
	}
}

func TestServeContinuesWithFullDisk(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	url, stop := startUnderLimit(t, "ulimit -f 0") // no block may be written
	code, text, err := requestStream(url, demoKey)
	logs := stop()
	if code != 200 || !strings.Contains(text, "[DONE]") {
		t.Errorf("got status %d, body %s and error %v, want a complete stream", code, text, err)
	}
	if !strings.Contains(logs, "not saved") {
		t.Errorf("the log does not report that the list is not saved:\n%s", logs)
	}
}
