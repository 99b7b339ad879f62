package relay

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
)

// minHold is the hold time of a call that does not wait for a change, in seconds: the shortest that a call for changes can request.
const minHold = 1e-3

// watch is the state of following one address. Each watch requests changes after its own version, because another address may count
// versions from the start. mu guards conns, ended and the calls' connections; the poller's goroutine alone changes the other fields.
type watch struct {
	addr        string
	ctx         context.Context // ends with the watch
	cancel      context.CancelFunc
	stop        chan struct{} // closed when the watch ends
	results     chan callResult
	inFlight    []*call // in order of their start
	version     int64   // version after which changes are requested
	incremental bool    // a complete list was applied; from then on changes suffice

	mu    sync.Mutex
	conns map[*http1.ClientConn]bool // open connections, which end closes
	ended bool
}

// call is one call to discovery.
type call struct {
	target     string
	responseBy float64           // latest time of its response if discovery is not congested (s)
	conn       *http1.ClientConn // guarded by the watch's lock; nil = none yet
}

type callResult struct {
	*call
	conn     *http1.ClientConn // connection of the call; nil = connecting failed
	response *listResponse
	err      error
}

func newWatch(addr string) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	return &watch{
		addr:    addr,
		ctx:     ctx,
		cancel:  cancel,
		stop:    make(chan struct{}),
		results: make(chan callResult),
		conns:   map[*http1.ClientConn]bool{},
	}
}

// end ends the watch, cancels dials and closes all connections. It may be called more than once.
func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	close(w.stop)
	w.cancel()
	for conn := range w.conns {
		conn.Close()
	}
}

// addConn records the connection of a call, so that end closes it. It returns false if the watch has ended.
func (w *watch) addConn(c *call, conn *http1.ClientConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.conn = conn
	w.conns[conn] = true
	return !w.ended
}

// closeConn closes and removes a connection; nil = none.
func (w *watch) closeConn(conn *http1.ClientConn) {
	if conn == nil {
		return
	}
	conn.Close()
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

// newCall records a new call and returns it and the time at which it counts as silent (s). If changes suffice, the call requests
// only these, because the response is smaller. Such a call waits for a change if it uses a connection that has just responded.
// The first call on a new connection (conn is nil) and a call for the complete list do not wait.
func (w *watch) newCall(now float64, conn *http1.ClientConn, timeouts endpoints.WatchTimeouts, silentCalls int) (*call, float64) {
	c := &call{conn: conn, target: pathList, responseBy: now}
	deadline := timeouts.CallDeadline(now, silentCalls)
	if w.incremental {
		hold := minHold
		if conn != nil {
			hold = timeouts.Hold
			deadline = timeouts.WatchDeadline(now)
			c.responseBy = now + timeouts.Hold
		}
		c.target = changesTarget(w.version, hold)
	}
	w.inFlight = append(w.inFlight, c)
	if len(w.inFlight) > timeouts.MaxCalls {
		w.abandonOldest()
	}
	return c, deadline
}

// changesTarget returns the target of a call that waits up to hold seconds for changes after a version.
func changesTarget(version int64, hold float64) string {
	return pathList + "?from=" + strconv.FormatInt(version, 10) + "&hold_ms=" + strconv.FormatInt(seconds(hold).Milliseconds(), 10)
}

// abandonOldest removes the oldest call in flight and closes its connection, if it has one.
func (w *watch) abandonOldest() {
	w.mu.Lock()
	conn := w.inFlight[0].conn
	w.mu.Unlock()
	w.closeConn(conn)
	w.inFlight = w.inFlight[1:]
}

// removeCall removes a call that has ended.
func (w *watch) removeCall(ended *call) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(c *call) bool { return c == ended })
}
