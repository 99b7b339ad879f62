package relay

import (
	"errors"
	"sync"
	"time"

	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
)

// listLimits bound the size of a response of discovery.
var listLimits = http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxListBytes}

// poller polls discovery for one watch until the watch ends. Its fields are used only by the goroutine of run.
//
// The current call waits for a change, or has just been made. If it has no response by nextCallAt, it counts as silent, and a
// new call on a new connection becomes the current one. Silent calls stay in flight. The node thus always has a waiting call:
// during an outage discovery sends nothing, and when it recovers it responds first to the calls that are waiting.
type poller struct {
	discovery   *Discovery
	watch       *watch
	previous    *watch // ended once this watch has a response; nil = none
	pool        *http1.Pool
	calls       sync.WaitGroup    // the goroutines of calls
	schedule    *endpoints.Poller // determines when the next call is made
	current     *call             // nil = no current call is in flight
	nextConn    *http1.ClientConn // connection of the next call; nil = a new one
	silentCalls int               // current calls that became silent since the last response
	nextCallAt  float64           // when the next call is due, or the current one counts as silent (s)
}

func newPoller(d *Discovery, w, previous *watch) *poller {
	return &poller{
		discovery: d,
		watch:     w,
		previous:  previous,
		pool:      &http1.Pool{Limits: listLimits, Connect: d.dial},
	}
}

// run polls until the watch ends.
func (p *poller) run() {
	defer p.close()
	p.schedule = p.discovery.policy.NewPoller()
	p.nextCallAt = p.discovery.firstCallAt(p.previous)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, seconds(p.nextCallAt-p.discovery.clock.Now())))
		select {
		case <-p.watch.stop:
			return
		case <-timer.C:
			p.startCall()
		case result := <-p.watch.results:
			p.handleResult(result)
		}
	}
}

// close ends the watch and waits for its calls, then closes their pool and ends the previous watch.
func (p *poller) close() {
	p.watch.end()
	p.calls.Wait()
	p.pool.Close()
	p.endPrevious()
}

func (p *poller) endPrevious() {
	if p.previous != nil {
		p.previous.end()
		p.previous = nil
	}
}

// startCall makes a new current call. If there is one already, it has become silent.
func (p *poller) startCall() {
	d := p.discovery
	if p.current != nil {
		p.silentCalls++
		d.log.Info("endpoint watch expired", "address", p.watch.addr, "silent_calls", p.silentCalls)
	}
	p.current, p.nextCallAt = p.watch.newCall(d.clock.Now(), p.nextConn, d.policy.WatchTimeouts, p.silentCalls)
	p.nextConn = nil
	started := p.current
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		d.call(p.watch, p.pool, started)
	}()
}

// handleResult handles the result of a call. An abandoned call may still get a response; the changes in it count as
// notified, so it is handled like any other.
func (p *poller) handleResult(result callResult) {
	p.watch.removeCall(result.call)
	if result.err != nil {
		p.handleFailure(result)
		return
	}
	p.handleResponse(result)
}

// handleFailure schedules another call if the current one has failed.
func (p *poller) handleFailure(result callResult) {
	p.watch.closeConn(result.conn)
	if result.call != p.current {
		return
	}
	p.discovery.log.Info("endpoint poll failed", "address", p.watch.addr, "error", result.err.Error())
	p.current = nil
	now := p.discovery.clock.Now()
	if errors.Is(result.err, errRejected) {
		p.nextCallAt = p.schedule.AfterRejection(now)
	} else {
		p.nextCallAt = p.schedule.AfterCall(now, false)
	}
}

// handleResponse applies a list and schedules the next call on the same connection.
func (p *poller) handleResponse(result callResult) {
	p.endPrevious()
	w := p.watch
	isCurrent := result.call == p.current
	if isCurrent || !w.incremental || result.response.Version >= w.version { // otherwise a newer response was applied
		w.version, w.incremental = p.discovery.apply(result.response, false)
	}
	if !isCurrent && p.silentCalls == 0 {
		w.closeConn(result.conn) // the current call is not late: one connection is enough
		return
	}
	p.current = nil
	p.nextConn = result.conn
	p.silentCalls = 0
	now := p.discovery.clock.Now()
	p.nextCallAt = p.schedule.AfterResponse(now, now-result.responseBy)
}
