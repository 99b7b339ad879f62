package relay

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"dillroute/internal/decide/connreuse"
	"dillroute/internal/http1"
	"dillroute/internal/settings"
)

// Engines is the engine client of the protocol. It is safe for concurrent use.
type Engines struct {
	pool    *http1.Pool
	connect time.Duration // timeout of a connection

	mu          sync.Mutex
	reusePolicy *connreuse.Policy
	start       time.Time // zero of the times of reusePolicy
}

// Defaults of the engine client.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	engineIdleTimeout     = 10 * time.Second
	maxIdlePerEngine      = 16 // idle connections
)

// NewEngines returns an engine client with at most maxConnections, made by connect (nil = net.Dialer).
func NewEngines(s *settings.Settings, maxConnections int, connect http1.DialFunc) *Engines {
	e := &Engines{connect: defaultConnectTimeout, reusePolicy: connreuse.New(s.EngineIdleTimeout), start: time.Now(),
		pool: &http1.Pool{MaxIdle: maxIdlePerEngine, MaxOpen: maxConnections, IdleTimeout: engineIdleTimeout,
			MinIdleTime: minIdleTime, Limits: responseLimits, Chunk: maxChunk,
			Connect: connect}}
	if s.ConnectTimeout > 0 {
		e.connect = seconds(s.ConnectTimeout)
	}
	e.pool.Head, e.pool.MaxIdleTime = 2*e.connect, e.maxIdle
	return e
}

func (e *Engines) now() float64 { return time.Since(e.start).Seconds() }

// maxIdle is how long a connection that is reused may have been idle.
func (e *Engines) maxIdle() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(e.reusePolicy.MaxIdle(e.now()))
}

// observeLoss records that a reused connection broke under its request.
func (e *Engines) observeLoss(c *http1.ClientConn) {
	if !c.Reused {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reusePolicy.ObserveLoss(e.now(), c.IdleFor.Seconds())
}

// connection returns a connection for an attempt, unless ctx ends before; fresh = never a reused one.
func (e *Engines) connection(ctx context.Context, address string, within time.Duration, fresh bool) (*http1.ClientConn, error) {
	if fresh {
		return e.pool.Dial(ctx, address, min(e.connect, within))
	}
	return e.pool.Get(ctx, address, min(e.connect, within))
}

// minIdleTime is how long a connection is idle before it carries another request: a faulty second response may come some milliseconds
// late (STANDING, join).
const minIdleTime = 50 * time.Millisecond

// maxChunk bounds one chunk of a response, in bytes.
const maxChunk = 256 << 10

var responseLimits = http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxResponse}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// CloseExpired closes connections whose idle timeout is over.
func (e *Engines) CloseExpired() { e.pool.CloseExpired() }

// CloseIdle closes all idle connections.
func (e *Engines) CloseIdle() { e.pool.CloseIdle() }

// Close closes all idle connections and keeps no more.
func (e *Engines) Close() { e.pool.Close() }

// Release releases all that any engine holds for a request; the engine that is called sees to it.
func (e *Engines) Release(address, id string, _ int, within time.Duration) error {
	c, err := e.connection(context.Background(), address, within, false)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(within))
	if _, _, err = c.Send("DELETE", pathHolds+id, nil, nil); err == nil {
		var resp *http1.Response
		if resp, err = c.ReadResponse(); err == nil {
			if _, err = resp.ReadAll(maxResponse); err == nil {
				e.pool.PutAfter(c, resp)
				if resp.Status/100 != 2 {
					return fmt.Errorf("relay: status %d in response to a state release", resp.Status)
				}
				return nil
			}
		}
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) { // a timeout tells nothing of how long idle connections last
		e.observeLoss(c)
	}
	c.Close()
	return err
}
