package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// reserve reserves a node for a stop, a kill or a reload, because these must not overlap on one node. It returns false if another fault
// has reserved the node.
func (n *Node) reserve() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reserved {
		return false
	}
	n.reserved = true
	return true
}

func (n *Node) unreserve() {
	n.mu.Lock()
	n.reserved = false
	n.mu.Unlock()
}

// restart starts the next process of a node with the agent's current endpoint list.
func (n *Node) restart() {
	if err := n.start(n.agent.Snapshot()); err != nil {
		n.fleet.report("start", "%s: %v", n.name, err)
		return
	}
	n.awaitReady()
}

// stopNodes performs planned restarts of nodes. Some nodes get a new configuration or further signals around or during their stop.
func stopNodes(t *injection) {
	var stops sync.WaitGroup
	for _, n := range t.drawNodes(max(1, len(t.fleet.nodes)/4)) {
		if !n.reserve() {
			continue
		}
		serving := 200*time.Millisecond + time.Duration(t.rng.Int64N(int64(200*time.Millisecond)))
		extra := time.Duration(0) // time that the process gets beyond minStopTime before SIGKILL
		if t.rng.IntN(3) == 0 {
			extra = time.Duration(t.rng.Int64N(int64(maxExtraStopTime)))
		}
		switch t.rng.IntN(6) {
		case 0, 1:
			t.reloadAroundStop(n)
		case 2:
			t.signalDuringStop(n)
		}
		stops.Add(1)
		go func() {
			defer stops.Done()
			defer n.unreserve()
			n.stop(serving, extra)
			n.restart()
		}()
		t.pause(0, 300*time.Millisecond)
	}
	stops.Wait()
}

// reloadAroundStop sends SIGHUP up to 20 ms before or after the SIGTERM that the caller sends next.
func (t *injection) reloadAroundStop(n *Node) {
	gap := time.Duration(t.rng.Int64N(int64(20 * time.Millisecond)))
	if t.rng.IntN(2) == 0 {
		n.reload()
		time.Sleep(gap)
	} else {
		time.AfterFunc(gap, func() { n.signal(syscall.SIGHUP) })
	}
	t.note("(with SIGHUP)")
}

// signalDuringStop schedules several SIGHUP and SIGTERM signals during the stop that the caller starts next.
func (t *injection) signalDuringStop(n *Node) {
	for range 2 + t.rng.IntN(4) {
		signal := syscall.SIGHUP
		if t.rng.IntN(3) == 0 {
			signal = syscall.SIGTERM
		}
		after := time.Duration(t.rng.Int64N(int64(minStopTime)))
		time.AfterFunc(after, func() {
			if n.stopping() {
				n.signal(signal)
			}
		})
	}
	t.note("(with a series of signals)")
}

// killNodes kills nodes and restarts them.
func killNodes(t *injection) {
	var starts sync.WaitGroup
	for _, n := range t.drawNodes(max(1, len(t.fleet.nodes)/3)) {
		if !n.reserve() {
			continue
		}
		starts.Add(1)
		go func() {
			defer starts.Done()
			defer n.unreserve()
			n.kill()
			n.restart()
		}()
	}
	starts.Wait()
	t.pause(0, time.Second)
}

// reload moves the node's discovery agent, writes a configuration with the new address, and makes the node read it.
func (n *Node) reload() {
	if err := n.agent.Move(); err != nil {
		n.fleet.report("reload", "%v", err)
		return
	}
	n.mu.Lock()
	err := n.writeConfig(n.agent.Snapshot())
	n.mu.Unlock()
	if err != nil {
		n.fleet.report("reload", "%v", err)
		return
	}
	n.signal(syscall.SIGHUP)
}

// reloadNodes gives nodes in service one to three new configurations in a row. Some of these follow a configuration that cannot be
// parsed.
func reloadNodes(t *injection) {
	for _, n := range t.drawNodes(max(1, len(t.fleet.nodes)/2)) {
		if !n.isInService() || !n.reserve() {
			continue
		}
		for range 1 + t.rng.IntN(3) {
			if t.rng.IntN(4) == 0 {
				os.WriteFile(n.config, []byte(`{"name":"n`), 0o644)
				n.signal(syscall.SIGHUP)
				t.pause(0, 20*time.Millisecond)
			}
			n.reload()
			t.pause(0, 100*time.Millisecond)
		}
		n.unreserve()
	}
	t.pause(500*time.Millisecond, 3*time.Second)
}

// pauseNodes suspends nodes ten times, for up to 0.15 s each.
func pauseNodes(t *injection) {
	nodes := t.drawNodes(3)
	for range 10 {
		for _, n := range nodes {
			n.signal(syscall.SIGSTOP)
		}
		t.pause(10*time.Millisecond, 150*time.Millisecond)
		for _, n := range nodes {
			n.signal(syscall.SIGCONT)
		}
		t.pause(20*time.Millisecond, 300*time.Millisecond)
	}
}

// callErrors are the errors that Linux documents for the watched system calls.
var callErrors = map[uint32][]syscall.Errno{
	syscall.SYS_SOCKET: {syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM},
	syscall.SYS_CONNECT: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EAGAIN, syscall.ECONNREFUSED, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH},
	syscall.SYS_OPENAT: {syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EIO, syscall.EINTR},
	syscall.SYS_ACCEPT4: {syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.ENETDOWN, syscall.EPERM},
}

// failSystemCalls makes system calls of nodes fail: 5% to 30% of them for up to 3 s, or 95% for up to 0.5 s.
func failSystemCalls(t *injection) {
	nodes := t.drawNodes(4)
	share := 0.05 + 0.25*t.rng.Float64()
	longest := 3 * time.Second
	if t.rng.IntN(2) == 0 {
		share = 0.95
		longest = 500 * time.Millisecond
	}
	seed := t.rng.Uint64()
	t.note("share=%.2f", share)
	for i, n := range nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(i))) // used only by the function below, which the supervisor calls under its lock
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		p.supervisor.Fail(func(call uint32) syscall.Errno {
			if rng.Float64() > share {
				return 0
			}
			errors := callErrors[call]
			return errors[rng.IntN(len(errors))]
		})
		defer p.supervisor.Fail(nil)
	}
	t.pause(100*time.Millisecond, longest)
}

// stepClocks steps the wall clocks of nodes forward or back by seconds or by an hour.
func stepClocks(t *injection) {
	for _, n := range t.drawNodes(len(t.fleet.nodes)) {
		step := []time.Duration{2 * time.Second, 30 * time.Second, time.Hour}[t.rng.IntN(3)]
		if t.rng.IntN(2) == 0 {
			step = -step
		}
		t.note("by %v", step)
		n.clock.Step(int64(step))
	}
	t.pause(500*time.Millisecond, 4*time.Second)
}
