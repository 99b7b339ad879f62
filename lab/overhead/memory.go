package overhead

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// openStreamEvents is the number of events of a stream, and openStreamIntervalMS the time between them (ms). With these values each
	// stream outlasts the measurement.
	openStreamEvents     = 1000
	openStreamIntervalMS = 1000
	// streamsTimeout limits how long the measurement waits for all streams to begin.
	streamsTimeout = 60 * time.Second
	// streamsPerPause limits how fast streams are opened: measureStreams pauses for 1 ms after it opens a stream if the number of streams
	// that have begun is then a multiple of streamsPerPause.
	streamsPerPause = 50
)

// measureMemory measures the target's resident memory per idle connection, and then per open stream.
func (l *loadGenerator) measureMemory(ctx context.Context, p Plan, result *Result) error {
	if err := l.measureIdle(p, result); err != nil {
		return err
	}
	time.Sleep(p.Settle)
	return l.measureStreams(ctx, p, result)
}

// measureIdle opens idle connections, measures the growth of resident memory, and closes them.
func (l *loadGenerator) measureIdle(p Plan, result *Result) error {
	before := residentBytes(l.target.PID)
	var conns []net.Conn
	for range p.Streams {
		conn, err := l.openIdle()
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	time.Sleep(p.Settle)
	result.BytesPerIdleConnection = float64(residentBytes(l.target.PID)-before) / float64(p.Streams)
	for _, conn := range conns {
		conn.Close()
	}
	return nil
}

// openIdle opens a connection and sends one request on it, because the node soon closes a connection that has carried no request.
func (l *loadGenerator) openIdle() (net.Conn, error) {
	conn, err := net.Dial("tcp", l.target.Address)
	if err != nil {
		return nil, err
	}
	request := "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + l.key + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		return nil, err
	}
	io.Copy(io.Discard, response.Body)
	return conn, nil
}

// measureStreams opens streams, measures the growth of resident memory, and cancels them.
func (l *loadGenerator) measureStreams(ctx context.Context, p Plan, result *Result) error {
	before := residentBytes(l.target.PID)
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	var started atomic.Int64
	for range p.Streams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			l.openStream(ctx, &started)
		}()
		if started.Load()%streamsPerPause == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for end := time.Now().Add(streamsTimeout); int(started.Load()) < p.Streams && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(p.Settle)
	result.BytesPerStream = float64(residentBytes(l.target.PID)-before) / float64(p.Streams)
	n := int(started.Load())
	cancel()
	streams.Wait()
	if n < p.Streams {
		return fmt.Errorf("%s: %d of %d streams began", l.target.Name, n, p.Streams)
	}
	return nil
}

// openStream opens a slow stream, counts it in started once its first bytes arrive, and reads until the context ends.
func (l *loadGenerator) openStream(ctx context.Context, started *atomic.Int64) {
	request, err := l.newRequest(ctx, openStreamEvents, openStreamIntervalMS)
	if err != nil {
		return
	}
	response, err := l.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	b := make([]byte, 256)
	if _, err := response.Body.Read(b); err != nil {
		return
	}
	started.Add(1)
	for {
		if _, err := response.Body.Read(b); err != nil {
			return
		}
	}
}
