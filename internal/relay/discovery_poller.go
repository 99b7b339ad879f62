package relay

import (
	"errors"
	"sync"
	"time"

	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
)

// listLimits bound a response of discovery.
var listLimits = http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxListBytes}

// poller polls discovery for one watch until the watch ends. Its fields belong to its goroutine.
//
// One call leads: it waits for a change, or has just been made. When it counts as silent, another call leads on a new
// connection, and those before it stay in flight: while discovery is down it sends nothing, and when it recovers it responds
// first to the calls that wait. So a node always has a call in flight.
type poller struct {
	discovery   *Discovery
	watch       *watch
	previous    *watch // ended once this watch has a response; nil = none
	pool        *http1.Pool
	calls       sync.WaitGroup    // the goroutines of calls
	schedule    *endpoints.Poller // decides when to call again
	leading     *call             // nil = none is in flight that leads
	nextConn    *http1.ClientConn // on which the next call is made; nil = a new one
	silentCalls int               // leading calls without a response since the last one
	wakeAt      float64           // when a call is due, or the leading one counts as silent (s)
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
	p.wakeAt = p.discovery.firstCallAt(p.previous)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, seconds(p.wakeAt-p.discovery.clock.Now())))
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

// close ends the watch, and the previous one with it, once no call uses the pool.
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

// startCall makes a call that leads from now on. A call that led until now is silent.
func (p *poller) startCall() {
	d := p.discovery
	if p.leading != nil {
		p.silentCalls++
		d.log.Info("endpoint watch expired", "address", p.watch.addr, "silent_calls", p.silentCalls)
	}
	p.leading, p.wakeAt = p.watch.newCall(d.clock.Now(), p.nextConn, d.policy.WatchTimeouts, p.silentCalls)
	p.nextConn = nil
	started := p.leading
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		d.call(p.watch, p.pool, started)
	}()
}

// handleResult handles the outcome of a call. One that was abandoned may have a response all the same: it counts as
// notified.
func (p *poller) handleResult(result callResult) {
	p.watch.removeCall(result.call)
	if result.err != nil {
		p.handleFailure(result)
		return
	}
	p.handleResponse(result)
}

// handleFailure schedules a further call where the leading one has failed.
func (p *poller) handleFailure(result callResult) {
	p.watch.closeConn(result.conn)
	if result.call != p.leading {
		return
	}
	p.discovery.log.Info("endpoint poll failed", "address", p.watch.addr, "error", result.err.Error())
	p.leading = nil
	now := p.discovery.clock.Now()
	if errors.Is(result.err, errRejected) {
		p.wakeAt = p.schedule.AfterRejection(now)
	} else {
		p.wakeAt = p.schedule.AfterCall(now, false)
	}
}

// handleResponse applies a list and schedules the next call on the same connection.
func (p *poller) handleResponse(result callResult) {
	p.endPrevious()
	w := p.watch
	leads := result.call == p.leading
	if leads || !w.incremental || result.response.Version >= w.version { // else the leading call has brought more
		w.version, w.incremental = p.discovery.apply(result.response, false)
	}
	if !leads && p.silentCalls == 0 {
		w.closeConn(result.conn) // the leading call is answered in time: one connection is enough
		return
	}
	p.leading = nil
	p.nextConn = result.conn
	p.silentCalls = 0
	now := p.discovery.clock.Now()
	p.wakeAt = p.schedule.AfterResponse(now, now-result.responseBy)
}
