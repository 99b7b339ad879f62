package discovery

import (
	"math/rand/v2"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// closeTimeout limits how long Close waits for a list that is being saved: a disk may hang.
const closeTimeout = time.Second

// idleWait is the duration of the timer while no change of the view is scheduled.
const idleWait = time.Hour

// FollowOptions are the sources and the callbacks of a Follower.
type FollowOptions struct {
	Config    *config.Config
	SavedList string                      // file to which the list in use is saved and from which it is restored at the start; "" = none
	OnUpdate  func(protocol.EndpointList) // called with each new list, by Follow itself or on the follower's goroutine
	OnProblem func(string)                // called, by any goroutine, with the reason why a list is not used as received or not saved
	Clock     clock.Clock                 // the node's clock, for the start times of engines; the zero clock = a new one
	Random    func() float64              // returns numbers in [0, 1) that spread calls over time; nil = rand.Float64
}

// Follower follows a source of lists and publishes each change of the endpoint view. Only the goroutine of run uses the view once Follow
// has returned.
type Follower struct {
	options      FollowOptions
	view         *endpoints.View
	startTimes   *endpoints.StartTimes
	parser       *Parser
	source       source
	saver        *listSaver // nil = lists are not saved
	stop         chan struct{}
	done         chan struct{}
	lastProblem  string  // the source's last error, which is reported once; "" = its last response was valid
	lastResponse float64 // time of the last valid response of the source (s); 0 = none yet
}

// Follow starts to follow the configured source. If no saved list was restored, a list file that cannot be read is an error.
// Follow does not wait for a list server, which is polled until it responds.
func Follow(o FollowOptions) (*Follower, error) {
	if o.Clock == (clock.Clock{}) {
		o.Clock = clock.New()
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	f := &Follower{
		options:    o,
		view:       endpoints.NewView(endpoints.DefaultOptions),
		startTimes: endpoints.NewStartTimes(),
		parser:     &Parser{Config: o.Config},
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	f.restore()
	if o.SavedList != "" {
		f.saver = newListSaver(o.SavedList, f.stop, o.OnProblem)
	}
	if err := f.openSource(); err != nil {
		close(f.stop)
		return nil, err
	}
	go f.run()
	return f, nil
}

// openSource opens the configured source. It applies the content of a list file immediately. If no saved list was restored, a file
// that cannot be read is an error.
func (f *Follower) openSource() error {
	o := f.options
	engines := o.Config.Engines
	if engines.Consul != "" {
		f.source = &consulSource{
			address: engines.Consul,
			service: engines.Service,
			wait:    seconds(engines.MaxWait),
			parser:  f.parser,
			clock:   o.Clock,
			poller:  endpoints.NewPoller(o.Random),
		}
		return nil
	}
	file := &fileSource{path: engines.File, interval: seconds(engines.PollInterval), parser: f.parser}
	list, _, err := file.read()
	if err != nil && len(f.view.Snapshot(0).Endpoints) == 0 {
		return err
	}
	f.source = file
	f.handle(response{list: list, err: err})
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SaveState sets whether new lists are saved.
func (f *Follower) SaveState(on bool) {
	if f.saver != nil {
		f.saver.enabled.Store(on)
	}
}

// Close stops the follower. It waits up to closeTimeout for a list that is being saved.
func (f *Follower) Close() {
	close(f.stop)
	<-f.done
	if f.saver == nil {
		return
	}
	select {
	case <-f.saver.done:
	case <-time.After(closeTimeout):
	}
}

// run starts the source's goroutine and applies responses and timed changes to the view until the follower stops. It returns after
// the source's goroutine has ended.
func (f *Follower) run() {
	defer close(f.done)
	responses := make(chan response)
	sourceEnded := make(chan struct{})
	go func() {
		defer close(sourceEnded)
		f.source.run(responses, f.stop)
	}()
	defer func() { <-sourceEnded }()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		wait := idleWait
		if at, ok := f.view.Next(); ok {
			wait = max(0, seconds(at-f.options.Clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-f.stop:
			return
		case r := <-responses:
			f.handle(r)
		case <-timer.C:
			now := f.options.Clock.Now()
			if f.view.Tick(now) {
				f.publish(now)
			}
		}
	}
}

// handle applies a response to the view and publishes the new list if the view changed.
func (f *Follower) handle(r response) {
	now := f.options.Clock.Now()
	if r.err != nil {
		if text := r.err.Error(); text != f.lastProblem {
			f.lastProblem = text
			f.options.OnProblem("endpoint list rejected; keeping the previous one: " + text)
		}
		return
	}
	f.lastProblem = ""
	if r.indexReset {
		f.view.IndexReset()
	}
	if f.view.Apply(now, r.list) {
		f.publish(now)
	}
	f.lastResponse = now
	for _, note := range f.view.Notes() {
		f.options.OnProblem(note.Text)
	}
}

// publish passes the view's list to OnUpdate. It then saves the list, unless the view still consists of the list that was restored,
// because the source has not responded yet.
func (f *Follower) publish(now float64) {
	snapshot := f.view.Snapshot(now)
	f.options.OnUpdate(f.endpointList(now, snapshot))
	if f.saver == nil || snapshot.Saved {
		return
	}
	text, err := f.parser.encode(snapshot.Endpoints)
	if err != nil {
		f.options.OnProblem("endpoint list not saved: " + err.Error())
		return
	}
	f.saver.save(text)
}

// endpointList converts a snapshot to the host's form, and removes the start times of engines that are not in it.
func (f *Follower) endpointList(now float64, snapshot endpoints.Snapshot) protocol.EndpointList {
	list := protocol.EndpointList{Form: scheduler.UpdateComplete, Addresses: map[string]string{}, Saved: snapshot.Saved}
	for _, endpoint := range snapshot.Endpoints {
		bootTime := f.startTimes.LocalTime(endpoint.ID, endpoint.BootTime, now, f.options.Clock.Wall(), f.lastResponse)
		list.Engines = append(list.Engines, protocol.EngineOf(endpoint, bootTime))
		list.Addresses[endpoint.ID] = endpoint.Address
	}
	f.startTimes.Retain(list.Addresses, now)
	return list
}
