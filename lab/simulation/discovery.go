package simulation

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// States of an engine in the endpoint list, as values of discovery's protocol.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// recordedStates maps these states to those of records.
var recordedStates = map[string]string{stateUp: "ready", stateDraining: "draining", stateRemoved: "gone"}

// listEntry is one entry of the endpoint list, in the format of discovery's protocol.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int     // version of the list at which the entry changed last
}

// discovery stores the endpoint list and serves it to the nodes.
type discovery struct {
	fleet *fleet

	mu            sync.Mutex // guards all that follows
	version       int        // version of the list; each change increments it
	entries       map[string]listEntry
	changed       chan struct{} // closed and replaced at the next change
	silent        chan struct{} // closed when discovery responds again; nil = it responds
	extraDelay    float64       // additional delay of changes (s)
	capacityShare float64       // fraction of its capacity to which a shared discovery is reduced; 0 = not reduced
	freeAt        time.Time     // when a shared discovery will have answered all waiting polls
}

func newDiscovery(f *fleet) *discovery {
	return &discovery{fleet: f, entries: map[string]listEntry{}, changed: make(chan struct{})}
}

// set lists an engine with a state immediately. The engine's actual state may differ from it.
func (d *discovery) set(e *engine, state string) {
	started := e.startMillis()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries[e.ID] = listEntry{
		ID:      e.ID,
		Addr:    e.address(),
		Zone:    zoneName(e.Zone),
		Kind:    kindName(e.Kind),
		Cell:    e.Cell,
		State:   state,
		Weight:  1,
		Started: started,
		version: d.version,
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// startMillis returns the time of the engine's last cold start (Unix milliseconds); 0 = none during the run.
func (e *engine) startMillis() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startedAt.IsZero() {
		return 0
	}
	return e.startedAt.UnixMilli()
}

// setAfterDelay lists an engine with a state after a delay (s). It does nothing if the state is obsolete by then: the engine has
// restarted although it would be listed as removed, or it is down although it would be listed with another state.
func (d *discovery) setAfterDelay(e *engine, state string, delay float64) {
	d.mu.Lock()
	delay += d.extraDelay
	d.mu.Unlock()
	time.AfterFunc(duration(delay), func() {
		isRemoved := state == stateRemoved
		if e.state().up == isRemoved {
			return
		}
		d.set(e, state)
		d.recordDeliveryAfterDelay(e.ID, state)
	})
}

// recordDeliveryAfterDelay records a listed state as delivered to all nodes after changeDeliveredAfter seconds, if it has not changed by
// then. If discovery is silent, this time starts when the silence ends. For engines listed as up, it records nothing.
func (d *discovery) recordDeliveryAfterDelay(id, state string) {
	if state == stateUp {
		return
	}
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	d.fleet.run(func() {
		if silent != nil {
			<-silent
		}
		time.Sleep(duration(changeDeliveredAfter))
		d.mu.Lock()
		unchanged := d.entries[id].State == state
		d.mu.Unlock()
		if unchanged {
			for i := range d.fleet.site.Nodes {
				d.recordDelivery(nodeName(i), id, state)
			}
		}
	})
}

func (d *discovery) recordDelivery(node, engine, state string) {
	d.fleet.log.Add(record.Record{Kind: record.ListDelivered, Node: node, Engine: engine, State: recordedStates[state]})
}

// setSilent sets whether discovery withholds all responses.
func (d *discovery) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && d.silent == nil {
		d.silent = make(chan struct{})
	} else if !on && d.silent != nil {
		close(d.silent)
		d.silent = nil
	}
}

func (d *discovery) setExtraDelay(seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraDelay = seconds
}

func (d *discovery) setCapacityShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacityShare = share
}

// ready returns the engines that are listed as up.
func (d *discovery) ready() []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var engines []*engine
	for _, e := range d.fleet.engines {
		if d.entries[e.ID].State == stateUp {
			engines = append(engines, e)
		}
	}
	return engines
}

// fullList is the version for which changesSince returns the full list.
const fullList = -1

// changesSince returns the entries that changed after a version, and their JSON text. For fullList it returns all entries but the
// removed ones.
func (d *discovery) changesSince(version int) (entries []listEntry, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries = []listEntry{}
	for _, e := range d.fleet.engines {
		entry := d.entries[e.ID]
		if version < 0 && entry.State != stateRemoved || version >= 0 && entry.version > version {
			entries = append(entries, entry)
		}
	}
	text, err := json.Marshal(object{"version": d.version, "full": version < 0, "servers": entries})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return entries, text
}

// serveOn serves the polls that arrive on a listener. The listener of an agent receives those of one node, the listener of a shared
// discovery service those of all nodes.
func (d *discovery) serveOn(l *memnet.Listener) {
	d.fleet.run(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.fleet.run(func() {
				serveConnection(d.fleet, conn, func(r *http.Request, peerClosed <-chan struct{}) bool {
					return d.servePoll(conn, r, peerClosed)
				})
			})
		}
	})
}

// servePoll answers one poll; false = the connection ends.
func (d *discovery) servePoll(conn net.Conn, r *http.Request, peerClosed <-chan struct{}) bool {
	version := fullList
	maxWaitMillis := 0
	if from := r.URL.Query().Get("from"); from != "" {
		version, _ = strconv.Atoi(from) // nodes send numbers
		maxWaitMillis, _ = strconv.Atoi(r.URL.Query().Get("hold_ms"))
	}
	if d.fleet.site.SharedDiscovery && !d.awaitCapacity() {
		return respond(conn, http.StatusServiceUnavailable, "", "overloaded")
	}
	select {
	case <-peerClosed: // no change is delivered to a node that has disconnected
		return false
	default:
	}
	if !d.awaitChange(version, time.Duration(maxWaitMillis)*time.Millisecond, peerClosed) {
		return false
	}
	entries, text := d.changesSince(version)
	node := conn.RemoteAddr().String()
	for _, entry := range entries {
		d.recordDelivery(node, entry.ID, entry.State)
	}
	return respond(conn, http.StatusOK, "Content-Type: application/json\r\n", string(text))
}

// awaitChange waits until the list has changed after a version or maxWait has passed. While discovery is silent, it waits even then.
// false = the node has disconnected.
func (d *discovery) awaitChange(version int, maxWait time.Duration, peerClosed <-chan struct{}) bool {
	end := time.NewTimer(maxWait)
	defer end.Stop()
	for {
		d.mu.Lock()
		silent := d.silent
		changed := d.changed
		hasChange := version < d.version
		d.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
				continue
			case <-peerClosed:
				return false
			}
		}
		if hasChange {
			return true
		}
		select {
		case <-changed:
		case <-peerClosed:
			return false
		case <-end.C:
			return true
		}
	}
}

const (
	// discoveryTimeout is the maximum time that a poll waits at a shared discovery (s), which rejects polls that would wait longer.
	discoveryTimeout = 2.0
	// rejectionCost is the cost of a rejection for a shared discovery, as a multiple of that of a response.
	rejectionCost = 0.3
)

// awaitCapacity waits until a shared discovery can process a poll; false = the poll is rejected.
func (d *discovery) awaitCapacity() bool {
	wait, ok := d.reserveTurn()
	if ok {
		time.Sleep(wait)
	}
	return ok
}

// reserveTurn queues a poll and returns how long it waits; false = it would wait for longer than discoveryTimeout.
func (d *discovery) reserveTurn() (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	capacity := d.fleet.site.DiscoveryCapacity
	if d.capacityShare > 0 {
		capacity *= d.capacityShare
	}
	now := time.Now()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	wait = d.freeAt.Sub(now)
	if wait.Seconds() > discoveryTimeout {
		d.freeAt = d.freeAt.Add(duration(rejectionCost / capacity))
		return 0, false
	}
	d.freeAt = d.freeAt.Add(duration(1 / capacity))
	return wait, true
}
