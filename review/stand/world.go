//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// world is what surrounds one node: its engines, its discovery, its clients, and the record of what was sent, answered and run.
type world struct {
	start  time.Time
	dir    string
	record *os.File
	out    *bufio.Writer

	mu        sync.Mutex
	engines   map[string]*engine
	sent      map[string]bool     // ids that clients sent
	holders   map[string]string   // engine that holds a state, by request id
	ran       map[string][]string // engines that ran a request, by its id
	node      *exec.Cmd
	nodeEnded chan struct{}
	address   string
	config    map[string]any
	closed    bool
}

func newWorld(path string) (*world, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{start: time.Now(), dir: dir, record: file, out: bufio.NewWriter(file), engines: map[string]*engine{},
		sent: map[string]bool{}, holders: map[string]string{}, ran: map[string][]string{}}, nil
}

// now returns the seconds since the start of the run.
func (w *world) now() float64 { return time.Since(w.start).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f %s\n", w.now(), fmt.Sprintf(format, args...))
}

// runLine returns the run line of the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run line")
	}
	return string(m[1]), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startNode starts a node with the given settings, discovery and list, and waits until it is ready.
func (w *world) startNode(settings map[string]any, discovery string, known list) error {
	line, err := runLine()
	if err != nil {
		return err
	}
	if w.address, err = freeAddress(); err != nil {
		return err
	}
	w.config = map[string]any{"name": "n0", "listen": w.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	path := filepath.Join(w.dir, "config.json")
	text, err := json.Marshal(w.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, "node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+w.address, "RELAY_DISCOVERY="+discovery, "RELAY_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	w.mu.Lock()
	w.node, w.nodeEnded = cmd, ended
	w.mu.Unlock()
	w.note("node started, pid %d", cmd.Process.Pid)
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-w.nodeEnded:
			return errors.New("the node ended before it was ready")
		default:
		}
		response, err := client.Get("http://" + w.address + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.note("node ready")
			return nil
		}
	}
	return errors.New("the node was not ready in 10 s")
}

// close ends the node and the engines, and adds the node's log to the record.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	cmd, ended := w.node, w.nodeEnded
	w.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-ended
	}
	w.mu.Lock()
	for _, e := range w.engines {
		e.server.Close()
	}
	w.mu.Unlock()
	if text, err := os.ReadFile(filepath.Join(w.dir, "node.log")); err == nil {
		for _, line := range bytes.Split(text, []byte("\n")) {
			if len(line) > 0 {
				w.note("node log: %s", line)
			}
		}
	}
	os.RemoveAll(w.dir)
	w.flush()
}

// flush writes what was noted to the file of the record.
func (w *world) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Flush()
}

// settings returns the settings of a small deployment: those of the users' page of the wire, for one node.
func settings() map[string]any {
	var s map[string]any
	text := `{"accounts":[{"name":"wellington-branch","quota_per_s":100.0,"share":1.0}],"balancers":1,
	"classes":[{"effect":"repeatable","group":"all","hard_limit_s":5.0,"key_ttl_s":5.0,"late_value":0.3,"name":"roster-chat",
	"streamed":true,"target_s":1.0,"worth":1.0},{"effect":"once","group":"all","hard_limit_s":15.0,"key_ttl_s":5.0,"late_value":0.3,
	"name":"roster-commit","streamed":true,"target_s":3.0,"worth":2.0}],"clients":{"marks_retry":true},"family":"twostage",
	"family_info":{"ahead":false,"aim_us_per_1000_prompt_tokens":[40000.0,120000.0],"let_go_by_s":1.0,"local_read":true,
	"report_x0":"share of memory that is held","resume":true,"stage_of_kind":["read","write","both"],"token_aim_s":[0.06,0.08],
	"tokens_by_kind":[238258,157610,267631],"transfer_price":0.03},"guarantees":{"answer_slack_s":0.008,"ask_every_s":10.0,
	"cold_s":14.0,"cold_share":0.25,"drain_grace_s":0.25,"fall_multiple":4.0,"tip_after_s":1.5},"limits":{"cancel":true,
	"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"keepalive_s":30.0,"max_attempts":4,"max_open":20000,
	"max_retry_after_s":1.0,"may_probe":false,"parallel_tries":true,"peer_messages":false,"retry_after":true,"streams_per_conn":1},
	"localities":["wellington-dc"],"machine_types":["prefill","decode","mixed"],"over_share_worth":0.2,"rank":0,
	"registry_mode":"pushed","report":{"fields":["cpu","waiting","x0"],"how":"inline"},"tariffs":{"late_fail":0.08,"waste":0.03},
	"tick_s":0.002,"tier":0,"tiers":["roster-model-fleet"],"weights":"off","worth_by":"work","zone":0}`
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	return s
}
