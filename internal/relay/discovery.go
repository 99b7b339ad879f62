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

// notifiedAfter is the time in seconds from a change of the list until the change counts as notified, even if all calls to
// discovery failed (a condition of the users' standing test).
const notifiedAfter = 6

// Discovery follows the engine list of the platform's discovery service.
//
// It polls one address at a time, with a separate watch for each address (see poller), and passes changes of the list to
// onUpdate. It is safe for concurrent use.
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
	hasSavedList bool    // the list of an earlier run was applied at start
	lastResponse float64 // time of discovery's last response (s); 0 = none yet
	watch        *watch  // the watch of the current address
	closed       bool
}

// discoveryOptions are the settings and dependencies of a Discovery.
type discoveryOptions struct {
	settings *settings.Settings
	policy   endpoints.PollPolicy
	clock    clock.Clock    // the node's clock, to which start times are converted
	dial     http1.DialFunc // makes connections; nil = on the network
	onUpdate func(protocol.EndpointList)
	log      *slog.Logger
}

// Follow starts to follow discovery at an address. saved is the list of an earlier run and may be empty. clk is the node's
// clock, to which start times are converted; dial makes connections (nil = on the network). onUpdate is called with each
// change of the list, one call at a time.
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

// pollPolicyOf returns the poll policy for the kind of discovery in the settings.
func pollPolicyOf(s *settings.Settings) endpoints.PollPolicy {
	if s.Scheduler.PollsDiscovery {
		return endpoints.SharedPollPolicy(notifiedAfter, s.Scheduler.Rules.PollInterval, rand.Float64)
	}
	return endpoints.AgentPollPolicy(notifiedAfter, rand.Float64)
}

// newDiscovery returns a Discovery that does not yet follow an address.
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

// restore applies the list of an earlier run. A list that cannot be read is ignored, so that the node still starts.
func (d *Discovery) restore(saved []byte) {
	list, err := unmarshalList(saved)
	if err != nil {
		d.log.Warn("saved endpoint list rejected", "error", err.Error())
		return
	}
	d.apply(list, true)
	d.hasSavedList = true
}

// SaveState does nothing: on this platform a node has no disk that outlives it.
func (d *Discovery) SaveState(bool) {}

// SetAddress follows another address from now on. The watch of the previous address ends once the new address has responded.
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

// firstCallAt returns the time of a watch's first call (s). The call is immediate if no list is known or if the watch
// replaces another one.
func (d *Discovery) firstCallAt(previous *watch) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous != nil || !d.hasSavedList {
		return d.clock.Now()
	}
	return d.clock.Now() + d.policy.FirstCallSpread*rand.Float64()
}

// apply applies a list and passes its changes to onUpdate. It returns the version after which the next call requests
// changes; incremental is false if that call must request the complete list.
func (d *Discovery) apply(list *listResponse, saved bool) (version int64, incremental bool) {
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
