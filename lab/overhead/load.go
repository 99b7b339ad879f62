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

// load makes requests to one target.
type load struct {
	target Target
	key    string
	client *http.Client
	errors atomic.Int64
}

// body is the text of a request for so many events.
func body(events, intervalMS int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":100000,`+
		`"messages":[{"role":"user","content":"Who can cover a sick call?"}],"x_events":%d,"x_every_ms":%d}`, events, intervalMS)
}

// newRequest returns a request for so many events.
func (l *load) newRequest(ctx context.Context, events, intervalMS int) (*http.Request, error) {
	url := "http://" + l.target.Address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body(events, intervalMS)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+l.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readBufferBytes is the length of the buffer in which a response is read.
const readBufferBytes = 8 << 10

// request makes one request, reads its response to the end, and adds its events to count, which may be nil.
func (l *load) request(ctx context.Context, events, intervalMS int, count *atomic.Int64) {
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

// closedLoop makes n requests with so many workers, each of which waits for a response before its next request.
func (l *load) closedLoop(ctx context.Context, n, workers, events int, count *atomic.Int64) {
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

// openLoop makes n requests at a steady rate, whatever the responses do. Latency counts from when a request was due.
func (l *load) openLoop(ctx context.Context, n int, rate float64, latencies *hdrhistogram.Histogram) {
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
