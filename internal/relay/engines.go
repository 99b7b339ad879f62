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
	pool           *http1.Pool
	connectTimeout time.Duration // timeout for making a connection

	mu          sync.Mutex
	reusePolicy *connreuse.Policy
	epoch       time.Time // time 0 of reusePolicy
}

// Defaults of the engine client.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	engineIdleTimeout     = 10 * time.Second
	maxIdlePerEngine      = 16 // connections
)

// NewEngines returns an engine client with at most maxConnections connections, made by dial (nil = net.Dialer).
func NewEngines(s *settings.Settings, maxConnections int, dial http1.DialFunc) *Engines {
	e := &Engines{connectTimeout: defaultConnectTimeout, reusePolicy: connreuse.New(s.EngineIdleTimeout), epoch: time.Now(),
		pool: &http1.Pool{MaxIdle: maxIdlePerEngine, MaxOpen: maxConnections, IdleTimeout: engineIdleTimeout,
			MinIdleTime: minIdleTime, Limits: responseLimits, Chunk: maxChunk,
			Connect: dial}}
	if s.ConnectTimeout > 0 {
		e.connectTimeout = seconds(s.ConnectTimeout)
	}
	e.pool.Head, e.pool.MaxIdleTime = 2*e.connectTimeout, e.maxIdle
	return e
}

func (e *Engines) now() float64 { return time.Since(e.epoch).Seconds() }

// maxIdle returns the longest idle time after which a connection is still reused.
func (e *Engines) maxIdle() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(e.reusePolicy.MaxIdle(e.now()))
}

// observeLoss records that a reused connection broke during its request.
func (e *Engines) observeLoss(c *http1.ClientConn) {
	if !c.Reused {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reusePolicy.ObserveLoss(e.now(), c.IdleFor.Seconds())
}

// connection returns a connection to an engine, or an error if ctx ends first. If newConnection is set, no idle connection is reused.
func (e *Engines) connection(ctx context.Context, address string, timeout time.Duration, newConnection bool) (*http1.ClientConn, error) {
	if newConnection {
		return e.pool.Dial(ctx, address, min(e.connectTimeout, timeout))
	}
	return e.pool.Get(ctx, address, min(e.connectTimeout, timeout))
}

// minIdleTime is how long a connection must be idle before it is reused: a faulty engine may send a second response some milliseconds
// after the first (STANDING, join).
const minIdleTime = 50 * time.Millisecond

// maxChunk bounds one chunk of a response, in bytes.
const maxChunk = 256 << 10

var responseLimits = http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxResponse}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// CloseExpired closes connections whose idle timeout has expired.
func (e *Engines) CloseExpired() { e.pool.CloseExpired() }

// CloseIdle closes all idle connections.
func (e *Engines) CloseIdle() { e.pool.CloseIdle() }

// Close closes all idle connections; connections that become idle later are closed as well.
func (e *Engines) Close() { e.pool.Close() }

// Release releases all state that any engine holds for a request. The engine that is called is responsible for this.
func (e *Engines) Release(address, id string, _ int, timeout time.Duration) error {
	c, err := e.connection(context.Background(), address, timeout, false)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(timeout))
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
	if !errors.Is(err, os.ErrDeadlineExceeded) { // a timeout says nothing about how long idle connections last
		e.observeLoss(c)
	}
	c.Close()
	return err
}
