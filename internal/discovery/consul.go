package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
)

// consul asks a list server by Consul's blocking queries (health endpoint, "Blocking Queries" and "Health HTTP
// Endpoint" of its documentation).
type consul struct {
	address string // host:port
	service string
	wait    time.Duration // for which the server may hold a call
	parser  *Parser
	clock   clock.Clock
	asker   *endpoints.Poller

	mu   sync.Mutex
	conn *http1.ClientConn
	gone bool
}

// run asks again and again, as the asker says.
func (c *consul) run(answers chan<- answer, stop <-chan struct{}) {
	ended := make(chan struct{})
	defer close(ended)
	go func() { // a call that the server holds must not hold up a stop
		select {
		case <-stop:
			c.abort()
		case <-ended:
		}
	}()
	at, index := c.asker.FirstCall(c.clock.Now()), uint64(0)
	for {
		timer := time.NewTimer(max(0, seconds(at-c.clock.Now())))
		select {
		case <-stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		a, next := c.ask(index)
		if a.err == nil {
			a.again = next < index
			if index = next; a.again {
				index = 0 // as the documentation asks
			}
		}
		select {
		case answers <- a:
		case <-stop:
			return
		}
		at = c.asker.AfterCall(c.clock.Now(), a.err == nil)
	}
}

func (c *consul) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// ask makes one call and returns the answer and its index.
func (c *consul) ask(index uint64) (answer, uint64) {
	pool := &http1.Pool{Limits: http1.DefaultLimits}
	conn, err := pool.Get(context.Background(), c.address, 5*time.Second)
	if err != nil {
		return answer{err: fmt.Errorf("list server: %w", err)}, 0
	}
	defer conn.Close()
	c.mu.Lock()
	c.conn = conn
	gone := c.gone
	c.mu.Unlock()
	if gone {
		return answer{err: fmt.Errorf("list server: stopped")}, 0
	}
	// The server may add a sixteenth to the wait; beyond that, and time for the answer, it hangs.
	conn.SetDeadline(time.Now().Add(c.wait + c.wait/16 + 5*time.Second))
	path := "/v1/health/service/" + url.PathEscape(c.service) + "?index=" + strconv.FormatUint(index, 10) +
		"&wait=" + strconv.Itoa(int(c.wait.Milliseconds())) + "ms"
	if _, _, err := conn.Send("GET", path, []http1.Field{{Name: "Accept", Value: "application/json"}}, nil); err != nil {
		return answer{err: fmt.Errorf("list server: %w", err)}, 0
	}
	resp, err := conn.ReadResponse()
	if err != nil {
		return answer{err: fmt.Errorf("list server: %w", err)}, 0
	}
	body, err := resp.ReadAll(maxList)
	switch {
	case err != nil:
		return answer{err: fmt.Errorf("list server: body cut short: %w", err)}, 0
	case resp.Status != 200:
		return answer{err: fmt.Errorf("list server: answered %d", resp.Status)}, 0
	}
	next, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil || next == 0 {
		return answer{err: fmt.Errorf("list server: X-Consul-Index is %q", resp.Header.Get("X-Consul-Index"))}, 0
	}
	entries, err := c.parser.ParseConsul(body)
	if err != nil {
		return answer{err: fmt.Errorf("list server:\n%w", err)}, 0
	}
	return answer{list: endpoints.List{Index: next, Entries: entries}}, next
}

// instance is one entry of Consul's health endpoint, as far as it is read.
type instance struct {
	Node struct {
		Node, Address, Datacenter string
		Meta                      map[string]string
	}
	Service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
		Weights     struct{ Passing, Warning int }
	}
	Checks []struct{ Status string }
}

// ParseConsul reads an answer of the health endpoint. Kind, cell, zone, state and start time are in Service.Meta under the
// names of the list file; an instance with a critical check gets no new work.
func (p *Parser) ParseConsul(text []byte) ([]endpoints.Entry, error) {
	var instances []instance
	if err := json.Unmarshal(text, &instances); err != nil {
		return nil, config.Problems{{Pointer: "", Text: "not a list of instances: " + err.Error()}}
	}
	var ps config.Problems
	out := []endpoints.Entry{}
	for i, x := range instances {
		e, err := x.entry()
		if err != nil {
			ps = append(ps, config.Problem{Pointer: fmt.Sprintf("/%d%s", i, err.Pointer), Text: err.Text})
			continue
		}
		n, bad := p.entry(e)
		for _, b := range bad {
			ps = append(ps, config.Problem{Pointer: fmt.Sprintf("/%d/Service/Meta%s", i, b.Pointer), Text: b.Text})
		}
		n.Cell = -1
		out = append(out, n)
	}
	if len(ps) > 0 {
		return nil, ps
	}
	for i, x := range instances {
		out[i].Cell = p.cell(x.Service.Meta["cell"])
	}
	return out, nil
}

// entry turns an instance into what a list file would hold.
func (x *instance) entry() (Entry, *config.Problem) {
	meta, address := x.Service.Meta, x.Service.Address
	if address == "" {
		address = x.Node.Address
	}
	switch {
	case x.Service.ID == "":
		return Entry{}, &config.Problem{Pointer: "/Service/ID", Text: "is missing"}
	case address == "" || x.Service.Port < 1 || x.Service.Port > 65535:
		return Entry{}, &config.Problem{Pointer: "/Service", Text: "has no usable address and port"}
	}
	e := Entry{ID: x.Service.ID, Address: fmt.Sprintf("%s:%d", address, x.Service.Port), Kind: meta["kind"], Cell: meta["cell"],
		Zone: meta["zone"], State: meta["state"]}
	if text := meta["boot_time"]; text != "" {
		boot, err := strconv.ParseFloat(text, 64)
		if err != nil || !(boot >= 0) {
			return Entry{}, &config.Problem{Pointer: "/Service/Meta/boot_time", Text: fmt.Sprintf("%q is not a time", text)}
		}
		e.BootTime = boot
	}
	if w := float64(x.Service.Weights.Passing); w > 0 {
		e.Weight = &w
	}
	for _, c := range x.Checks {
		if c.Status == "critical" {
			e.State = "draining"
		}
	}
	return e, nil
}
