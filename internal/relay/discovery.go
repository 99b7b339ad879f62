package relay

import (
	"log/slog"
	"math/rand/v2"
	"sync"

	"dillroute/internal/clock"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
)

// notifiedAfter is the time after which a change counts as notified, whatever became of the calls, in seconds (the terms of
// the users' standing test).
const notifiedAfter = 6

// Discovery follows the engine list of the platform's discovery service.
//
// It polls one address at a time, each by a watch of its own (see poller), and hands what changes to onUpdate. Its methods
// may be called by any goroutine.
type Discovery struct {
	log      *slog.Logger
	policy   endpoints.PollPolicy
	decoder  listDecoder
	clock    clock.Clock
	dial     http1.DialFunc
	onUpdate func(protocol.EndpointList) // called with mu held
	wg       sync.WaitGroup              // the goroutines of all watches

	mu           sync.Mutex
	view         *endpoints.NotifiedView
	startTimes   *endpoints.StartTimes
	hasSavedList bool    // a list of an earlier run was applied at the start
	lastResponse float64 // when discovery last responded (s); 0 = not yet
	watch        *watch  // the newest
	closed       bool
}

// discoveryOptions are what a Discovery is made from.
type discoveryOptions struct {
	settings *settings.Settings
	policy   endpoints.PollPolicy
	clock    clock.Clock    // of the node, in whose time start times are given
	dial     http1.DialFunc // makes connections; nil = on the network
	onUpdate func(protocol.EndpointList)
	log      *slog.Logger
}

// Follow starts to follow discovery at an address, from the list of an earlier run (saved; may be empty). clk is the clock
// of the node, in whose time start times are given; dial makes connections (nil = on the network). onUpdate is called with
// each change of the list, one call at a time.
func Follow(addr string, saved []byte, s *settings.Settings, clk clock.Clock, dial http1.DialFunc,
	onUpdate func(protocol.EndpointList), log *slog.Logger) *Discovery {
	return startDiscovery(addr, saved, discoveryOptions{
		settings: s,
		policy:   pollPolicyOf(s),
		clock:    clk,
		dial:     dial,
		onUpdate: onUpdate,
		log:      log,
	})
}

// pollPolicyOf returns the policy for the kind of discovery that the settings name.
func pollPolicyOf(s *settings.Settings) endpoints.PollPolicy {
	if s.Scheduler.PollsDiscovery {
		return endpoints.SharedPollPolicy(notifiedAfter, s.Scheduler.Rules.PollInterval, rand.Float64)
	}
	return endpoints.AgentPollPolicy(notifiedAfter, rand.Float64)
}

// newDiscovery returns a Discovery that follows no address yet.
func newDiscovery(o discoveryOptions) *Discovery {
	return &Discovery{
		log:        o.log,
		policy:     o.policy,
		decoder:    newListDecoder(o.settings, o.log),
		clock:      o.clock,
		dial:       o.dial,
		onUpdate:   o.onUpdate,
		view:       endpoints.NewNotifiedView(),
		startTimes: endpoints.NewStartTimes(),
	}
}

// startDiscovery applies the list of an earlier run and starts to follow an address.
func startDiscovery(addr string, saved []byte, o discoveryOptions) *Discovery {
	d := newDiscovery(o)
	if len(saved) > 0 {
		d.restore(saved)
	}
	d.SetAddress(addr)
	return d
}

// restore applies the list of an earlier run. One that cannot be read is no reason not to start.
func (d *Discovery) restore(saved []byte) {
	list, err := unmarshalList(saved)
	if err != nil {
		d.log.Warn("saved endpoint list rejected", "error", err.Error())
		return
	}
	d.apply(list, true)
	d.hasSavedList = true
}

// SaveState does nothing: the platform gives a node no disk that outlives it.
func (d *Discovery) SaveState(bool) {}

// SetAddress follows another address from now on. The watch of the previous address ends once the new one has responded.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.watch != nil && d.watch.addr == addr {
		return
	}
	previous := d.watch
	d.watch = newWatch(addr)
	p := newPoller(d, d.watch, previous)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		p.run()
	}()
}

// Close ends all watches and waits for their goroutines.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	current := d.watch
	d.mu.Unlock()
	current.end()
	d.wg.Wait()
}

// firstCallAt returns when the first call of a watch is made (s): at once where no list is known or where the watch
// replaces another.
func (d *Discovery) firstCallAt(previous *watch) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous != nil || !d.hasSavedList {
		return d.clock.Now()
	}
	return d.clock.Now() + d.policy.FirstCallSpread*rand.Float64()
}

// apply applies a list and hands on what it changes. It returns the version after which changes are wanted; ok is false
// where the complete list is.
func (d *Discovery) apply(list *listResponse, saved bool) (version int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	updates := d.decoder.updates(list)
	changes := d.view.Apply(d.clock.Now(), list.Version, list.Full, updates)
	if len(changes) > 0 {
		d.onUpdate(d.endpointList(changes, saved))
	}
	if !saved {
		d.lastResponse = d.clock.Now()
	}
	return d.view.Version()
}
