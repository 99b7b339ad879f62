//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

const (
	goneClients  = 10
	goneRequests = 200                    // requests that a client has to send at once; its machine takes a part of them
	goneBody     = 250 << 10              // bytes of a body; a body holds at most 256 KiB
	goneSending  = 200 * time.Millisecond // a client goes when it can send no more, or after this time
	goneRead     = 500 * time.Millisecond // a reader reads a prompt
	// An attempt that begins more than 0.1 s after the close is a break; on sockets every time limit is 50 ms longer.
	goneBound = 150 * time.Millisecond
)

// goneCase: nothing may be begun for a client that has closed its connection, also if it has sent much before.
func goneCase(w *world) {
	w.startEngines("read", "read", "write", "write")
	for _, e := range w.engines {
		e.PrefillTime = goneRead
	}
	w.discovery = w.platform.StartDiscovery(w.engines...)
	w.startNode(platform.SettingsJSON, 96, 256)
	closedAt := map[string]float64{}
	for k := range goneClients {
		name := fmt.Sprintf("gone%d", k)
		closedAt[name] = w.sendMuchAndGo(name)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, r := range w.platform.Log.All() {
		client, _, _ := strings.Cut(r.Op, ".")
		if closedAt[client] == 0 || r.Kind != record.AttemptArrived && r.Kind != record.EffectStarted {
			continue
		}
		after := r.T - closedAt[client]
		w.note("%s: %v at %s (%s) %.3f s after its client closed its connection", r.Op, r.Kind, r.Engine, r.Note, after)
		if r.Kind == record.AttemptArrived && after > goneBound.Seconds() {
			w.breach("%s was sent to %s (%s) %.3f s after its client had closed its connection", r.Op, r.Engine, r.Note, after)
		}
	}
}

// sendMuchAndGo sends requests of a class that must not run twice, without waiting for an answer, and closes the connection. It returns
// when it closed it. Without the disruption it sends one request and goes after the same time.
func (w *world) sendMuchAndGo(name string) float64 {
	requests := 1
	if trouble() {
		requests = goneRequests
	}
	var text strings.Builder
	for i := range requests {
		r := platform.Request{Operation: fmt.Sprintf("%s.%d", name, i), Class: "commit", Tenant: "branch", Session: name, ResponseTokens: 20,
			Timeout: 4 * time.Second, ID: fmt.Sprintf("%016x", calls.Add(1))}
		w.platform.RegisterCall(r.ID, platform.Operation{Name: r.Operation, Class: r.Class, ResponseTokens: r.ResponseTokens})
		if i > 0 {
			r.Operation = strings.Repeat("x", goneBody) // the prompt
		}
		text.WriteString(r.Encode())
	}
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		cannotRun(err)
	}
	conn.SetWriteDeadline(time.Now().Add(goneSending))
	n, _ := io.WriteString(conn, text.String())
	if !trouble() {
		time.Sleep(goneSending) // as long as the client that sends much
	}
	conn.Close()
	at := record.Now()
	w.note("%s sent %d bytes and closed its connection", name, n)
	return at
}
