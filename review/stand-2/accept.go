//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"dillroute/lab/platform"
)

const (
	acceptClients  = 60                      // usual clients, each with a connection of its own
	acceptInterval = 100 * time.Millisecond  // between two of them
	acceptBudget   = 2000 * time.Millisecond // X-Budget: half of the class's deadline of 4 s
	acceptBad      = 500                     // bad clients that stop in the middle of a request and stay
	acceptSockets  = 256                     // the node's limit of descriptors
	// A final answer up to half a second after the client's time only earns nothing; on sockets every time limit is 50 ms longer.
	lostAfter = 550 * time.Millisecond
)

// acceptCase: while bad clients stop in the middle of a request, each usual client's request has to get its final answer in time.
func acceptCase(w *world) {
	w.startEngines("read", "read", "write", "write", "both")
	w.discovery = w.platform.StartDiscovery(w.engines...)
	w.startNode(platform.SettingsJSON, 96, acceptSockets)
	var all sync.WaitGroup
	for i := range acceptClients {
		all.Add(1)
		go func() {
			defer all.Done()
			w.usualClient(i)
		}()
		if i == acceptClients/6 && trouble() {
			w.note("%d bad clients connect", acceptBad)
			for k := range acceptBad {
				all.Add(1)
				go func() {
					defer all.Done()
					w.halfRequest(k)
				}()
			}
		}
		time.Sleep(acceptInterval)
	}
	all.Wait()
}

// usualClient sends one request on a new connection. A connection that the node closes without having sent anything on it is no breach.
func (w *world) usualClient(i int) {
	a := w.send(fmt.Sprintf("u%d", i), "chat", acceptBudget, 20*time.Second)
	w.note("u%d: %v", i, a)
	if !a.closed && (a.status == 0 || a.after > acceptBudget+lostAfter) {
		w.breach("u%d is lost: its time was %.3f s, %v", i, acceptBudget.Seconds(), a)
	}
	for _, b := range w.platform.Budgets(fmt.Sprintf("u%d", i)) {
		left := acceptBudget.Seconds() - (b.ReceivedAt - a.sentAt)
		w.note("u%d: an engine got it with X-Budget %.3f when the client had %.3f s left", i, b.RemainingSeconds, left)
	}
}

// halfRequest sends a part of a request's head and stays until the node closes the connection.
func (w *world) halfRequest(k int) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", w.address, 5*time.Second)
	if err != nil {
		w.note("bad %d: not connected: %v", k, err)
		return
	}
	defer conn.Close()
	io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Class: chat\r\n")
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, err := io.Copy(io.Discard, conn)
	w.note("bad %d: connected, %d bytes and then closed (%v) after %.3f s", k, n, err, time.Since(start).Seconds())
}
