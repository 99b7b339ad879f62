//go:build review2

package main

import (
	"bufio"
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
	pipelineClients  = 4
	pipelineRequests = 12               // that a client sends at once
	pipelineBody     = 200 << 10        // bytes of a body; a body holds at most 256 KiB
	pipelineBudget   = 2 * time.Second  // X-Budget, half of the class's deadline
	pipelineHang     = 10 * time.Second // the readers hang for so long
)

// pipelineCase: requests that a client sends at once get their final answers in time, also while engines hang.
func pipelineCase(w *world) {
	w.startEngines("read", "read", "write", "write")
	w.discovery = w.platform.StartDiscovery(w.engines...)
	w.startNode(platform.SettingsJSON, 96, 256)
	w.send("warm", "chat", pipelineBudget, time.Second)
	if trouble() {
		w.note("the readers hang")
		for _, e := range w.engines[:2] {
			e.SetHung(true)
		}
		time.AfterFunc(pipelineHang, func() {
			for _, e := range w.engines[:2] {
				e.SetHung(false)
			}
		})
	}
	var clients sync.WaitGroup
	for k := range pipelineClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.sendAtOnce(fmt.Sprintf("p%d", k))
		}()
	}
	clients.Wait()
}

// sendAtOnce sends all requests of a client without waiting for an answer, and reads the answers in order.
func (w *world) sendAtOnce(name string) {
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		cannotRun(err)
	}
	defer conn.Close()
	var sent [pipelineRequests]time.Time
	var mu sync.Mutex
	go func() {
		for i := range pipelineRequests {
			r := platform.Request{Operation: fmt.Sprintf("%s.%d", name, i), Class: "chat", Tenant: "branch", Session: name, ResponseTokens: 5,
				Timeout: pipelineBudget, ID: fmt.Sprintf("%016x", calls.Add(1))}
			w.platform.RegisterCall(r.ID, platform.Operation{Name: r.Operation, Class: r.Class, ResponseTokens: r.ResponseTokens})
			r.Operation = strings.Repeat("x", pipelineBody)
			text := r.Encode()
			if _, err := io.WriteString(conn, text); err != nil {
				w.note("%s.%d: not sent: %v", name, i, err)
				return
			}
			mu.Lock()
			sent[i] = time.Now()
			mu.Unlock()
			w.note("%s.%d is sent", name, i)
		}
	}()
	conn.SetReadDeadline(time.Now().Add(40 * time.Second))
	reader := bufio.NewReader(conn)
	for i := range pipelineRequests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.note("%s.%d: the connection ended: %v", name, i, err)
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		mu.Lock()
		after := time.Since(sent[i])
		mu.Unlock()
		w.note("%s.%d: status %d (%v) %.3f s after it was sent", name, i, response.StatusCode, err, after.Seconds())
		if after > pipelineBudget+lostAfter {
			w.breach("%s.%d is lost: its time was %.3f s, its final answer %d came after %.3f s", name, i, pipelineBudget.Seconds(),
				response.StatusCode, after.Seconds())
		}
	}
}
