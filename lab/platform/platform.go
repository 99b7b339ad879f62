// Package platform emulates the users' platform, on which `dillroute serve --relay` runs: engines, discovery and clients on loopback
// sockets, with faults that tests inject. It records the traffic for lab/rules. Its speeds are not those of real engines.
package platform

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dillroute/lab/record"
)

// Platform is an emulated platform: the state that its engines share. New creates one. Its methods are safe for concurrent use.
type Platform struct {
	Log  *record.Log
	Node string // node that the records name for attempts that arrived at an address without a registered route
	// EngineHost is the IP address on which engines listen; New sets 127.0.0.1. On another loopback address, an engine that restarts does
	// not find its port in use by a connection, because these are made from 127.0.0.1.
	EngineHost string
	// LosesResponse reports whether bytes that an engine sends on the connection from peer are lost on the way; nil: none are lost.
	LosesResponse func(engine string, peer net.Addr) bool

	mu              sync.Mutex // guards the fields below
	engines         map[string]*Engine
	states          map[string]map[string]bool // by call ID: the engines that store a reserved state for the call
	waitingAttempts map[string]int             // by call ID: number of attempts that wait for the state of the call at decode engines
	operations      map[string]Operation       // by call ID
	budgets         map[string][]Budget        // by name of the operation
	headers         map[string][]http.Header   // by name of the operation
	routes          map[string]string          // by address that only one node uses to reach an engine: the node

	goroutines sync.WaitGroup // of engines and discovery agents
}

// Operation is the client operation that a call belongs to.
type Operation struct {
	Name           string
	Class          string
	Attempt        int // number of the client's attempt, from 0
	ResponseTokens int
}

// Budget is the remaining time that an attempt stated, and when the engine received it.
type Budget struct {
	RemainingSeconds float64
	ReceivedAt       float64 // Unix seconds
}

// New returns a platform without engines.
func New(node string, log *record.Log) *Platform {
	return &Platform{
		Log:             log,
		Node:            node,
		EngineHost:      "127.0.0.1",
		engines:         map[string]*Engine{},
		states:          map[string]map[string]bool{},
		waitingAttempts: map[string]int{},
		operations:      map[string]Operation{},
		budgets:         map[string][]Budget{},
		headers:         map[string][]http.Header{},
		routes:          map[string]string{},
	}
}

// Default speeds of an engine.
const (
	defaultTokenInterval = 2 * time.Millisecond
	defaultPrefillTime   = 3 * time.Millisecond
)

// StartEngine starts an engine on a loopback port; role is read, write or both.
func (p *Platform) StartEngine(id, role string) *Engine {
	e := &Engine{
		ID:            id,
		role:          role,
		TokenInterval: defaultTokenInterval,
		PrefillTime:   defaultPrefillTime,
		platform:      p,
		conns:         map[net.Conn]bool{},
		attemptsLost:  make(chan struct{}),
	}
	if err := e.listen(net.JoinHostPort(p.EngineHost, "0")); err != nil {
		panic(err) // no loopback port is available: no test can run
	}
	p.mu.Lock()
	p.engines[id] = e
	p.mu.Unlock()
	return e
}

// Stop stops all engines and waits for all goroutines of engines and discovery agents. The caller must have closed the agents.
func (p *Platform) Stop() {
	p.mu.Lock()
	var engines []*Engine
	for _, e := range p.engines {
		engines = append(engines, e)
	}
	p.mu.Unlock()
	for _, e := range engines {
		e.Stop()
	}
	p.goroutines.Wait()
}

// RegisterRoute registers an address that only one node uses to reach an engine, so that records of its attempts name the node.
func (p *Platform) RegisterRoute(node, address string) {
	p.mu.Lock()
	p.routes[address] = node
	p.mu.Unlock()
}

// callingNode returns the node that sent a request to an address.
func (p *Platform) callingNode(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if node, found := p.routes[address]; found {
		return node
	}
	return p.Node
}

// losesResponse reports whether bytes that an engine sends on the connection from peer are lost on the way.
func (p *Platform) losesResponse(engine string, peer net.Addr) bool {
	return p.LosesResponse != nil && p.LosesResponse(engine, peer)
}

// RegisterCall registers the ID of a call before a client sends it. Engines treat other IDs as calls that no client sent.
func (p *Platform) RegisterCall(call string, operation Operation) {
	p.mu.Lock()
	p.operations[call] = operation
	p.mu.Unlock()
}

// operation returns the operation of a call; found is false for an ID that no client sent.
func (p *Platform) operation(call string) (operation Operation, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	operation, found = p.operations[call]
	return operation, found
}

// trackAttempt stores the header fields and the budget of an attempt that has arrived.
func (p *Platform) trackAttempt(operation string, header http.Header, remainingSeconds float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := Budget{RemainingSeconds: remainingSeconds, ReceivedAt: float64(time.Now().UnixNano()) / 1e9}
	p.headers[operation] = append(p.headers[operation], header)
	p.budgets[operation] = append(p.budgets[operation], budget)
}

// Budgets returns the budgets of the attempts for an operation, in order of arrival.
func (p *Platform) Budgets(operation string) []Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.budgets[operation])
}

// Headers returns the header fields of the attempts for an operation, in order of arrival.
func (p *Platform) Headers(operation string) []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.headers[operation])
}

// EventText returns the text of one event of a response. It contains the event's position, so that a comparison detects any gap.
func EventText(operation string, position int) string {
	return fmt.Sprintf("%s.%d ", operation, position)
}

// ResponseText returns the text of a complete response.
func ResponseText(operation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(EventText(operation, i))
	}
	return b.String()
}
