// Package platform is a stand-in of the users' platform, in which `dillroute serve --relay` runs: engines, discovery and
// clients on loopback sockets, with faults on command. What passes is recorded for lab/rules. Speeds are not those of
// real engines.
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
	Node string // whom records name

	mu      sync.Mutex
	engines map[string]*Engine
	holds   map[string]map[string]bool // by call: engines that hold something of it
	ops     map[string]Operation       // by call
	budgets map[string][]Budget        // by name of an op
	headers map[string][]http.Header   // of the attempts that arrived, by name of an op
	callers map[string]string          // nodes by the address at which each reaches an engine
	wg      sync.WaitGroup
}

// RegisterRoute notes that a node alone reaches an engine at an address, so that records name it.
func (p *Platform) RegisterRoute(node, address string) {
	p.mu.Lock()
	p.callers[address] = node
	p.mu.Unlock()
}

// caller returns the node that made a request to the address given.
func (p *Platform) caller(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if node, ok := p.callers[address]; ok {
		return node
	}
	return p.Node
}

// Operation names what a call was made for.
type Operation struct {
	Name, Class             string
	Attempt, ResponseTokens int
}

// Budget is what an attempt told its engine of the time that is left (s), and when (Unix s).
type Budget struct{ RemainingSeconds, ReceivedAt float64 }

// Budgets returns what the attempts for an op told, in order of arrival.
func (p *Platform) Budgets(op string) []Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.budgets[op])
}

// Headers returns the header fields of the attempts for an op, in order of arrival.
func (p *Platform) Headers(op string) []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.headers[op])
}

// New returns a platform without engines.
func New(node string, log *record.Log) *Platform {
	return &Platform{Log: log, Node: node, engines: map[string]*Engine{}, holds: map[string]map[string]bool{}, ops: map[string]Operation{}, budgets: map[string][]Budget{},
		headers: map[string][]http.Header{}, callers: map[string]string{}}
}

// StartEngine starts an engine; role is read, write or both.
func (p *Platform) StartEngine(id, role string) *Engine {
	e := &Engine{ID: id, Role: role, platform: p, TokenInterval: 2 * time.Millisecond, PrefillTime: 3 * time.Millisecond, conns: map[net.Conn]bool{}}
	if err := e.listen(); err != nil {
		panic(err) // loopback without ports: no test can run
	}
	p.mu.Lock()
	p.engines[id] = e
	p.mu.Unlock()
	return e
}

// Stop ends all engines.
func (p *Platform) Stop() {
	p.mu.Lock()
	var all []*Engine
	for _, e := range p.engines {
		all = append(all, e)
	}
	p.mu.Unlock()
	for _, e := range all {
		e.Stop()
	}
	p.wg.Wait()
}

// CallsWithState tells for how many calls something is held.
func (p *Platform) CallsWithState() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.holds)
}

func stateName(call, engine string) string { return call + "@" + engine }

// hold notes that an engine holds something of a call.
func (p *Platform) hold(node, call, engine string) {
	p.mu.Lock()
	op := p.ops[call]
	if p.holds[call] == nil {
		p.holds[call] = map[string]bool{}
	}
	p.holds[call][engine] = true
	p.mu.Unlock()
	p.Log.Add(record.Record{Kind: record.Parsed, Op: op.Name, Try: op.Attempt, Class: op.Class, Node: node, Engine: engine, State: stateName(call, engine)})
}

// release lets go of all that is held for a call, whatever engine holds it; it tells whether anything was.
func (p *Platform) release(call, why string) bool {
	p.mu.Lock()
	held := p.holds[call]
	delete(p.holds, call)
	p.mu.Unlock()
	for engine := range held {
		p.Log.Add(record.Record{Kind: record.StateEnd, Engine: engine, State: stateName(call, engine), Note: why})
	}
	return len(held) > 0
}

// holder returns an engine that holds a call's state.
func (p *Platform) holder(call string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine := range p.holds[call] {
		return engine
	}
	return ""
}

// op returns what a call is for; ok is false for an id that no client sent.
func (p *Platform) op(call string) (Operation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	op, ok := p.ops[call]
	return op, ok
}

// RegisterCall makes an id known, as a client that sends it does.
func (p *Platform) RegisterCall(call string, op Operation) {
	p.mu.Lock()
	p.ops[call] = op
	p.mu.Unlock()
}

// EventText is the text of one event of an answer, so that a client can tell what is missing.
func EventText(op string, i int) string { return fmt.Sprintf("%s.%d ", op, i) }

// ResponseText is the text of a whole answer.
func ResponseText(op string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(EventText(op, i))
	}
	return b.String()
}
