package node

import (
	"math/rand/v2"
	"sync"

	"dillroute/internal/clock"
	"dillroute/internal/decide/overload"
)

// overloadMonitor makes the overload controller safe for concurrent use: it is called by the event loop and by the goroutines that accept
// connections and run attempts. Each call is short, so a mutex is sufficient.
type overloadMonitor struct {
	clock clock.Clock

	mu         sync.Mutex // guards controller
	controller *overload.Controller
}

func newOverloadMonitor(limits overload.Limits, c clock.Clock) *overloadMonitor {
	return &overloadMonitor{clock: c, controller: overload.New(limits)}
}

// observeLag implements lagObserver.
func (m *overloadMonitor) observeLag(now, delay float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controller.ObserveLag(now, delay)
}

// observeDescriptorShortage records that no file descriptor was left while the given number of client connections was open.
func (m *overloadMonitor) observeDescriptorShortage(connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controller.ObserveDescriptorShortage(m.clock.Now(), connections)
}

// maxConnections returns the current limit on client connections.
func (m *overloadMonitor) maxConnections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller.Connections(m.clock.Now())
}

// retryAfter returns the time after which a rejected client should retry (s).
func (m *overloadMonitor) retryAfter() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller.RetryAfter(m.clock.Now(), rand.Float64())
}

// admit decides whether a request is admitted.
func (m *overloadMonitor) admit(now float64, request overload.Request) overload.Decision {
	request.Random = rand.Float64()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller.Admit(now, request)
}

// descriptorShortage records that no file descriptor was left, and closes the idle engine connections so that descriptors become
// available, above all for state releases.
func (n *Node) descriptorShortage(clientConnections int) {
	n.overload.observeDescriptorShortage(clientConnections)
	n.engines.CloseIdle()
	n.metrics.descriptorShortages.Inc()
}
