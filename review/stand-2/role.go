//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	roleClients    = 6
	rolePause      = 120 * time.Millisecond  // between two requests of a client
	roleBudget     = 4 * time.Second         // X-Budget, the deadline of the class
	roleRead       = 60 * time.Millisecond   // a reader reads the 1,000 tokens of a prompt that it has not kept
	roleLocalRead  = 1000 * time.Millisecond // a writer reads 6,000 tokens itself, 6,000 a second
	roleListLag    = 2 * time.Second         // the list tells of a change of role so much later
	roleWarmUp     = 3 * time.Second
	roleFlips      = 3               // changes of role, from reading to writing and back
	roleWriteTime  = 4 * time.Second // a box that has changed writes for so long
	roleTokens     = 10
	roleTokenPause = 10 * time.Millisecond
)

// box is an engine that can change its role in service. Its process and its connections stay as they are.
type box struct {
	fleet *boxFleet
	id    string
	addr  string

	mu   sync.Mutex
	role string // read or write: what it does
}

// boxFleet is what the boxes share: the states that readers hold, the list, and the record of what ran.
type boxFleet struct {
	w *world

	mu      sync.Mutex
	holder  map[string]string   // by call: the reader that holds its state
	ran     map[string][]string // by call: the boxes at which it was begun as a writer's work
	class   map[string]string   // by call
	boxes   []*box
	listed  map[string]string // by box: the role that the list tells
	changed map[string]int    // by box: version of its latest change
	version int
	update  chan struct{}
}

func (f *boxFleet) add(id, role string) *box {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	b := &box{fleet: f, id: id, addr: l.Addr().String(), role: role}
	f.boxes = append(f.boxes, b)
	f.listed[id] = role
	go http.Serve(l, b)
	return b
}

// ServeHTTP answers a release call or an attempt.
func (b *box) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	f := b.fleet
	if call, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok {
		f.mu.Lock()
		delete(f.holder, call)
		f.mu.Unlock()
		out.WriteHeader(http.StatusNoContent)
		return
	}
	io.Copy(io.Discard, r.Body)
	call := r.Header.Get("X-Call-Id")
	b.mu.Lock()
	role := b.role
	b.mu.Unlock()
	if role == "read" {
		f.w.note("%s (%s) reads at %s", call, f.classOf(call), b.id)
		time.Sleep(roleRead)
		f.mu.Lock()
		f.holder[call] = b.id
		f.mu.Unlock()
		out.WriteHeader(http.StatusAccepted)
		io.WriteString(out, `{"cached_tokens":5000}`)
		return
	}
	b.write(out, r, call)
}

// write runs a request as a writer does: with its state, or reading the prompt itself. Running work goes on after a cancel.
func (b *box) write(out http.ResponseWriter, r *http.Request, call string) {
	f := b.fleet
	f.mu.Lock()
	holder := f.holder[call]
	delete(f.holder, call)
	f.ran[call] = append(f.ran[call], b.id)
	f.mu.Unlock()
	if holder == "" {
		f.w.note("%s (%s) is begun at %s, a writer, without a state: it reads the prompt itself", call, f.classOf(call), b.id)
		time.Sleep(roleLocalRead)
	} else {
		f.w.note("%s (%s) is begun at %s, a writer, with the state of %s", call, f.classOf(call), b.id, holder)
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for i := range roleTokens {
		fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s.%d \"},\"finish_reason\":null}]}\n\n", call, i)
		out.(http.Flusher).Flush()
		time.Sleep(roleTokenPause)
	}
	io.WriteString(out, "data: [DONE]\n\n")
	f.w.note("%s (%s) has run to its end at %s, its caller gone: %v", call, f.classOf(call), b.id, r.Context().Err() != nil)
}

func (f *boxFleet) classOf(call string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.class[call]
}

// list returns the list, or the changes after a version, in discovery's form.
func (f *boxFleet) list(after int) []byte {
	servers := []any{}
	for i, b := range f.boxes {
		if f.changed[b.id] > after {
			servers = append(servers, map[string]any{"id": b.id, "addr": b.addr, "zone": "z", "kind": f.listed[b.id], "cell": i % 2,
				"state": "up", "weight": 1, "started_ms": 0})
		}
	}
	text, _ := json.Marshal(map[string]any{"version": f.version, "full": after < 0, "servers": servers})
	return text
}

// serveList answers discovery's calls: the whole list at once, a watch as soon as there is a change.
func (f *boxFleet) serveList(out http.ResponseWriter, r *http.Request) {
	after, hold := -1, 0
	fmt.Sscan(r.URL.Query().Get("from"), &after)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
	over := time.After(time.Duration(hold) * time.Millisecond)
	for waiting := true; waiting; {
		f.mu.Lock()
		changed, update := f.version > after, f.update
		f.mu.Unlock()
		if changed {
			break
		}
		select {
		case <-update:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	f.mu.Lock()
	text := f.list(after)
	f.mu.Unlock()
	out.Write(text)
}

// change changes what a box does, and roleListLag later what the list tells.
func (f *boxFleet) change(b *box, role string) {
	b.mu.Lock()
	b.role = role
	b.mu.Unlock()
	f.w.note("%s now does %s", b.id, role)
	time.AfterFunc(roleListLag, func() {
		f.mu.Lock()
		f.listed[b.id] = role
		f.version++
		f.changed[b.id] = f.version
		close(f.update)
		f.update = make(chan struct{})
		f.mu.Unlock()
		f.w.note("the list tells that %s does %s", b.id, role)
	})
}

// ask sends one request of a class that must not run twice on a kept connection, and reads its answer.
func (f *boxFleet) ask(conn net.Conn, reader *bufio.Reader, k, i int) bool {
	call := fmt.Sprintf("%016x", calls.Add(1))
	f.mu.Lock()
	f.class[call] = "commit"
	f.mu.Unlock()
	body := `{"model":"chat","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"book"}]}`
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: commit\r\nX-Caller: branch\r\n"+
		"X-Route-Hash: s%d-%d\r\nX-Budget: %.3f\r\nX-Call-Info: prefix=tpl/0,prompt_len=6000,prefix_len=5000,max_out=10\r\nContent-Length: %d\r\n\r\n%s",
		call, k, i, roleBudget.Seconds(), len(body), body)
	conn.SetReadDeadline(time.Now().Add(roleBudget + 5*time.Second))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		f.w.note("%s: no answer: %v", call, err)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	f.w.note("%s: status %d, %v", call, response.StatusCode, err)
	return err == nil && !response.Close
}

// roleCase: no request of a class that must not run twice may run twice while a box changes its role.
func roleCase(w *world) {
	f := &boxFleet{w: w, holder: map[string]string{}, ran: map[string][]string{}, class: map[string]string{}, listed: map[string]string{},
		changed: map[string]int{}, update: make(chan struct{})}
	changing := f.add("box-0", "read")
	for i, role := range []string{"read", "read", "write", "write"} {
		f.add(fmt.Sprintf("box-%d", i+1), role)
	}
	w.discovery = w.platform.StartDiscovery() // not asked: the boxes have a list of their own
	w.known = func() []byte {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.list(-1)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	go http.Serve(l, http.HandlerFunc(f.serveList))
	settings := strings.Replace(defaultSettings, `"local_read":false`, `"local_read":true`, 1)
	w.startNodeAt(settings, 96, 256, l.Addr().String())
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for k := range roleClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			f.client(k, stop)
		}()
	}
	time.Sleep(roleWarmUp)
	for range roleFlips {
		if trouble() {
			f.change(changing, "write")
		}
		time.Sleep(roleWriteTime)
		if trouble() {
			f.change(changing, "read")
		}
		time.Sleep(roleWriteTime)
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * roleLocalRead)
	f.mu.Lock()
	defer f.mu.Unlock()
	for call, at := range f.ran {
		if len(at) > 1 {
			w.breach("%s (commit, must not run twice) was run at %s", call, strings.Join(at, " and at "))
		}
	}
}

// client sends one request after another until stop is closed.
func (f *boxFleet) client(k int, stop <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(rolePause):
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", f.w.address); err != nil {
				f.w.note("not connected: %v", err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		if !f.ask(conn, reader, k, i) {
			conn.Close()
			conn = nil
		}
	}
}
