package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"dillroute/lab/platform"
)

// Resource limits of a node.
const (
	nodeSockets  = 256 // open file descriptors
	nodeMemoryMB = 96
)

// Node is one node of the fleet. Its processes run one after another, with the same name, address and configuration file.
type Node struct {
	fleet   *Fleet
	name    string
	address string
	seed    uint64
	agent   *Agent
	routes  map[string]*Proxy // to engines; guarded by the fleet's lock
	clock   *Clock
	config  string   // path of the configuration file
	logFile *os.File // receives the logs of all processes; nil: each process has a file of its own

	mu           sync.Mutex // guards the fields below
	process      *process   // the process that was started last
	starts       int
	inService    bool // clients open new connections to it
	reserved     bool // a fault is stopping, restarting or reloading it
	terminatedAt time.Time
	killedAt     time.Time
	logPaths     []string
}

// keyedClass is a class whose repeated requests are deduplicated by the engines of one cell for a limited time.
const keyedClass = `{"effect":"by_key","group":"cell","hard_limit_s":4,"key_ttl_s":1,"late_value":0.3,"name":"keyed","streamed":true,` +
	`"target_s":1.5,"worth":1}`

const (
	keyedDeduplicationWindow = 1.0 // seconds; key_ttl_s of keyedClass
	cells                    = 2
)

// configSeed is the seed in the text of platform.ConfigText.
const configSeed = "8c1f30d27a5be964"

// writeConfig writes the node's configuration file; known is the endpoint list that the node starts with.
func (n *Node) writeConfig(known []byte) error {
	settings := strings.Replace(platform.SettingsJSON, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, len(n.fleet.nodes)), 1)
	settings = strings.Replace(settings, `"classes":[`, `"classes":[`+keyedClass+`,`, 1)
	text := string(platform.ConfigText(settings, n.address, n.agent.Address(), known, nodeMemoryMB, nodeSockets))
	seed := fmt.Sprintf("%016x", n.seed+uint64(n.starts)<<32)
	text = strings.Replace(text, configSeed, seed, 1)
	return platform.WriteConfig(n.config, []byte(text))
}

// engineAddress returns the address at which the node reaches an engine; "" if it has no route to it.
func (n *Node) engineAddress(engine string) string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if proxy := n.routes[engine]; proxy != nil {
		return proxy.Address()
	}
	return ""
}

// isInService reports whether clients open new connections to the node.
func (n *Node) isInService() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inService
}

// stopping reports whether the node's process was sent SIGTERM and has not ended. Clients continue to use their open connections to it.
func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.terminatedAt.IsZero() && n.killedAt.IsZero() && n.process.endedAt.IsZero()
}

// Times of readiness checks.
const (
	readyTimeout      = 10 * time.Second // after a start
	readyPollInterval = 20 * time.Millisecond
	readyCallTimeout  = time.Second // of one health check
)

// awaitReady waits until the node's health check succeeds, and puts the node into service. It reports a node that isn't ready within
// readyTimeout.
func (n *Node) awaitReady() {
	start := time.Now()
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	for time.Since(start) < readyTimeout {
		select {
		case <-p.ended:
			return
		case <-time.After(readyPollInterval):
		}
		if ready(n.address) {
			n.mu.Lock()
			n.inService = n.process == p && !p.stopRequested
			n.mu.Unlock()
			return
		}
	}
	n.fleet.report("ready", "%s was not ready in %v", n.name, readyTimeout)
}

// ready reports whether a node's health check succeeds.
func ready(address string) bool {
	conn, err := net.DialTimeout("tcp", address, readyCallTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(readyCallTimeout))
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// close kills the node's process, and closes its proxies and its clock.
func (n *Node) close() {
	n.mu.Lock()
	p := n.process
	if p != nil {
		p.stopRequested = true
	}
	n.mu.Unlock()
	if p != nil {
		p.cmd.Process.Kill()
		<-p.ended
	}
	for _, proxy := range n.routes {
		proxy.Close()
	}
	n.clock.Close()
}

// forbiddenLine matches lines that must not appear in a node's log.
var forbiddenLine = regexp.MustCompile(`level=ERROR|^panic:|^fatal error:|DATA RACE|rule violated`)

// allowedLine matches exceptions from forbiddenLine: the lines about a configuration that a fault made unreadable or malformed.
var allowedLine = regexp.MustCompile(`configuration rejected`)

// requestReceived is the part of a log line that precedes the ID of a request that the node has received.
const requestReceived = `msg="request received" request=`

// checkLogs reports forbidden lines in the logs of all processes of the node, and adds the IDs of received requests to received.
func (n *Node) checkLogs(received map[string]string) {
	for _, path := range n.logPaths {
		text, err := os.ReadFile(path)
		if err != nil {
			n.fleet.report("log", "%v", err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if forbiddenLine.MatchString(line) && !allowedLine.MatchString(line) {
				n.fleet.report("log", "%s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
			if _, rest, found := strings.Cut(line, requestReceived); found {
				id, _, _ := strings.Cut(rest, " ")
				received[strings.TrimSpace(id)] = n.name
			}
		}
	}
}
