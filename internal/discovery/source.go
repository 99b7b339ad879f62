package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/protocol"
	"dillroute/internal/service"
	"dillroute/scheduler"
)

// answer is what a source gave, or why it gave nothing.
type answer struct {
	list  endpoints.List
	again bool // the source's index fell: it began anew
	err   error
}

// source asks for lists until it is stopped.
type source interface {
	// run sends answers until stop closes. It returns only then.
	run(answers chan<- answer, stop <-chan struct{})
}

// Follower follows a source and tells of each change of what is believed. Its believer belongs to its goroutine.
type Follower struct {
	cfg      *config.Config
	believer *endpoints.View
	clock    clock.Clock
	starts   *endpoints.StartTimes
	src      source
	parser   *Parser
	saved    string // file in which the believed list is kept; "" = none
	take     func(protocol.EndpointList)
	complain func(string)
	saves    chan save // the newest list that is still to be saved
	stop     chan struct{}
	done     chan struct{}
	kept     chan struct{} // closed when nothing is written any more
	broken   string
	heard    float64 // when the source last answered (s); 0 = it has not yet
	keeps    atomic.Bool
}

// FollowOptions say where lists come from and who is told.
type FollowOptions struct {
	Config    *config.Config
	SavedList string                      // file of the last believed list, read at the start; "" = none
	OnUpdate  func(protocol.EndpointList) // a new belief; called on the follower's goroutine
	OnProblem func(string)                // why something was not believed, once for each cause
	Clock     clock.Clock                 // of the node, in whose times lists are told; the zero clock = one of its own
	Random    func() float64              // chance for the spread of calls; nil = the system's
}

// Follow starts following. Where nothing was saved, a list file that cannot be read is an error; a list server that
// does not answer is waited for.
func Follow(o FollowOptions) (*Follower, error) {
	f := &Follower{cfg: o.Config, believer: endpoints.NewView(endpoints.DefaultOptions), starts: endpoints.NewStartTimes(), saved: o.SavedList, take: o.OnUpdate, complain: o.OnProblem,
		saves: make(chan save, 1), stop: make(chan struct{}), done: make(chan struct{}), kept: make(chan struct{})}
	f.keeps.Store(true)
	if o.Clock == (clock.Clock{}) {
		o.Clock = clock.New()
	}
	f.clock = o.Clock
	if o.Random == nil {
		o.Random = rand.Float64
	}
	parser := &Parser{Config: o.Config}
	f.parser = parser
	f.restore(parser)
	go f.keep()
	e := o.Config.Engines
	if e.Consul != "" {
		f.src = &consul{address: e.Consul, service: e.Service, wait: seconds(e.Wait), parser: parser, clock: o.Clock, asker: endpoints.NewPoller(o.Random)}
	} else {
		w := &file{path: e.File, poll: seconds(e.Poll), parser: parser}
		list, _, err := w.read()
		if err != nil && len(f.believer.Snapshot(0).Entries) == 0 {
			close(f.stop)
			return nil, err
		}
		f.src = w
		f.hear(answer{list: list, err: err})
	}
	go f.run()
	return f, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SaveState says whether a new belief is saved.
func (f *Follower) SaveState(on bool) { f.keeps.Store(on) }

// Close stops the follower. A list that is being written just then is waited for, but not for long: a disk may hang.
func (f *Follower) Close() {
	close(f.stop)
	<-f.done
	select {
	case <-f.kept:
	case <-time.After(closeFor):
	}
}

const closeFor = time.Second

func (f *Follower) run() {
	defer close(f.done)
	answers, ended := make(chan answer), make(chan struct{})
	go func() { defer close(ended); f.src.run(answers, f.stop) }()
	defer func() { <-ended }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := f.believer.Next(); ok {
			wait = max(0, seconds(at-f.clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-f.stop:
			return
		case a := <-answers:
			f.hear(a)
		case <-timer.C:
			now := f.clock.Now()
			if f.believer.Tick(now) {
				f.tell(now)
			}
		}
	}
}

// hear files an answer and tells of a change.
func (f *Follower) hear(a answer) {
	now := f.clock.Now()
	if a.err != nil {
		if text := a.err.Error(); text != f.broken {
			f.broken = text
			f.complain("engine list not taken, the last one stays: " + text)
		}
		return
	}
	f.broken = ""
	if a.again {
		f.believer.IndexReset()
	}
	if f.believer.Apply(now, a.list) {
		f.tell(now)
	}
	f.heard = now
	for _, n := range f.believer.Notes() {
		f.complain(n.Text)
	}
}

// tell hands the belief on, and saves it.
func (f *Follower) tell(now float64) {
	b := f.believer.Snapshot(now)
	l := protocol.EndpointList{Form: scheduler.UpdateComplete, Addresses: map[string]string{}, Saved: b.Saved}
	for _, e := range b.Entries {
		n := scheduler.Engine{ID: e.ID, Kind: e.Kind, Cell: e.Cell, Zone: e.Zone, Weight: e.Weight, BootTime: f.starts.LocalTime(e.ID, e.BootTime, now, f.clock.Wall(), f.heard)}
		if e.State == endpoints.Draining {
			n.State = scheduler.EngineDraining
		}
		l.Engines = append(l.Engines, n)
		l.Addresses[e.ID] = e.Address
	}
	f.starts.Retain(l.Addresses, now)
	f.take(l)
	if f.saved == "" || b.Saved {
		return
	}
	text, err := f.encode(b)
	if err != nil {
		f.complain("the engine list is not saved: " + err.Error())
		return
	}
	select {
	case <-f.saves: // an older one that was not written yet
	default:
	}
	x := save{text, make(chan struct{})}
	f.saves <- x
	select {
	case <-x.tried:
	case <-time.After(saveWait):
	}
}

// save is a list that is to be written.
type save struct {
	text  []byte
	tried chan struct{} // closed when it was written, or could not be at first
}

// saveWait is for how long the follower waits for a list to be written, so that it lasts as soon as it counts where the disk allows it.
const saveWait = 100 * time.Millisecond

// Pauses before a list that could not be saved is written again: doubled from the first to the longest.
const (
	savePause     = 250 * time.Millisecond
	longSavePause = 10 * time.Second
)

// keep writes the newest list, again and again where it cannot be written: a disk may be full for a while. It has a goroutine of its own,
// for a disk that hangs must not hold up what is heard of the engines.
func (f *Follower) keep() {
	defer close(f.kept)
	for {
		select {
		case x := <-f.saves:
			f.write(x)
		case <-f.stop:
			select {
			case x := <-f.saves:
				f.write(x)
			default:
			}
			return
		}
	}
}

// write writes a list, or a newer one, until it is written or the follower stops.
func (f *Follower) write(x save) {
	for pause := savePause; f.keeps.Load(); pause = min(2*pause, longSavePause) {
		err := ReplaceFile(f.saved, x.text)
		f.tried(x)
		if err == nil {
			return
		}
		if pause == savePause {
			f.complain("the engine list is not saved yet: " + err.Error())
		}
		select {
		case <-f.stop:
			return
		case x = <-f.saves:
		case <-time.After(pause):
		}
	}
	f.tried(x)
}

// tried tells who waits for a list that it was tried.
func (f *Follower) tried(x save) {
	select {
	case <-x.tried:
	default:
		close(x.tried)
	}
}

// restoreFor is for how long a saved list is tried that cannot be read for a reason which may pass.
const restoreFor = time.Second

// restore reads the list that an earlier run saved. One that cannot be read is no reason not to start.
func (f *Follower) restore(parser *Parser) {
	if f.saved == "" {
		return
	}
	removeHalfWritten(filepath.Dir(f.saved))
	var text []byte
	err := service.RetryTransient(restoreFor, func() (err error) {
		text, err = os.ReadFile(f.saved)
		return err
	})
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var entries []endpoints.Entry
	if err == nil {
		entries, err = parser.ParseFile(text)
	}
	if err != nil {
		f.complain(fmt.Sprintf("saved engine list not used: %s: %v", f.saved, err))
		return
	}
	now := f.clock.Now()
	f.believer.Restore(now, entries)
	f.tell(now)
}

// encode gives the belief the form of a list file.
func (f *Follower) encode(b endpoints.Snapshot) ([]byte, error) {
	out := File{Engines: []Entry{}}
	for _, e := range b.Entries {
		weight := e.Weight
		n := Entry{ID: e.ID, Address: e.Address, Kind: f.cfg.Kinds[e.Kind].Name, Cell: f.parser.name(e.Cell), Weight: &weight, BootTime: e.BootTime}
		if e.Zone < len(f.cfg.Zones) {
			n.Zone = f.cfg.Zones[e.Zone]
		}
		if e.State == endpoints.Draining {
			n.State = "draining"
		}
		out.Engines = append(out.Engines, n)
	}
	return json.Marshal(out)
}
