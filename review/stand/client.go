//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Classes of the settings.
const (
	chat   = "roster-chat"
	commit = "roster-commit"
)

// result is what a client saw of one request.
type result struct {
	id, class string
	sentAt    float64
	status    int    // 0 = no answer
	whole     bool   // the answer came to its end
	done      bool   // the final event was passed on
	text      string // of the body
	err       error
}

// clients sends requests to the node and collects the results.
type clients struct {
	world *world
	http  *http.Client
	wg    sync.WaitGroup

	mu      sync.Mutex
	results []result
	next    int
}

func newClients(w *world) *clients {
	return &clients{world: w, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 5 * time.Second}}}
}

// send sends one request and returns at once.
func (c *clients) send(class string, budget float64) string {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%016x", 0x9b1f03aa00000000+uint64(c.next))
	c.mu.Unlock()
	c.world.mu.Lock()
	c.world.sent[id] = true
	c.world.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		r := c.exchange(id, class, budget)
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		c.world.note("client: %s (%s) got status %d, whole %v, error %v", id, class, r.status, r.whole, r.err)
	}()
	return id
}

func (c *clients) exchange(id, class string, budget float64) result {
	r := result{id: id, class: class, sentAt: c.world.now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration((budget+10)*float64(time.Second)))
	defer cancel()
	body := []byte(`{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"` + strings.Repeat("roster ", 200) + `"}]}`)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.world.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	request.GetBody = nil // a client of the platform sends an id once
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": class, "X-Caller": "wellington-branch",
		"X-Route-Hash": "session-" + id, "X-Budget": fmt.Sprintf("%.3f", budget), "X-Call-Info": "prompt_len=350,max_out=40"} {
		request.Header.Set(name, value)
	}
	c.world.note("client: %s (%s) sent, %.1f s", id, class, budget)
	response, err := c.http.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.status, r.whole, r.err, r.text = response.StatusCode, err == nil, err, string(text)
	r.done = strings.Contains(r.text, "data: [DONE]\n\n")
	return r
}

// wait waits for all results and returns them.
func (c *clients) wait() []result {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// served returns the number of results that were served as a whole.
func served(results []result) int {
	n := 0
	for _, r := range results {
		if r.status == http.StatusOK && r.whole {
			n++
		}
	}
	return n
}
