package simulation

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dillroute/lab/record"
)

// Ending says what became of a request, for its client.
type Ending string

// Endings of a request.
const (
	InTime  Ending = "in time"
	Late    Ending = "late"    // its first token, or the rest, came after the time wanted
	Refused Ending = "refused" // a retry is harmless
	Failed  Ending = "failed"
	Broken  Ending = "broken" // the stream ended before its end
	NoReply Ending = "no reply"
	Unmet   Ending = "unmet" // no node could be reached
	Left    Ending = "left"  // the client gave up by itself
)

// Result is what became of a request, its client's further tries included.
type Result struct {
	At            float64 // s from the start of the day
	Class, Tenant int
	Node          string // of the first try
	Ending        Ending
	Code          string // of the last refusal or failure
	Asked, Served float64
	Tries         int
	Attempts      int // that reached engines
}

func (p *play) finish(r Result) {
	p.resMu.Lock()
	p.results = append(p.results, r)
	p.resMu.Unlock()
}

// reach picks the node for a try: any of the client's zone that the front takes for alive, else any.
func (p *play) reach(zone int, chance float64) *host {
	var near, all []*host
	for _, h := range p.hosts {
		h.mu.Lock()
		alive := h.node != nil && !h.since.IsZero() || !h.ended.IsZero() && time.Since(h.ended).Seconds() < frontNotices
		h.mu.Unlock()
		if alive {
			all = append(all, h)
			if h.zone == zone {
				near = append(near, h)
			}
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[int(chance*float64(len(all)))]
}

// ask makes a request, and comes again as clients do.
func (p *play) ask(q *request) Result {
	c := p.site.Classes[q.class]
	res := Result{At: q.at, Class: q.class, Tenant: q.tenant, Asked: c.Worth, Ending: Unmet}
	began := time.Now()
	retries := p.site.ClientRetries
	backoff := p.site.Backoff
	if _, ok := p.day.has(RetryStorm, q.at); ok {
		retries, backoff = 4, 0
	}
	chance := q.draw[0]
	for n, unmet := 0, 0; n <= retries && unmet < 4; {
		h := p.reach(q.zone, chance)
		chance = fraction(chance*7.31 + 0.137)
		if h == nil {
			unmet++
			time.Sleep(duration(0.2))
			continue
		}
		if res.Node == "" {
			res.Node = h.name
		}
		t := &try{request: q, id: fmt.Sprintf("%s-%d-%d", q.op, n, unmet), n: n, budget: c.Patience * (0.6 + 0.4*q.draw[1])}
		a := p.once(h, t)
		res.Ending, res.Code = a.ending, a.code
		p.mu.Lock()
		res.Attempts += t.begun
		delete(p.tries, t.id)
		p.mu.Unlock()
		if a.ending == Unmet {
			unmet++
			time.Sleep(duration(0.1 + 0.2*q.draw[3]))
			continue
		}
		n++
		res.Tries = n
		switch a.ending {
		case InTime:
			res.Served = c.Worth
			if a.first.Sub(began).Seconds() > c.Aim+c.AimPerK*q.prompt/1000 {
				res.Ending, res.Served = Late, c.Worth*c.Late
			}
			return res
		case Late:
			res.Served = c.Worth * c.Late
			return res
		case Refused:
		case NoReply, Failed, Broken:
			if c.Effect == "once" {
				return res
			}
		default:
			return res
		}
		time.Sleep(duration(max(backoff*(0.5+q.draw[3]), a.after)))
		if time.Since(began).Seconds() > c.Patience {
			return res
		}
	}
	return res
}

func fraction(x float64) float64 { return x - float64(int(x)) }

// reply to a try.
type answered struct {
	ending Ending
	code   string
	first  time.Time
	after  float64 // s after which to come again
}

// dial takes a connection to a node that rests, or makes one.
func (h *host) dial(p *play) (c net.Conn, kept bool, err error) {
	h.mu.Lock()
	for len(h.idle) > 0 {
		c = h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if u, ok := c.(interface{ Unread() bool }); ok && !u.Unread() {
			h.mu.Unlock()
			return c, true, nil
		}
		c.Close()
	}
	h.mu.Unlock()
	c, err = p.network.Dialer("client")(context.Background(), "mem", h.name)
	return c, false, err
}

// once makes one try.
func (p *play) once(h *host, t *try) answered {
	p.add(t)
	c, kept, err := h.dial(p)
	if err != nil {
		return answered{ending: Unmet}
	}
	rec := record.Record{Op: t.name(), Try: t.n, Class: className(t.class), Tenant: tenantName(t.tenant), Node: h.name}
	t.sent = time.Now()
	text := t.text(p)
	if f, ok := p.day.has(SlowClients, t.at); ok && t.draw[3] < f.Part {
		half := len(text) / 2
		io.WriteString(c, text[:half])
		time.Sleep(300 * time.Millisecond)
		text = text[half:]
	}
	if _, err = io.WriteString(c, text); err != nil {
		c.Close()
		return answered{ending: Unmet}
	}
	ask := rec
	ask.Kind, ask.Tokens = record.RequestSent, t.budget
	p.log.Add(ask)
	br := bufio.NewReader(c)
	var leaving *time.Timer
	left := make(chan struct{})
	if t.leaves > 0 && t.n == 0 {
		leaving = time.AfterFunc(duration(t.leaves), func() {
			close(left)
			p.closed(t)
			c.Close()
		})
	}
	a, reuse := p.hear(c, br, t, rec)
	if leaving != nil && !leaving.Stop() {
		<-left
		rec.Kind = record.ClientDisconnected
		p.log.Add(rec)
		return answered{ending: Left}
	}
	if a.ending == NoReply && kept && a.code == "closed" { // it crossed the end of a kept connection: sent again on a new one
		c.Close()
		rec.Kind, rec.Outcome = record.FinalResponse, record.Unreachable
		p.log.Add(rec)
		return answered{ending: Unmet}
	}
	rec.Kind, rec.OK = record.FinalResponse, true
	rec.Outcome = map[Ending]record.Outcome{InTime: record.Served, Late: record.Served, Refused: record.Rejected, Failed: record.Failed,
		Broken: record.Failed, NoReply: record.Cut}[a.ending]
	if a.ending == NoReply && a.code == "overdue" {
		rec.Outcome = record.TimedOut
	}
	rec.Note = a.code
	p.log.Add(rec)
	p.closed(t)
	if !reuse {
		c.Close()
		return a
	}
	c.SetDeadline(time.Time{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) > 4 || br.Buffered() > 0 || h.node == nil {
		c.Close()
	} else {
		h.idle = append(h.idle, c)
	}
	return a
}

// text is the request as it is sent.
func (t *try) text(p *play) string {
	body := `{"model":"chat","stream":true,"max_tokens":` + strconv.Itoa(t.maxOut) + `,"messages":[{"role":"user","content":"x"}]}`
	info := fmt.Sprintf("prompt_len=%d,max_out=%d", int(t.prompt), t.maxOut)
	if t.prefix != "" {
		info += fmt.Sprintf(",prefix=%s,prefix_len=%d", t.prefix, int(t.prefixLen))
	}
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n"+
		"X-Route-Hash: %s\r\nX-Budget: %.3f\r\nX-Call-Info: %s\r\nContent-Length: %d\r\n\r\n%s",
		t.id, className(t.class), tenantName(t.tenant), t.session, t.budget, info, len(body), body)
}

// overdueBy is how long after its time an answer is still waited for (s).
const overdueBy = 0.5

// hear reads the answer; reuse = the connection may carry another request.
func (p *play) hear(c net.Conn, br *bufio.Reader, t *try, rec record.Record) (a answered, reuse bool) {
	c.SetReadDeadline(t.sent.Add(duration(t.budget + overdueBy)))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		code := "closed"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			code = "overdue"
		}
		return answered{ending: NoReply, code: code}, false
	}
	if resp.StatusCode != 200 {
		body, _ := io.ReadAll(resp.Body)
		a = answered{ending: Failed, code: fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body)))}
		if resp.StatusCode == 429 || resp.StatusCode == 503 {
			a.ending = Refused
		}
		a.after, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return a, !resp.Close
	}
	rec.Kind = record.FirstToken
	p.log.Add(rec)
	a.first = time.Now()
	c.SetReadDeadline(a.first.Add(time.Minute))
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "data: [DONE]") {
		a.ending, a.code = Broken, "broken stream"
		return a, false
	}
	if a.ending = p.site.paced(t.request, a.first, time.Now()); a.ending == Late {
		a.code = "slow stream"
	}
	return a, !resp.Close
}

// paced tells whether a stream kept the pace that its class wants.
func (s *Site) paced(q *request, first, end time.Time) Ending {
	if end.Sub(first).Seconds() > float64(q.out)*s.Classes[q.class].TokenAim {
		return Late
	}
	return InTime
}
