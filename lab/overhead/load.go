package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// loadGenerator sends requests to one target and counts those that fail.
type loadGenerator struct {
	target Target
	key    string
	client *http.Client
	errors atomic.Int64
}

// requestBody returns the body of a request for a stream with a number of events and an interval between them.
func requestBody(events, intervalMS int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":100000,`+
		`"messages":[{"role":"user","content":"Who can cover a sick call?"}],"x_events":%d,"x_every_ms":%d}`, events, intervalMS)
}

// newRequest returns a request for a stream with a number of events and an interval between them.
func (l *loadGenerator) newRequest(ctx context.Context, events, intervalMS int) (*http.Request, error) {
	url := "http://" + l.target.Address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(requestBody(events, intervalMS)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+l.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readBufferBytes is the size of the buffer through which a response is read.
const readBufferBytes = 8 << 10

// request sends one request, reads the response to the end, and adds the number of its events to count, which may be nil.
func (l *loadGenerator) request(ctx context.Context, events, intervalMS int, count *atomic.Int64) {
	request, err := l.newRequest(ctx, events, intervalMS)
	if err != nil {
		l.errors.Add(1)
		return
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.errors.Add(1)
		return
	}
	defer response.Body.Close()
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	received := 0
	complete := false
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: ")) {
			received++
			complete = bytes.HasPrefix(line, []byte("data: [DONE]"))
		}
		if err != nil {
			break
		}
	}
	if !complete || response.StatusCode != http.StatusOK {
		l.errors.Add(1)
	}
	if count != nil {
		count.Add(int64(received))
	}
}

// closedLoop sends n requests from concurrent workers. Each worker waits for a response before it sends its next request.
func (l *loadGenerator) closedLoop(ctx context.Context, n, workers, events int, count *atomic.Int64) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for next.Add(1) <= int64(n) && ctx.Err() == nil {
				l.request(ctx, events, 0, count)
			}
		}()
	}
	group.Wait()
}

// openLoop sends n requests at a steady rate (requests per second) without waiting for responses. Latency is measured from the time at
// which a request is due.
func (l *loadGenerator) openLoop(ctx context.Context, n int, rate float64, latencies *hdrhistogram.Histogram) {
	var requests sync.WaitGroup
	var mu sync.Mutex // guards latencies
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(float64(i) / rate * 1e9))
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if ctx.Err() != nil {
			break
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			l.request(ctx, 1, 0, nil)
			mu.Lock()
			latencies.RecordValue(max(minLatency, time.Since(due).Microseconds()))
			mu.Unlock()
		}()
	}
	requests.Wait()
}
