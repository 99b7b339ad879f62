package simulation

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// States of a listed engine, in discovery's words.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// listed is one entry of the list, in discovery's form.
type listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int
}

// registry is discovery: the list, and how it answers.
type registry struct {
	fleet *fleet

	mu      sync.Mutex
	version int
	entries map[string]listed
	news    chan struct{} // closed at a change
	silent  chan struct{} // closed when it answers again; nil = it answers
	late    float64       // s by which lists are late beside what is usual
	slow    float64       // part of its capacity that a shared discovery has; 0 = all
	free    time.Time     // when a shared discovery has answered all calls that wait
	refused int           // calls that were turned away
}

func newRegistry(f *fleet) *registry {
	return &registry{fleet: f, entries: map[string]listed{}, news: make(chan struct{})}
}

// set lists an engine in a state, from now on.
func (r *registry) set(e *engine, state string) {
	e.mu.Lock()
	started := int64(0)
	if !e.booted.IsZero() {
		started = e.booted.UnixMilli()
	}
	e.mu.Unlock()
	r.mu.Lock()
	r.version++
	r.entries[e.ID] = listed{ID: e.ID, Addr: e.address(), Zone: zoneName(e.Zone), Kind: kindName(e.Kind), Cell: e.Cell, State: state, Weight: 1,
		Started: started, version: r.version}
	close(r.news)
	r.news = make(chan struct{})
	r.mu.Unlock()
}

// change lists a change once discovery has noticed it.
func (r *registry) change(e *engine, state string, after float64) {
	r.mu.Lock()
	after += r.late
	r.mu.Unlock()
	time.AfterFunc(duration(after), func() {
		_, up, _, _ := e.state()
		if up == (state == stateRemoved) {
			return // overtaken by a later change
		}
		r.set(e, state)
		r.countsAsTold(e.ID, state)
	})
}

// flap lists an engine in a state that it is not in.
func (r *registry) flap(e *engine, state string) { r.set(e, state) }

// countsAsTold records that a change counts as told to all nodes some time after discovery had it and could be reached.
func (r *registry) countsAsTold(id, state string) {
	if state == stateUp {
		return
	}
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	r.fleet.run(func() {
		if silent != nil {
			<-silent
		}
		time.Sleep(duration(countsAsTold))
		r.mu.Lock()
		same := r.entries[id].State == state
		r.mu.Unlock()
		if same {
			for i := range r.fleet.site.Nodes {
				r.told(nodeName(i), id, state)
			}
		}
	})
}

func (r *registry) told(node, engine, state string) {
	words := map[string]string{stateUp: "ready", stateDraining: "draining", stateRemoved: "gone"}
	r.fleet.log.Add(record.Record{Kind: record.ListDelivered, Node: node, Engine: engine, State: words[state]})
}

// silence sets whether discovery says nothing.
func (r *registry) silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && r.silent == nil {
		r.silent = make(chan struct{})
	} else if !on && r.silent != nil {
		close(r.silent)
		r.silent = nil
	}
}

// ready lists the engines that may be sent something new.
func (r *registry) ready() []*engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*engine
	for _, e := range r.fleet.engines {
		if r.entries[e.ID].State == stateUp {
			out = append(out, e)
		}
	}
	return out
}

// answer is what changed after a version, or the whole list. The lock is held.
func (r *registry) answer(from int) (entries []listed, text []byte) {
	for _, e := range r.fleet.engines {
		if x := r.entries[e.ID]; from < 0 && x.State != stateRemoved || from >= 0 && x.version > from {
			entries = append(entries, x)
		}
	}
	if entries == nil {
		entries = []listed{}
	}
	text, err := json.Marshal(map[string]any{"version": r.version, "full": from < 0, "servers": entries})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return entries, text
}

// serveOn answers the calls of a listener: those of one node (its agent's) or of all.
func (r *registry) serveOn(l *memnet.Listener) {
	r.fleet.run(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.fleet.run(func() { r.serve(c) })
		}
	})
}

func (r *registry) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, q.Body)
		gone, next := watch(r.fleet, br)
		from, hold := -1, 0
		if f := q.URL.Query().Get("from"); f != "" {
			from, _ = strconv.Atoi(f)
			hold, _ = strconv.Atoi(q.URL.Query().Get("hold_ms"))
		}
		if !r.call(c, from, time.Duration(hold)*time.Millisecond, gone) {
			return
		}
		select {
		case <-gone:
			return
		case <-next:
		}
	}
}

// call answers one call; false = the connection ends.
func (r *registry) call(c net.Conn, from int, hold time.Duration, gone <-chan struct{}) bool {
	if r.fleet.site.Asked && !r.admitted() {
		return reply(c, 503, "", "overloaded")
	}
	select {
	case <-gone: // nobody is there to be told
		return false
	default:
	}
	end := time.NewTimer(hold)
	defer end.Stop()
	for {
		r.mu.Lock()
		silent, news, fresh := r.silent, r.news, from < r.version
		r.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
				continue
			case <-gone:
				return false
			}
		}
		if fresh {
			break
		}
		select {
		case <-news:
			continue
		case <-gone:
			return false
		case <-end.C:
		}
		break
	}
	r.mu.Lock()
	entries, text := r.answer(from)
	r.mu.Unlock()
	node := c.RemoteAddr().String()
	for _, x := range entries {
		r.told(node, x.ID, x.State)
	}
	return reply(c, 200, "Content-Type: application/json\r\n", string(text))
}

// A shared discovery turns calls away that would wait for longer than this (s), which costs it a part of an answer.
const (
	askTimeout = 2.0
	refusal    = 0.3
)

// admitted has a call wait for its turn at a shared discovery; false = it was turned away.
func (r *registry) admitted() bool {
	r.mu.Lock()
	capacity := r.fleet.site.AskCapacity
	if r.slow > 0 {
		capacity *= r.slow
	}
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	wait := r.free.Sub(now)
	if wait.Seconds() > askTimeout {
		r.refused++
		r.free = r.free.Add(duration(refusal / capacity))
		r.mu.Unlock()
		return false
	}
	r.free = r.free.Add(duration(1 / capacity))
	r.mu.Unlock()
	time.Sleep(wait)
	return true
}
