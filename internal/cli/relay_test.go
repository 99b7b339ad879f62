package cli

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// The program must keep the rules on the emulated platform of the users, under continuous client load. It meets malformed and broken
// streams, draining engines, new configurations by SIGHUP (an invalid one first, then two signals at the same time) and a stop by SIGTERM.
// The rules are checked by the traffic on the sockets.
func TestServeRelayThroughFaultsDrainReloadAndStop(t *testing.T) {
	log := &record.Log{}
	p := platform.New("n0", log)
	var engines []*platform.Engine
	for i, role := range []string{"read", "read", "write", "write", "both"} {
		engines = append(engines, p.StartEngine(fmt.Sprintf("%s%d", role, i), role))
	}
	d := p.StartDiscovery(engines...)
	defer func() { d.Close(); p.Stop() }()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text []byte) {
		t.Helper()
		if err := platform.WriteConfig(file, text); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(platform.ConfigText(platform.SettingsJSON, addr, d.Address(), d.Snapshot(), 96, 256))
	prog := startRelay(t, addr, file)
	cmd, ended, logs := prog.cmd, prog.ended, &prog.logs
	prog.awaitReady(t)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[record.Outcome]int{}
	for k := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a := platform.Request{Operation: fmt.Sprintf("k%d-%d", k, i), Class: []string{"chat", "commit"}[k%2], Tenant: "branch",
					Session: fmt.Sprint("s", k), ResponseTokens: 6, Timeout: 3 * time.Second}
				r := p.Send(addr, a)
				mu.Lock()
				outcomes[r.Outcome]++
				mu.Unlock()
			}
		}()
	}
	pause := func() { time.Sleep(250 * time.Millisecond) }
	pause()
	for _, f := range []platform.Fault{platform.GarbageHead, platform.MalformedChunkSize, platform.EndlessHead, platform.HugeChunk,
		platform.CloseMidStream,
		platform.SecondResponse} {
		showFault(t, f, engines[2:]...)
		showFault(t, f, engines[2:]...)
	}
	showFault(t, platform.CloseBeforeResponse, engines[0])
	d.SetState("write2", "draining")
	pause()
	writeConfig([]byte("{"))
	cmd.Process.Signal(syscall.SIGHUP)
	pause()
	old := d.HTTPServer()
	d.Listen()
	writeConfig(platform.ConfigText(platform.SettingsJSON, addr, d.Address(), d.Snapshot(), 96, 256))
	cmd.Process.Signal(syscall.SIGHUP)
	cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	old.Close()
	d.SetState("read1", "draining")
	time.Sleep(600 * time.Millisecond)
	close(stop)
	wg.Wait()

	stream := make(chan platform.Response, 1)
	engines[3].TokenInterval = 100 * time.Millisecond
	go func() {
		stream <- p.Send(addr, platform.Request{Operation: "last", Class: "chat", Tenant: "branch", ResponseTokens: 8,
			Timeout: 3 * time.Second})
	}()
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if r := <-stream; r.Outcome != record.Served {
		t.Errorf("a short stream in flight at SIGTERM: got %+v, want it served", r)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		cmd.Process.Kill()
		t.Fatal("the program did not end")
	}
	t.Logf("%v; ended %v after SIGTERM", outcomes, time.Since(stopped))
	if outcomes[record.Served] < 50 || outcomes[record.ConnectionLost]+outcomes[record.Unreachable] > 0 {
		t.Errorf("outcomes %v\n%s", outcomes, logs.String())
	}
	classes := map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"}, "commit": {Effect: "once", Group: "all"}}
	c := rules.Config{Classes: classes,
		AnswerSlack: 0.058, DrainGrace: 0.25, OverloadMultiple: 4, SlowStartWindow: 1.5, StateReleaseLimit: 1.3, Skew: 0.3}
	for _, v := range rules.Check(log.All(), c) {
		t.Error(v)
	}
	for _, x := range log.All() {
		if x.Kind == record.ExtraResponse {
			t.Errorf("request %s got data after its final response: %s", x.Op, x.Note)
		}
	}
}

// showFault makes one of the engines show a fault in its next response, and waits for that. It removes the fault from the other engines:
// one that is ejected for a while would show it to a request in a later part of the test.
func showFault(t *testing.T, f platform.Fault, engines ...*platform.Engine) {
	t.Helper()
	for _, e := range engines {
		e.QueueFaults(f)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, e := range engines {
			if e.PendingFaults() > 0 {
				continue
			}
			for _, other := range engines {
				other.ClearFaults()
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no engine got a request within 10 s to show the fault %q", f)
		}
	}
}

// relayProcess is a process that runs `dillroute serve --relay`.
type relayProcess struct {
	addr  string
	cmd   *exec.Cmd
	logs  bytes.Buffer
	ended chan error
}

func startRelay(t *testing.T, addr, config string) *relayProcess {
	t.Helper()
	p := &relayProcess{addr: addr, cmd: exec.Command(os.Args[0], "serve", "--relay"), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "DILLROUTE_AS_PROGRAM=1", "RELAY_CONFIG="+config)
	p.cmd.Stderr = &p.logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() }) // for a test that ends early
	go func() { p.ended <- p.cmd.Wait() }()
	return p
}

// await waits until the node responds to /healthz with one of the given status codes.
func (p *relayProcess) await(t *testing.T, statuses ...int) {
	t.Helper()
	defer http.DefaultClient.CloseIdleConnections()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.addr + "/healthz")
		if err == nil {
			resp.Body.Close()
			if slices.Contains(statuses, resp.StatusCode) {
				return
			}
		}
		if time.Now().After(end) {
			p.cmd.Process.Kill()
			<-p.ended
			t.Fatalf("no status of %v within 20 s: %v\n%s", statuses, err, p.logs.String())
		}
	}
}

func (p *relayProcess) awaitReady(t *testing.T) { t.Helper(); p.await(t, 200) }

// The node must stop, and finish a stream in flight, whichever signals it receives: one SIGTERM, two, or one between two SIGHUPs, with and
// without an endpoint list.
func TestServeRelayStopsAfterAnySignals(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"once": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM},
		"with a new configuration": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, listed %v", name, listed), func(t *testing.T) {
				t.Parallel()
				p := platform.New("n0", &record.Log{})
				r, w := p.StartEngine("r0", "read"), p.StartEngine("w0", "write")
				w.TokenInterval = 60 * time.Millisecond
				d := p.StartDiscovery(r, w)
				defer func() { d.Close(); p.Stop() }()
				known := d.Snapshot()
				if !listed {
					known = nil
					d.SetFault("", true) // discovery does not respond
				}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				addr := l.Addr().String()
				l.Close()
				file := filepath.Join(t.TempDir(), "config.json")
				if err := platform.WriteConfig(file, platform.ConfigText(platform.SettingsJSON, addr, d.Address(), known, 96,
					256)); err != nil {
					t.Fatal(err)
				}
				prog := startRelay(t, addr, file)
				prog.await(t, map[bool]int{true: 200, false: 503}[listed])
				stream := make(chan platform.Response, 1)
				if listed {
					go func() {
						stream <- p.Send(addr, platform.Request{Operation: "a", Class: "chat", Tenant: "branch", ResponseTokens: 12,
							Timeout: 3 * time.Second})
					}()
					for w.StreamsStarted() == 0 {
						time.Sleep(time.Millisecond)
					}
				}
				for _, s := range signals {
					prog.cmd.Process.Signal(s)
					time.Sleep(20 * time.Millisecond) // pending signals of one kind merge into one
				}
				if listed {
					if a := <-stream; a.Outcome != record.Served {
						t.Errorf("got %+v, want the stream in flight served", a)
					}
				}
				select {
				case err := <-prog.ended:
					if err != nil {
						t.Errorf("the program ended with %v\n%s", err, prog.logs.String())
					}
				case <-time.After(10 * time.Second):
					prog.cmd.Process.Kill()
					t.Fatalf("the program did not end\n%s", prog.logs.String())
				}
			})
		}
	}
}

func TestServeRelayReportsBadArguments(t *testing.T) {
	t.Setenv("RELAY_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"serve", "--relay"}, ExitConfig, "none.json"},
		{[]string{"serve", "--relay", "--config", "x"}, ExitUsage, "--config"},
		{[]string{"serve", "--relay", "--log", "loud"}, ExitUsage, "debug, info, warn or error"},
	} {
		var out, errOut bytes.Buffer
		if code := Run(c.args, &out, &errOut); code != c.code || !bytes.Contains(errOut.Bytes(), []byte(c.output)) {
			t.Errorf("%v: code %d, %q", c.args, code, errOut.String())
		}
	}
}

// The file system hangs while the node reads a new configuration, and so many SIGHUPs have arrived that signals are pending. The node must
// still complete its streams and then stop after SIGTERM.
func TestServeRelayStopsWhileReloadHangs(t *testing.T) {
	p := platform.New("n0", &record.Log{})
	r, w := p.StartEngine("r0", "read"), p.StartEngine("w0", "write")
	w.TokenInterval = 60 * time.Millisecond
	d := p.StartDiscovery(r, w)
	defer func() { d.Close(); p.Stop() }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := platform.WriteConfig(file, platform.ConfigText(platform.SettingsJSON, addr, d.Address(), d.Snapshot(), 96, 256)); err != nil {
		t.Fatal(err)
	}
	prog := startRelay(t, addr, file)
	prog.awaitReady(t)
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(file, 0o600); err != nil { // opening it blocks until there is a writer, and there is none
		t.Fatal(err)
	}
	stream := make(chan platform.Response, 1)
	go func() {
		stream <- p.Send(addr, platform.Request{Operation: "a", Class: "chat", Tenant: "branch", ResponseTokens: 12,
			Timeout: 3 * time.Second})
	}()
	for w.StreamsStarted() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 40 {
		prog.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond) // pending signals of one kind merge into one
	}
	prog.cmd.Process.Signal(syscall.SIGTERM)
	if a := <-stream; a.Outcome != record.Served {
		t.Errorf("got %+v, want the stream in flight served", a)
	}
	select {
	case err := <-prog.ended:
		if err != nil {
			t.Errorf("the program ended with %v\n%s", err, prog.logs.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the program did not end")
	}
}
