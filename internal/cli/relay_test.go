package cli

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// A day of the program on the stand-in of the users' platform: clients all the while, spoilt streams, a drain, a new
// configuration by SIGHUP (one that cannot be read first, and two at once), a stop by SIGTERM. The rules are judged by
// what passed on the sockets.
func TestServeRelayThroughADay(t *testing.T) {
	log := &record.Log{}
	p := platform.New("n0", log)
	var engines []*platform.Engine
	for i, role := range []string{"read", "read", "write", "write", "both"} {
		engines = append(engines, p.Add(fmt.Sprintf("%s%d", role, i), role))
	}
	d := p.Discover(engines...)
	defer func() { d.Close(); p.Stop() }()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text []byte) {
		t.Helper()
		if err := platform.WriteConfig(file, text); err != nil {
			t.Fatal(err)
		}
	}
	write(platform.Config(platform.Settings, addr, d.Addr(), d.List(), 96, 256))
	cmd := exec.Command(os.Args[0], "serve", "--relay")
	cmd.Env = append(os.Environ(), "DILLROUTE_AS_PROGRAM=1", "RELAY_CONFIG="+file)
	var logs bytes.Buffer
	cmd.Stderr = &logs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			cmd.Process.Kill()
			t.Fatalf("not ready in time: %v\n%s", err, logs.String())
		}
	}
	http.DefaultClient.CloseIdleConnections()

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := map[record.Outcome]int{}
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
				a := platform.Ask{Op: fmt.Sprintf("k%d-%d", k, i), Class: []string{"chat", "commit"}[k%2], Tenant: "branch",
					Session: fmt.Sprint("s", k), Tokens: 6, Patience: 3 * time.Second}
				r := p.Do(addr, a)
				mu.Lock()
				seen[r.Outcome]++
				mu.Unlock()
			}
		}()
	}
	pause := func() { time.Sleep(250 * time.Millisecond) }
	pause()
	for _, f := range []platform.Fault{platform.Noise, platform.BadChunk, platform.EndlessHead, platform.HugeChunk, platform.CutStream, platform.SecondAnswer} {
		engines[2].Next(f)
		engines[3].Next(f)
	}
	engines[0].Next(platform.CutBefore)
	pause()
	d.State("write2", "draining")
	pause()
	write([]byte("{"))
	cmd.Process.Signal(syscall.SIGHUP)
	pause()
	old := d.Server()
	d.Open()
	write(platform.Config(platform.Settings, addr, d.Addr(), d.List(), 96, 256))
	cmd.Process.Signal(syscall.SIGHUP)
	cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	old.Close()
	d.State("read1", "draining")
	time.Sleep(600 * time.Millisecond)
	close(stop)
	wg.Wait()

	stream := make(chan platform.Answer, 1)
	engines[3].Step = 100 * time.Millisecond
	go func() {
		stream <- p.Do(addr, platform.Ask{Op: "last", Class: "chat", Tenant: "branch", Tokens: 8, Patience: 3 * time.Second})
	}()
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if r := <-stream; r.Outcome != record.Served {
		t.Errorf("a short stream at SIGTERM: %+v", r)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		cmd.Process.Kill()
		t.Fatal("did not end")
	}
	t.Logf("%v; ended %v after SIGTERM", seen, time.Since(stopped))
	if seen[record.Served] < 50 || seen[record.Cut]+seen[record.Unmet] > 0 {
		t.Errorf("outcomes %v\n%s", seen, logs.String())
	}
	c := rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"}, "commit": {Effect: "once", Group: "all"}},
		AnswerSlack: 0.058, DrainGrace: 0.25, FallMultiple: 4, TipAfter: 1.5, LetGoBy: 1.3, Skew: 0.3}
	for _, v := range rules.Check(log.All(), c) {
		t.Error(v)
	}
	for _, x := range log.All() {
		if x.Kind == record.More {
			t.Errorf("%s: %s", x.Op, x.Note)
		}
	}
}

func TestServeRelayTellsWhatIsWrong(t *testing.T) {
	t.Setenv("RELAY_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"serve", "--relay"}, ExitConfig, "none.json"},
		{[]string{"serve", "--relay", "--config", "x"}, ExitUsage, "--config"},
		{[]string{"serve", "--relay", "--log", "loud"}, ExitUsage, "debug, info, warn or error"},
	} {
		var out, errOut bytes.Buffer
		if code := Run(c.args, &out, &errOut); code != c.code || !bytes.Contains(errOut.Bytes(), []byte(c.says)) {
			t.Errorf("%v: code %d, %q", c.args, code, errOut.String())
		}
	}
}
