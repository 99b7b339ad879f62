// Package platform emulates the users' platform, on which `dillroute serve --relay` runs: engines, discovery and clients on loopback
// sockets, with faults on command. What passes is recorded for lab/rules. Speeds are not those of real engines.
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

// Platform holds what its engines share.
type Platform struct {
	Log  *record.Log
	Node string // that records name where no route says otherwise
	// LosesResponse reports whether what an engine sends over the connection from an address reaches nobody; nil = it always does.
	LosesResponse func(engine string, peer net.Addr) bool

	mu         sync.Mutex // guards the fields below
	engines    map[string]*Engine
	states     map[string]map[string]bool // by call: the engines that reserve a state for it
	waitingAttempts    map[string]int             // by call: attempts that have arrived at decode engines and have not fetched its state
	operations map[string]Operation       // by call
	budgets    map[string][]Budget        // by name of an operation
	headers    map[string][]http.Header   // by name of an operation
	routes     map[string]string          // nodes, by the address at which each alone reaches an engine

	goroutines sync.WaitGroup // of engines and discovery
}

// Operation is what a call was made for.
type Operation struct {
	Name           string
	Class          string
	Attempt        int // of the client, from 0
	ResponseTokens int
}

// Budget is the time that an attempt said to be left, and when it did.
type Budget struct {
	RemainingSeconds float64
	ReceivedAt       float64 // Unix seconds
}

// New returns a platform without engines.
func New(node string, log *record.Log) *Platform {
	return &Platform{
		Log:        log,
		Node:       node,
		engines:    map[string]*Engine{},
		states:     map[string]map[string]bool{},
		waitingAttempts:    map[string]int{},
		operations: map[string]Operation{},
		budgets:    map[string][]Budget{},
		headers:    map[string][]http.Header{},
		routes:     map[string]string{},
	}
}

// Speeds of an engine that has just been started.
const (
	defaultTokenInterval = 2 * time.Millisecond
	defaultPrefillTime   = 3 * time.Millisecond
)

// StartEngine starts an engine; role is read, write or both.
func (p *Platform) StartEngine(id, role string) *Engine {
	e := &Engine{
		ID:            id,
		Role:          role,
		TokenInterval: defaultTokenInterval,
		PrefillTime:   defaultPrefillTime,
		platform:      p,
		conns:         map[net.Conn]bool{},
		attemptsLost:          make(chan struct{}),
	}
	if err := e.listen(); err != nil {
		panic(err) // loopback without ports: no test can run
	}
	p.mu.Lock()
	p.engines[id] = e
	p.mu.Unlock()
	return e
}

// Stop stops all engines, and waits for the goroutines of engines and of discovery servers that were closed.
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

// RegisterRoute notes that a node alone reaches an engine at an address, so that records name the node.
func (p *Platform) RegisterRoute(node, address string) {
	p.mu.Lock()
	p.routes[address] = node
	p.mu.Unlock()
}

// callingNode returns the node that made a request to the address given.
func (p *Platform) callingNode(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if node, found := p.routes[address]; found {
		return node
	}
	return p.Node
}

// losesResponse reports whether what an engine sends over the connection from an address reaches nobody.
func (p *Platform) losesResponse(engine string, peer net.Addr) bool {
	return p.LosesResponse != nil && p.LosesResponse(engine, peer)
}

// RegisterCall makes an id known, as the client that sends it does.
func (p *Platform) RegisterCall(call string, operation Operation) {
	p.mu.Lock()
	p.operations[call] = operation
	p.mu.Unlock()
}

// operation returns what a call is for; found is false for an id that no client sent.
func (p *Platform) operation(call string) (operation Operation, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	operation, found = p.operations[call]
	return operation, found
}

// noteAttempt keeps the header fields and the budget of an attempt that has arrived.
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

// EventText is the text of one event of a response. It holds its position, so that any gap shows.
func EventText(operation string, position int) string {
	return fmt.Sprintf("%s.%d ", operation, position)
}

// ResponseText is the text of a complete response.
func ResponseText(operation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(EventText(operation, i))
	}
	return b.String()
}
