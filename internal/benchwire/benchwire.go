// Package benchwire turns the line protocol of orchid-7119 into events of package scheduler and
// actions into lines. It decides nothing.
package benchwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// Item is one line of a batch. Exactly one of Launch, Kill and Event is set.
type Item struct {
	Node   int
	Launch *Launch
	Kill   bool
	Event  scheduler.Event
}

// Launch starts an instance.
type Launch struct {
	Config scheduler.Config
	Seed   uint64
}

// Batch is what came in at one moment.
type Batch struct {
	Now    float64
	Serial string
	Items  []Item
}

// Decoder reads batches. It remembers each instance's settings to check indices.
type Decoder struct {
	in   *bufio.Reader
	line int
	cfg  map[int]*scheduler.Config
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), cfg: map[int]*scheduler.Config{}}
}

// record is one line, split. The first error met while reading its fields is kept.
type record struct {
	line int
	name string
	kv   map[string]string
	err  error
}

func (d *Decoder) next() (*record, error) {
	for {
		s, err := d.in.ReadString('\n')
		if err != nil {
			if err == io.EOF && strings.TrimSpace(s) == "" {
				return nil, io.EOF
			}
			if err == io.EOF {
				return nil, fmt.Errorf("line %d: input ends within a line", d.line+1)
			}
			return nil, err
		}
		d.line++
		s = strings.TrimRight(s, "\r\n")
		if s != "" {
			return parseLine(s, d.line)
		}
	}
}

func parseLine(s string, line int) (*record, error) {
	name, rest, _ := strings.Cut(s, "\t")
	r := &record{line: line, name: name, kv: map[string]string{}}
	for rest != "" {
		part, more, _ := strings.Cut(rest, "\t")
		k, v, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("line %d: %s: part %q has no '='", line, name, clip(part))
		}
		if k == "facts" || k == "body_text" { // text extends to the end of the line
			_, v, _ = strings.Cut(rest, "=")
			more = ""
		}
		r.kv[k] = v
		rest = more
	}
	return r, nil
}

func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

func (r *record) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("line %d: %s: field %s: %s", r.line, r.name, field, fmt.Sprintf(format, args...))
	}
}

func (r *record) text(field string) string {
	v := r.kv[field]
	if v == "" {
		r.fail(field, "missing")
	}
	return v
}

func (r *record) number(field string, must bool) float64 {
	v, ok := r.kv[field]
	if !ok {
		if must {
			r.fail(field, "missing")
		}
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.fail(field, "%q is not a number", clip(v))
	}
	return x
}

func (r *record) integer(field string, must bool) int {
	v, ok := r.kv[field]
	if !ok {
		if must {
			r.fail(field, "missing")
		}
		return 0
	}
	x, err := strconv.ParseInt(v, 10, 64)
	if err != nil || x < 0 {
		r.fail(field, "%q is not a whole number", clip(v))
	}
	return int(x)
}

func (r *record) index(field string, n int) int {
	x := r.integer(field, false)
	if r.err == nil && x >= n {
		r.fail(field, "%d is out of range, there are %d", x, n)
	}
	return x
}

func (r *record) amount(field string) float64 {
	x := r.number(field, false)
	if x < 0 {
		r.fail(field, "%g is negative", x)
	}
	return x
}

func (r *record) flag(field string) bool {
	switch r.kv[field] {
	case "", "0":
		return false
	case "1":
		return true
	}
	r.fail(field, "%q is not 0 or 1", clip(r.kv[field]))
	return false
}

func lookup[T any](r *record, field string, words map[string]T) T {
	v, ok := words[r.kv[field]]
	if !ok {
		r.fail(field, "unknown word %q", clip(r.kv[field]))
	}
	return v
}

var statuses = map[string]scheduler.Status{
	"served": scheduler.Completed, "server_error": scheduler.ServerError, "turned_away": scheduler.Rejected,
	"no_answer": scheduler.TimedOut, "no_connection": scheduler.ConnectFailed, "connection_lost": scheduler.ConnectionLost,
	"called_off": scheduler.Canceled, "not_sent": scheduler.NotSent, "parsed": scheduler.Prefilled,
}

var forms = map[string]scheduler.UpdateForm{
	"incr": scheduler.UpdateIncremental, "total": scheduler.UpdateComplete, "warm_copy": scheduler.UpdateStale, "lost": scheduler.UpdateFailed,
}

var states = map[string]scheduler.EngineState{
	"ready": scheduler.EngineReady, "draining": scheduler.EngineDraining, "gone": scheduler.EngineRemoved,
}

// Next returns the next batch, or io.EOF at the end of the input.
func (d *Decoder) Next() (*Batch, error) {
	r, err := d.next()
	if err != nil {
		return nil, err
	}
	if r.name != "SYNC" {
		return nil, fmt.Errorf("line %d: %q where a batch should begin with SYNC", r.line, clip(r.name))
	}
	b := &Batch{Now: r.number("sim_time_s", true), Serial: r.text("serial")}
	if r.err != nil {
		return nil, r.err
	}
	node := -1
	for {
		r, err := d.next()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: input ends within a batch", d.line)
		}
		if err != nil {
			return nil, err
		}
		switch r.name {
		case "GO":
			return b, nil
		case "TO":
			node = r.integer("node_id", true)
		default:
			if node < 0 {
				return nil, fmt.Errorf("line %d: %s before any TO", r.line, clip(r.name))
			}
			it, known, err := d.item(r, node)
			if err != nil {
				return nil, err
			}
			if known {
				it.Node = node
				b.Items = append(b.Items, it)
			}
		}
		if r.err != nil {
			return nil, r.err
		}
	}
}

// item decodes one line. A message that is not known is passed over.
func (d *Decoder) item(r *record, node int) (it Item, known bool, err error) {
	cfg := d.cfg[node]
	if cfg == nil && r.name != "LAUNCH" {
		return it, false, fmt.Errorf("line %d: %s for node %d, which was not launched", r.line, clip(r.name), node)
	}
	switch r.name {
	case "LAUNCH":
		seed, perr := strconv.ParseUint(r.kv["random_seed"], 10, 64)
		if perr != nil {
			r.fail("random_seed", "%q is not a whole number", clip(r.kv["random_seed"]))
		}
		s, serr := settings.Parse([]byte(r.text("facts")))
		if serr != nil {
			r.fail("facts", "%v", serr)
			s = &settings.Settings{}
		}
		d.cfg[node] = &s.Scheduler
		it.Launch = &Launch{Config: s.Scheduler, Seed: seed}
	case "KILL":
		it.Kill = true
	case "WAKEUP":
		it.Event = scheduler.TimerFired{Token: int64(r.integer("ctx", true))}
	case "DEMAND":
		it.Event = scheduler.Request{ID: r.text("op_id"), Class: r.index("tier_class", len(cfg.Classes)),
			Tenant: r.index("project", max(1, len(cfg.Tenants))), Session: r.kv["session_id"],
			Prefix: r.kv["system_prompt"], ClientTimeLeft: r.number("time_left_s", true), DurationHint: r.amount("work_s"),
			PromptTokens: r.amount("prompt_tokens"), PrefixTokens: r.amount("prefix_tokens"),
			MaxOutputTokens: r.amount("output_cap"), Retry: r.flag("is_retry"), Returned: r.flag("returned")}
	case "FLOWING":
		it.Event = scheduler.FirstToken{ID: r.text("op_id"), Attempt: r.integer("n", false), Engine: r.text("engine"),
			Spent: r.amount("spent_s")}
	case "GONE":
		it.Event = scheduler.ClientDisconnected{ID: r.text("op_id")}
	case "HELD_NOTE":
		it.Event = scheduler.ReserveResult{ID: r.text("op_id"), Attempt: r.integer("n", false), Engine: r.kv["engine"],
			OK: r.integer("sort", true) == 1}
	case "CHECKED":
		it.Event = scheduler.ProbeResult{Engine: r.text("engine"), Status: lookup(r, "disposition", statuses),
			Spent: r.amount("spent_s"), Report: r.report()}
	case "CLOSED_ATTEMPT":
		it.Event = scheduler.Outcome{ID: r.text("op_id"), Attempt: r.integer("n", false), Engine: r.text("engine"),
			Status: lookup(r, "disposition", statuses), Info: int(r.number("info", false)),
			Spent: r.amount("spent_s"), Closed: r.flag("finished"), Report: r.report()}
	case "WHISPER":
		data := []byte(nil)
		if s := r.kv["payload"]; s != "-" && s != "" {
			if data, err = hex.DecodeString(s); err != nil {
				r.fail("payload", "not hex digits")
			}
		}
		it.Event = scheduler.PeerMessage{From: r.integer("neighbour", false), Data: data}
	case "PEERS_KNOWN":
		m, merr := d.members(r, cfg)
		if merr != nil {
			return it, false, merr
		}
		it.Event = m
	default:
		return it, false, nil
	}
	return it, true, r.err
}

func (d *Decoder) members(r *record, cfg *scheduler.Config) (scheduler.EndpointUpdate, error) {
	m := scheduler.EndpointUpdate{Form: lookup(r, "form", forms)}
	n := r.integer("members", m.Form != scheduler.UpdateFailed)
	if r.err != nil {
		return m, r.err
	}
	for i := 0; i < n; i++ {
		e, err := d.next()
		if err == io.EOF {
			return m, fmt.Errorf("line %d: input ends within a list", d.line)
		}
		if err != nil {
			return m, err
		}
		if e.name != "ITEM" {
			return m, fmt.Errorf("line %d: %s where ITEM %d of %d should be", e.line, clip(e.name), i+1, n)
		}
		m.Engines = append(m.Engines, scheduler.Engine{ID: e.text("engine"), Cell: e.integer("cohort", false),
			Zone: e.index("hall", max(1, cfg.ZoneCount)), Kind: e.index("generation_hw", len(cfg.Kinds)),
			State: lookup(e, "state", states), Weight: e.number("capacity_hint", false),
			BootTime: e.number("boot_time_s", false)})
		if e.err != nil {
			return m, e.err
		}
	}
	return m, nil
}

// Encoder writes replies.
type Encoder struct {
	out  *bufio.Writer
	node int
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{out: bufio.NewWriterSize(w, 1<<18), node: -1} }

// Actions writes the actions of one instance.
func (e *Encoder) Actions(node int, acts []scheduler.Action) error {
	if len(acts) == 0 {
		return nil
	}
	if node != e.node {
		fmt.Fprintf(e.out, "SOURCE\tnode_id=%d\n", node)
		e.node = node
	}
	for _, a := range acts {
		s, err := FormatAction(a)
		if err != nil {
			return err
		}
		e.out.WriteString(s)
		e.out.WriteByte('\n')
	}
	return nil
}

// Broken reports that the decision code of an instance has failed.
func (e *Encoder) Broken(node int, text string) {
	fmt.Fprintf(e.out, "SOURCE\tnode_id=%d\nBROKEN\tbody_text=%s\n", node, oneLine(text))
	e.node = node
}

// Done ends the reply and flushes it.
func (e *Encoder) Done(serial string) error {
	fmt.Fprintf(e.out, "OK\tserial=%s\n", serial)
	e.node = -1
	return e.out.Flush()
}

func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' || r == '\t' {
			return ' '
		}
		return r
	}, s)
}

// seconds formats a time to the microsecond, rounded up so that a timer is never early.
func seconds(t float64) string {
	return strconv.FormatFloat(math.Ceil(t*1e6-1e-3)/1e6, 'f', -1, 64)
}

// FormatAction returns the line of an action, without its line end.
func FormatAction(a scheduler.Action) (string, error) {
	switch a := a.(type) {
	case scheduler.Send:
		if a.Timeout == 0 {
			return "DELIVER\top_id=" + a.ID + "\tengine=" + a.Engine, nil
		}
		return "DELIVER\top_id=" + a.ID + "\tengine=" + a.Engine + "\tcap_s=" + seconds(a.Timeout), nil
	case scheduler.Cancel:
		return fmt.Sprintf("ABORT_ATTEMPT\top_id=%s\tn=%d", a.ID, a.Attempt), nil
	case scheduler.Reserve:
		return "RESERVE\top_id=" + a.ID + "\tengine=" + a.Engine, nil
	case scheduler.Release:
		return "UNHOLD\top_id=" + a.ID, nil
	case scheduler.Reject:
		if a.RetryAfter <= 0 {
			return "REFUSE\top_id=" + a.ID, nil
		}
		return "REFUSE\top_id=" + a.ID + "\tbackoff_s=" + seconds(a.RetryAfter), nil
	case scheduler.Fail:
		return "FAIL\top_id=" + a.ID, nil
	case scheduler.SetTimer:
		return fmt.Sprintf("SCHEDULE\ttime_s=%s\tctx=%d", seconds(a.At), a.Token), nil
	case scheduler.Probe:
		return "HEALTH_CHECK\tengine=" + a.Engine, nil
	case scheduler.WatchEndpoints:
		on := 0
		if a.On {
			on = 1
		}
		return fmt.Sprintf("STREAM_CHANGES\tenable=%d", on), nil
	case scheduler.FetchEndpoints:
		return "REFRESH", nil
	case scheduler.Log:
		return "SAY_LOG\tbody_text=" + oneLine(a.Text), nil
	}
	return "", fmt.Errorf("wire: no line for action %T", a)
}
