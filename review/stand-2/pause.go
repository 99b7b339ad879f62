//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dillroute/lab/platform"
)

const (
	pauseClients = 8
	pauseTime    = 4750 * time.Millisecond // an engine stands still in mid-stream; the page allows a client to wait for 5 s
	pauseTokens  = 20
)

// pauseBox is an engine that stands still in the middle of each stream.
type pauseBox struct {
	w     *world
	role  string
	mu    *sync.Mutex
	whole map[string]bool // by call: its stream was written to its end
}

// ServeHTTP answers a release call or an attempt.
func (b *pauseBox) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/holds/") {
		out.WriteHeader(http.StatusNoContent)
		return
	}
	io.Copy(io.Discard, r.Body)
	call := r.Header.Get("X-Call-Id")
	if b.role == "read" {
		out.WriteHeader(http.StatusAccepted)
		io.WriteString(out, `{"cached_tokens":0}`)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for i := range pauseTokens {
		if i == pauseTokens/2 && trouble() {
			select {
			case <-time.After(pauseTime):
			case <-r.Context().Done():
				b.w.note("%s: the node has closed the connection while the engine stood still", call)
				return
			}
		}
		fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s.%d \"},\"finish_reason\":null}]}\n\n", call, i)
		out.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	io.WriteString(out, "data: [DONE]\n\n")
	b.w.note("%s: the engine has written its stream to the end", call)
	b.mu.Lock()
	b.whole[call] = true
	b.mu.Unlock()
}

// pauseCase: where clients do not ask for the rest, a stream whose events still come within the time of the page is not cut off.
func pauseCase(w *world) {
	w.discovery = w.platform.StartDiscovery()
	var mu sync.Mutex
	whole := map[string]bool{}
	for i, role := range []string{"read", "read", "write", "write"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun(err)
		}
		go http.Serve(l, &pauseBox{w: w, role: role, mu: &mu, whole: whole})
		w.discovery.Update(fmt.Sprintf("%s-%d", role, i), func(e *platform.Endpoint) {
			e.Address, e.Zone, e.Kind, e.State, e.Weight = l.Addr().String(), "z", role, "up", 1
		})
	}
	w.startNode(strings.Replace(platform.SettingsJSON, `"resume":true`, `"resume":false`, 1), 96, 256)
	var clients sync.WaitGroup
	for k := range pauseClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := w.send(fmt.Sprintf("s%d", k), []string{"chat", "commit"}[k%2], 2*time.Second, 2*time.Second)
			w.note("s%d (%s): %v, %d events", k, a.id, a, strings.Count(a.text, " "))
			if a.status == 200 && !a.whole {
				w.breach("s%d (%s) was cut off after %d of %d events; its engine went on %.2f s after the last one", k, a.id,
					strings.Count(a.text, " "), pauseTokens, pauseTime.Seconds())
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
}
