package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"dillroute/internal/decide/connreuse"
	"dillroute/internal/http1"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// Engines is the engines' side. It is safe for concurrent use.
type Engines struct {
	pool    *http1.Pool
	connect time.Duration // most time for a connection

	mu    sync.Mutex
	reuse *connreuse.Policy
	start time.Time // of its clock
}

// NewEngines returns a client of engines that holds at most so many connections, made by connect (nil = on the network).
func NewEngines(s *settings.Settings, most int, connect http1.DialFunc) *Engines {
	e := &Engines{connect: 250 * time.Millisecond, reuse: connreuse.New(s.EngineIdleTimeout), start: time.Now(),
		pool: &http1.Pool{MaxIdle: 16, MaxOpen: most, IdleTimeout: 10 * time.Second, MinIdleTime: settle, Limits: answerLimits, Chunk: maxChunk,
			Connect: connect}}
	if s.ConnectTimeout > 0 {
		e.connect = seconds(s.ConnectTimeout)
	}
	e.pool.Head, e.pool.MaxIdleTime = 2*e.connect, e.rest
	return e
}

func (e *Engines) now() float64 { return time.Since(e.start).Seconds() }

// rest is how long a connection may have rested that is used again.
func (e *Engines) rest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(e.reuse.MaxIdle(e.now()))
}

// lost files that a kept connection broke under its next request.
func (e *Engines) lost(c *http1.ClientConn) {
	if !c.Reused {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reuse.ObserveLoss(e.now(), c.IdleFor.Seconds())
}

// get returns a connection for an attempt, unless ctx ends before; fresh = one that has carried nothing yet.
func (e *Engines) get(ctx context.Context, address string, within time.Duration, fresh bool) (*http1.ClientConn, error) {
	if fresh {
		return e.pool.Dial(ctx, address, min(e.connect, within))
	}
	return e.pool.Get(ctx, address, min(e.connect, within))
}

// settle is how long a connection rests before it carries another request: a second answer may come some milliseconds late
// (STANDING, join).
const settle = 50 * time.Millisecond

// Bounds of answers, in bytes.
const maxChunk = 256 << 10

var answerLimits = http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxReply}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// CloseExpired closes connections that have rested for too long, CloseIdle all that rest, Close for good.
func (e *Engines) CloseExpired() { e.pool.CloseExpired() }
func (e *Engines) CloseIdle()    { e.pool.CloseIdle() }
func (e *Engines) Close()        { e.pool.Close() }

// Release lets go of all that any engine holds for a request; whichever is asked sees to it.
func (e *Engines) Release(address, id string, _ int, within time.Duration) error {
	c, err := e.get(context.Background(), address, within, false)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(within))
	if _, _, err = c.Send("DELETE", pathHolds+id, nil, nil); err == nil {
		var resp *http1.Response
		if resp, err = c.ReadResponse(); err == nil {
			if _, err = resp.ReadAll(maxReply); err == nil {
				e.pool.PutAfter(c, resp)
				if resp.Status/100 != 2 {
					return fmt.Errorf("relay: release answered %d", resp.Status)
				}
				return nil
			}
		}
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) { // silence tells nothing of how long kept connections last
		e.lost(c)
	}
	c.Close()
	return err
}

// parseLoad reads a load report; nil where there is none that can be read.
func parseLoad(text string) *scheduler.LoadReport {
	if text == "" || len(text) > 512 {
		return nil
	}
	rep := &scheduler.LoadReport{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e9) {
			return nil
		}
		settings.SetReportField(rep, name, x)
	}
	if rep.Has == 0 {
		return nil
	}
	return rep
}

// readCached reads how much of a prompt a reader had kept, in tokens; 0 where it does not say.
func readCached(body []byte) int {
	var b struct {
		Cached float64 `json:"cached_tokens"`
	}
	if json.Unmarshal(body, &b) != nil || !(b.Cached >= 0 && b.Cached <= maxTokens) {
		return 0
	}
	return int(b.Cached)
}

// usageMember is how the event begins that tells what an answer took.
var usageMember = []byte(`"usage"`)

// readUsage reads how much of a prompt was found kept, of the event that tells it.
func readUsage(data []byte) (kept int, ok bool) {
	if !bytes.Contains(data, usageMember) {
		return 0, false
	}
	var b struct {
		Usage *struct {
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &b) != nil || b.Usage == nil {
		return 0, false
	}
	if c := b.Usage.Details.Cached; c >= 0 && c <= maxTokens {
		return int(c), true
	}
	return 0, true
}

// isEvent tells whether what came can be the first event of an answer.
func isEvent(data []byte) bool { return len(data) > 1 && data[0] == '{' && json.Valid(data) }
