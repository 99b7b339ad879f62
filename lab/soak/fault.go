package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dillroute/lab/platform"
)

// trouble plays troubles until the day's time is over, so many at a time, each by itself.
func (f *Fleet) trouble(rng *rand.Rand) {
	end := time.Now().Add(f.day.For)
	names := f.day.Troubles
	if len(names) == 0 {
		names = Troubles()
	}
	var all sync.WaitGroup
	for lane := range max(1, f.day.Parallel) {
		own := rand.New(rand.NewPCG(f.day.Seed, uint64(1000+lane)))
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(end) {
				t := &play{f: f, rng: own}
				name := names[own.IntN(len(names))]
				begun := time.Now()
				troubles[name](t)
				f.mu.Lock()
				f.events = append(f.events, Event{begun.Sub(f.began), time.Since(begun), name + " " + strings.Join(t.what, " ")})
				f.mu.Unlock()
				t.wait(0, 400*time.Millisecond)
			}
		}()
	}
	all.Wait()
	slices.SortFunc(f.events, func(a, b Event) int { return int(a.At - b.At) })
}

// play is one trouble under way.
type play struct {
	f    *Fleet
	rng  *rand.Rand
	what []string
}

func (t *play) note(format string, args ...any) {
	t.what = append(t.what, fmt.Sprintf(format, args...))
}

// wait waits for a drawn time.
func (t *play) wait(least, most time.Duration) {
	time.Sleep(least + time.Duration(t.rng.Float64()*float64(most-least)))
}

// node draws a node.
func (t *play) node() *Node {
	n := t.f.nodes[t.rng.IntN(len(t.f.nodes))]
	t.note("%s", n.name)
	return n
}

// some draws up to so many nodes.
func (t *play) some(most int) []*Node {
	nodes := slices.Clone(t.f.nodes)
	t.rng.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
	nodes = nodes[:1+t.rng.IntN(min(most, len(nodes)))]
	for _, n := range nodes {
		t.note("%s", n.name)
	}
	return nodes
}

// hold takes a node for a stop or a kill, which cannot overlap on one node; false = another one has it.
func (t *play) hold(n *Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *Node) letGo() {
	n.mu.Lock()
	n.busy = false
	n.mu.Unlock()
}

// engine draws an engine that is listed as up.
func (t *play) engine() string {
	t.f.reg.mu.Lock()
	var up []string
	for id, s := range t.f.reg.servers {
		if s.State == "up" {
			up = append(up, id)
		}
	}
	t.f.reg.mu.Unlock()
	slices.Sort(up)
	if len(up) == 0 {
		return ""
	}
	id := up[t.rng.IntN(len(up))]
	t.note("%s", id)
	return id
}

// Troubles returns the names of all troubles.
func Troubles() []string {
	var names []string
	for name := range troubles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

var troubles = map[string]func(t *play){
	"stop":      stopNodes,
	"kill":      killNodes,
	"reload":    reloadNodes,
	"pause":     pauseNodes,
	"discovery": silenceDiscovery,
	"watches":   breakWatches,
	"drain":     drainEngine,
	"replace":   replaceEngine,
	"hang":      hangEngine,
	"restart":   restartEngine,
	"forget":    forgetConnections,
	"pipeline":  pipeline,
	"faults":    spoilAnswers,
	"network":   spoilNetwork,
	"clients":   badClients,
	"crowd":     crowd,
	"syscalls":  failCalls,
	"clock":     stepClocks,
}

// stopNodes restarts nodes as planned; some are sent further signals meanwhile.
func stopNodes(t *play) {
	var stops sync.WaitGroup
	for _, n := range t.some(max(1, len(t.f.nodes)/4)) {
		if !t.hold(n) {
			continue
		}
		front := 200*time.Millisecond + time.Duration(t.rng.Int64N(int64(200*time.Millisecond)))
		more := time.Duration(t.rng.Int64N(int64(stopMore)))
		if t.rng.IntN(4) == 0 { // a new configuration crosses the stop
			gap := time.Duration(t.rng.Int64N(int64(20 * time.Millisecond)))
			if t.rng.IntN(2) == 0 {
				n.reload()
				time.Sleep(gap)
			} else {
				time.AfterFunc(gap, func() { n.signal(syscall.SIGHUP) })
			}
			t.note("(with SIGHUP)")
		}
		stops.Add(1)
		go func() {
			defer stops.Done()
			defer n.letGo()
			n.stop(front, more)
			if err := n.start(n.agent.List()); err != nil { // as the process before had it last
				t.f.find("start", "%s: %v", n.name, err)
				return
			}
			n.awaitReady()
		}()
		t.wait(0, 300*time.Millisecond)
	}
	stops.Wait()
}

// killNodes kills nodes without a word and starts them anew.
func killNodes(t *play) {
	var starts sync.WaitGroup
	for _, n := range t.some(max(1, len(t.f.nodes)/3)) {
		if !t.hold(n) {
			continue
		}
		starts.Add(1)
		go func() {
			defer starts.Done()
			defer n.letGo()
			n.kill()
			if err := n.start(n.agent.List()); err != nil {
				t.f.find("start", "%s: %v", n.name, err)
				return
			}
			n.awaitReady()
		}()
	}
	starts.Wait()
	t.wait(0, time.Second)
}

// reload gives a node a new configuration in which discovery has moved.
func (n *Node) reload() {
	if err := n.agent.Move(); err != nil {
		n.fleet.find("reload", "%v", err)
		return
	}
	n.mu.Lock()
	err := n.write(n.agent.List())
	n.mu.Unlock()
	if err != nil {
		n.fleet.find("reload", "%v", err)
		return
	}
	n.signal(syscall.SIGHUP)
}

// reloadNodes gives nodes new configurations, some of them several in a row, and some one that cannot be read first.
func reloadNodes(t *play) {
	for _, n := range t.some(max(1, len(t.f.nodes)/2)) {
		n.mu.Lock()
		in := n.in // not before it is ready
		n.mu.Unlock()
		if !in || !t.hold(n) {
			continue
		}
		for range 1 + t.rng.IntN(3) {
			if t.rng.IntN(4) == 0 {
				os.WriteFile(n.config, []byte(`{"name":"n`), 0o644)
				n.signal(syscall.SIGHUP)
				t.wait(0, 20*time.Millisecond)
			}
			n.reload()
			t.wait(0, 100*time.Millisecond)
		}
		n.letGo()
	}
	t.wait(500*time.Millisecond, 3*time.Second)
}

// pauseNodes holds nodes up for up to 0.15 s, again and again.
func pauseNodes(t *play) {
	nodes := t.some(3)
	for range 10 {
		for _, n := range nodes {
			n.signal(syscall.SIGSTOP)
		}
		t.wait(10*time.Millisecond, 150*time.Millisecond)
		for _, n := range nodes {
			n.signal(syscall.SIGCONT)
		}
		t.wait(20*time.Millisecond, 300*time.Millisecond)
	}
}

// silenceDiscovery has agents say nothing; engines drain within seconds of their return.
func silenceDiscovery(t *play) {
	nodes := t.some(len(t.f.nodes))
	for _, n := range nodes {
		n.agent.Silence(true)
	}
	t.wait(500*time.Millisecond, 8*time.Second)
	for _, n := range nodes {
		n.agent.Silence(false)
	}
	t.wait(0, time.Second)
	drainEngine(t)
}

// breakWatches has open watches fall silent or reset; engines drain right after.
func breakWatches(t *play) {
	nodes := t.some(len(t.f.nodes))
	deaf := t.rng.IntN(2) == 0
	t.note("deaf=%v", deaf)
	for _, n := range nodes {
		if deaf {
			n.agent.Deafen()
		} else if err := n.agent.ResetWatches(); err != nil {
			t.f.find("setup", "%v", err)
		}
	}
	t.wait(0, 500*time.Millisecond)
	drainEngine(t)
}

// drainEngine drains an engine, and takes it back or removes it.
func drainEngine(t *play) {
	id := t.engine()
	if id == "" || !t.f.spare(id) {
		return
	}
	t.f.reg.Set(id, func(s *platform.Endpoint) { s.State = "draining" })
	t.wait(500*time.Millisecond, 3*time.Second)
	t.f.reg.Set(id, func(s *platform.Endpoint) { s.State = "up" })
}

// spare tells whether others of an engine's role are up.
func (f *Fleet) spare(id string) bool {
	f.reg.mu.Lock()
	defer f.reg.mu.Unlock()
	kind, others := f.reg.servers[id].Kind, 0
	for other, s := range f.reg.servers {
		if other != id && s.State == "up" && s.Kind == kind {
			others++
		}
	}
	return others > 0
}

// replaceEngine puts a new engine in the place of an old one.
func replaceEngine(t *play) {
	id := t.engine()
	if id == "" || !t.f.spare(id) {
		return
	}
	kind, _, _ := strings.Cut(id, "-")
	t.f.reg.Set(id, func(s *platform.Endpoint) { s.State = "draining" })
	t.f.addEngine(kind)
	t.wait(200*time.Millisecond, 2*time.Second)
	t.f.reg.Set(id, func(s *platform.Endpoint) { s.State = "removed" })
	t.wait(0, time.Second)
	t.f.engine(id).Stop()
}

// hangEngine has engines take requests and do nothing with them.
func hangEngine(t *play) {
	id := t.engine()
	if id == "" {
		return
	}
	t.f.engine(id).SetHung(true)
	t.wait(300*time.Millisecond, 6*time.Second)
	t.f.engine(id).SetHung(false)
}

// restartEngine resets all connections of an engine; it comes back empty behind the same address.
func restartEngine(t *play) {
	id := t.engine()
	if id == "" {
		return
	}
	for range 1 + t.rng.IntN(4) {
		for _, p := range t.f.proxies(id) {
			p.Reset()
		}
		t.wait(0, 300*time.Millisecond)
	}
}

// forgetConnections has the connections to an engine carry nothing any more, those that rest among them.
func forgetConnections(t *play) {
	id := t.engine()
	if id == "" {
		return
	}
	for _, p := range t.f.proxies(id) {
		p.Forget()
	}
	t.wait(0, time.Second)
}

// pipeline has clients send many requests at once on one connection; some leave in the midst of the answers.
func pipeline(t *play) {
	n := t.node()
	n.mu.Lock()
	in := n.in
	n.mu.Unlock()
	if !in {
		return
	}
	var all sync.WaitGroup
	for range 3 {
		c := &client{fleet: t.f, name: fmt.Sprintf("p%d", callIDs.Add(1)), rng: rand.New(rand.NewPCG(t.rng.Uint64(), 1)), conns: map[*Node]*kept{}}
		all.Add(1)
		go func() { defer all.Done(); c.pipeline(n) }()
	}
	all.Wait()
}

var answerFaults = []platform.Fault{platform.NoiseForHead, platform.MalformedHead, platform.EndlessHead, platform.MalformedChunkSize, platform.ChunkSizeMismatch, platform.HugeChunk,
	platform.CloseMidStream, platform.StallMidStream, platform.CloseBeforeResponse, platform.InterimResponses, platform.MalformedLoadReport, platform.SecondResponse, platform.DelayedSecondResponse,
	platform.NoFinalEvent, platform.CloseInLastChunk, platform.IncompleteRejection, platform.IncompletePrefillResponse, platform.InternalError, platform.Rejection, platform.Unavailable, platform.StateMissing}

// spoilAnswers spoils answers of an engine.
func spoilAnswers(t *play) {
	id := t.engine()
	if id == "" {
		return
	}
	var faults []platform.Fault
	for range 5 + t.rng.IntN(30) {
		faults = append(faults, answerFaults[t.rng.IntN(len(answerFaults))])
	}
	t.f.engine(id).QueueFaults(faults...)
	t.wait(0, time.Second)
}

// spoilNetwork spoils the ways to engines, all of an engine or some of a node.
func spoilNetwork(t *play) {
	mode := []Mode{Silent, Pieces, Late}[t.rng.IntN(3)]
	t.note("mode=%d", mode)
	var ways []*Proxy
	if t.rng.IntN(2) == 0 {
		if id := t.engine(); id != "" {
			ways = t.f.proxies(id)
		}
	} else {
		n := t.node()
		t.f.mu.Lock()
		for _, id := range t.f.order {
			if t.rng.IntN(2) == 0 {
				ways = append(ways, n.reach[id])
			}
		}
		t.f.mu.Unlock()
	}
	for _, p := range ways {
		p.Set(mode)
	}
	t.wait(300*time.Millisecond, 5*time.Second)
	for _, p := range ways {
		p.Set(Pass)
	}
}

// What bad clients are owed (DAYS, bad clients).
const badOwed = 3 * time.Second

var badTexts = []string{
	"GET / HTTP/1.1\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\n{\"half",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: zz\r\nX-Call-Class: none\r\nX-Caller: branch\r\nX-Budget: soon\r\nContent-Length: 2\r\n\r\n{}",
	"\x16\x03\x01\x02\x00", "\r\n\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nX: " + strings.Repeat("y", 40000),
	"",
}

// badClients sends what cannot be served. Each is owed an error or a close.
func badClients(t *play) {
	n := t.node()
	n.mu.Lock()
	in := n.in
	n.mu.Unlock()
	if !in {
		return
	}
	var all sync.WaitGroup
	for range 10 {
		text := badTexts[t.rng.IntN(len(badTexts))]
		all.Add(1)
		go func() {
			defer all.Done()
			begun := time.Now()
			c, err := net.DialTimeout("tcp", n.addr, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, text)
			c.SetReadDeadline(begun.Add(badOwed + 300*time.Millisecond))
			_, err = c.Read(make([]byte, 1))
			if err, ok := err.(net.Error); ok && err.Timeout() {
				t.f.find("bad client", "%s gave neither an error nor a close in %v to %.60q", n.name, badOwed, text)
			}
		}()
	}
	all.Wait()
}

// crowd has idle clients fill a node's descriptors.
func crowd(t *play) {
	n := t.node()
	var conns []net.Conn
	for range nodeSockets {
		c, err := net.DialTimeout("tcp", n.addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	t.wait(300*time.Millisecond, 3*time.Second)
	for _, c := range conns {
		c.Close()
	}
}

// Errors of system calls, as Linux documents them.
var callErrors = map[uint32][]syscall.Errno{
	syscall.SYS_SOCKET:  {syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM},
	syscall.SYS_CONNECT: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EAGAIN, syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH},
	syscall.SYS_OPENAT:  {syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EIO, syscall.EINTR},
	syscall.SYS_ACCEPT4: {syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPROTO, syscall.ENETDOWN, syscall.EPERM},
}

// failCalls has system calls of nodes fail: some of them for seconds, or nearly all for a moment.
func failCalls(t *play) {
	nodes := t.some(4)
	share, most := 0.05+0.25*t.rng.Float64(), 3*time.Second
	if t.rng.IntN(2) == 0 {
		share, most = 0.95, 500*time.Millisecond
	}
	seed := t.rng.Uint64()
	t.note("share=%.2f", share)
	for i, n := range nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(i))) // used under the supervisor's lock
		n.mu.Lock()
		p := n.proc
		n.mu.Unlock()
		p.calls.Fail(func(call uint32) syscall.Errno {
			if rng.Float64() > share {
				return 0
			}
			errs := callErrors[call]
			return errs[rng.IntN(len(errs))]
		})
		defer p.calls.Fail(nil)
	}
	t.wait(100*time.Millisecond, most)
}

// stepClocks steps the wall clocks of nodes, forward or back, by seconds or by an hour.
func stepClocks(t *play) {
	for _, n := range t.some(len(t.f.nodes)) {
		step := []time.Duration{2 * time.Second, 30 * time.Second, time.Hour}[t.rng.IntN(3)]
		if t.rng.IntN(2) == 0 {
			step = -step
		}
		t.note("by %v", step)
		n.clock.Step(int64(step))
	}
	t.wait(500*time.Millisecond, 4*time.Second)
}
