//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

const (
	reloadRefused   = 2                       // calls that the new discovery refuses (503) before it answers at once
	reloadOverlap   = 1500 * time.Millisecond // after SIGHUP the old address closes the open connections
	reloadDrainAt   = 2 * time.Second         // after SIGHUP an engine begins to drain
	reloadToldAt    = 4 * time.Second         // after SIGHUP whatever discovery has to tell counts as told
	reloadGrace     = 300 * time.Millisecond  // drain_grace_s of the settings, and the 50 ms of sockets
	reloadWatchTime = 9 * time.Second         // after SIGHUP the clients end
	reloadClients   = 12
)

// address is one address at which discovery answers.
type address struct {
	listener net.Listener
	server   *http.Server
}

// listen makes discovery answer at one more address, where the first calls are refused.
func (w *world) listen(name string, refused int64) *address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	var left atomic.Int64
	left.Store(refused)
	list := w.discovery.HTTPServer().Handler
	handler := func(out http.ResponseWriter, r *http.Request) {
		if left.Add(-1) >= 0 {
			w.note("%s discovery refuses %s with 503", name, r.URL)
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.note("%s discovery is asked %s", name, r.URL)
		list.ServeHTTP(out, r)
	}
	a := &address{listener: l, server: &http.Server{Handler: http.HandlerFunc(handler)}}
	go a.server.Serve(l)
	return a
}

// reloadCase: after a new configuration nothing new may reach an engine that drains, although the new discovery refuses two calls.
func reloadCase(w *world) {
	w.startEngines("read", "read", "write", "write")
	w.discovery = w.platform.StartDiscovery(w.engines...)
	settings := strings.Replace(platform.SettingsJSON, `"registry_mode":"pushed"`, `"registry_mode":"on_request"`, 1)
	older := w.listen("old", 0)
	defer older.server.Close()
	w.startNodeAt(settings, 96, 256, older.listener.Addr().String())
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for k := range reloadClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.askAgain(k, stop)
		}()
	}
	time.Sleep(5 * time.Second) // the node has had its list: its first call comes within 3.9 s
	refused := int64(0)
	if trouble() {
		refused = reloadRefused
	}
	newer := w.listen("new", refused)
	defer newer.server.Close()
	older.listener.Close()
	w.writeConfig(newer.listener.Addr().String())
	hangup := record.Now()
	w.command.Process.Signal(syscall.SIGHUP)
	w.note("SIGHUP: discovery moves")
	time.AfterFunc(reloadOverlap, func() { older.server.Close() })
	time.Sleep(reloadDrainAt)
	w.discovery.SetState("read-0", "draining")
	w.note("read-0 drains")
	time.Sleep(reloadWatchTime - reloadDrainAt)
	close(stop)
	clients.Wait()
	for _, r := range w.platform.Log.All() {
		if r.Kind != record.AttemptArrived || r.Engine != "read-0" || r.T < hangup+reloadDrainAt.Seconds() {
			continue
		}
		after := r.T - hangup
		w.note("read-0 got %s %.3f s after SIGHUP", r.Op, after)
		if after > (reloadToldAt + reloadGrace).Seconds() {
			w.breach("read-0 got %s %.3f s after SIGHUP; it drains since %.3f s, which counts as told at %.3f s", r.Op, after,
				reloadDrainAt.Seconds(), reloadToldAt.Seconds())
		}
	}
}

// askAgain sends one request after another, each on a new connection.
func (w *world) askAgain(k int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		w.send(fmt.Sprintf("c%d-%d", k, i), "chat", 2*time.Second, time.Second)
	}
}
