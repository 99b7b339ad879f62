package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"dillroute/internal/decide/classify"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// Header fields of the protocol, in canonical form.
const (
	headID     = "X-Call-Id"
	headClass  = "X-Call-Class"
	headTenant = "X-Caller"
	headKey    = "X-Route-Hash"
	headBudget = "X-Budget"
	headInfo   = "X-Call-Info"
	headAgain  = "X-Again"
	headLoad   = "X-Load-Report"
	headNotRun = "X-Rejected"
)

// Paths of the protocol.
const (
	pathChat   = "/v1/chat/completions"
	pathReady  = "/healthz"
	pathHolds  = "/v1/holds/"
	pathList   = "/v1/servers"
	charsToken = 4 // characters of a token
)

// Bounds of what a header may say.
const (
	maxID     = 64
	maxKey    = 256
	maxBudget = 3600    // s
	maxTokens = 1 << 20 // far beyond what a body can hold
	recentIDs = 8192    // ids remembered at least: minutes of a node's traffic
)

// Front is the clients' side. It is safe for concurrent use.
type Front struct {
	log     *slog.Logger
	engines *Engines
	ready   func() bool
	classes map[string]int
	tenants map[string]int
	effects []scheduler.Effect // by class

	mu     sync.Mutex
	recent *classify.RecentIDs
	start  time.Time // of the clock of recent
}

// NewFront returns a front that makes its attempts by the engines' client given.
func NewFront(s *settings.Settings, engines *Engines, ready func() bool, log *slog.Logger) *Front {
	f := &Front{log: log, engines: engines, ready: ready, classes: index(s.Classes), tenants: index(s.Tenants),
		recent: classify.NewRecentIDs(recentIDs, repeatWindow(s)), start: time.Now()}
	for _, c := range s.Scheduler.Classes {
		f.effects = append(f.effects, c.Effect)
	}
	return f
}

// repeatWindow is how long an id may come again and mean its first request (s): as long as any client waits, and then as long
// as engines know its repeats.
func repeatWindow(s *settings.Settings) float64 {
	window := 0.0
	for _, c := range s.Scheduler.Classes {
		window = max(window, c.ClientTimeout+c.DedupWindow)
	}
	return window
}

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// ErrorBody words the answer to a request that could not be read, or for which there is no place.
func (f *Front) ErrorBody(status int, reason string, after float64) ([]http1.Field, []byte) {
	return retryFields(after), []byte(reason + "\n")
}

var textType = http1.Field{Name: "Content-Type", Value: "text/plain; charset=utf-8"}

func retryFields(after float64) []http1.Field {
	if after <= 0 {
		return []http1.Field{textType}
	}
	return []http1.Field{textType, {Name: "Retry-After", Value: strconv.FormatFloat(after, 'f', 3, 64)}}
}

// Serve answers one request, or hands it on.
func (f *Front) Serve(x *http1.Exchange, take func(protocol.RoutedRequest) bool) {
	say := func(status int, reason string) {
		f.log.Debug("not taken", "status", status, "reason", reason)
		x.Reply(status, []http1.Field{textType}, []byte(reason+"\n"))
	}
	switch {
	case x.Path == pathReady && (x.Method == "GET" || x.Method == "HEAD"):
		if !f.ready() {
			say(503, "not ready")
			return
		}
		say(200, "ready")
		return
	case x.Path != pathChat:
		say(404, "there is no such path")
		return
	case x.Method != "POST":
		say(405, "only POST is taken here")
		return
	}
	q, err := f.request(x.Request)
	if err != nil {
		say(400, err.Error())
		return
	}
	f.mu.Lock()
	fresh := f.recent.Add(time.Since(f.start).Seconds(), q.ID)
	f.mu.Unlock()
	if !fresh {
		say(409, "the id was taken before")
		return
	}
	f.log.Debug("asked", "request", q.ID, "class", q.Class, "session", q.Session, "budget", q.ClientTimeLeft, "retry", q.Retry,
		"returned", q.Returned, "prompt", q.PromptTokens, "prefix", q.PrefixTokens, "most", q.MaxOutputTokens)
	j := &job{front: f, id: q.ID, x: x, method: x.Method, target: x.Target(), body: x.Body,
		fields: http1.EndToEnd(x.Header, headID, headBudget), effect: f.effects[q.Class]}
	x.Body, x.Header = nil, nil // j and q hold what is needed
	if !take(protocol.RoutedRequest{Request: q, Exchange: j}) {
		say(503, "the node is stopping")
	}
}

// request reads what the module is told of a request. The error says what is wrong with it.
func (f *Front) request(r *http1.Request) (q scheduler.Request, err error) {
	get := func(name string, must bool) string {
		values := r.Header[name]
		switch {
		case err != nil:
		case len(values) > 1:
			err = fmt.Errorf("%s is given twice", name)
		case len(values) == 0 || values[0] == "":
			if must {
				err = fmt.Errorf("%s is missing", name)
			}
		default:
			return values[0]
		}
		return ""
	}
	q.ID = get(headID, true)
	class, tenant := get(headClass, true), get(headTenant, true)
	q.Session = get(headKey, false)
	budget, info, again := get(headBudget, true), get(headInfo, false), get(headAgain, false)
	if err != nil {
		return q, err
	}
	var ok bool
	if q.Class, ok = f.classes[class]; !ok {
		return q, fmt.Errorf("there is no class %q", clip(class))
	}
	if q.Tenant, ok = f.tenants[tenant]; !ok {
		return q, fmt.Errorf("there is no tenant %q", clip(tenant))
	}
	if !isID(q.ID) {
		return q, fmt.Errorf("%s is malformed", headID)
	}
	if len(q.Session) > maxKey {
		return q, fmt.Errorf("%s is too long", headKey)
	}
	if q.ClientTimeLeft, err = strconv.ParseFloat(budget, 64); err != nil || !(q.ClientTimeLeft > 0 && q.ClientTimeLeft <= maxBudget) {
		return q, fmt.Errorf("%s %q is not a time", headBudget, clip(budget))
	}
	switch again {
	case "":
	case "1":
		q.Retry = true
	case "again":
		q.Returned = true
	default:
		return q, fmt.Errorf("%s %q is not known", headAgain, clip(again))
	}
	if err = readInfo(info, &q); err != nil {
		return q, err
	}
	return q, readBody(r.Body, &q)
}

// isID tells whether an id can stand in a path as it is.
func isID(s string) bool {
	if len(s) > maxID {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "." && s != ".."
}

// readInfo reads the fields of X-Call-Info; those that are not known are passed over.
func readInfo(info string, q *scheduler.Request) error {
	if info == "" {
		return nil
	}
	for _, part := range strings.Split(info, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return fmt.Errorf("%s: %q is not name=value", headInfo, clip(part))
		}
		var to *float64
		switch name {
		case "prefix":
			if len(value) > maxKey {
				return fmt.Errorf("%s: prefix is too long", headInfo)
			}
			q.Prefix = value
			continue
		case "prompt_len":
			to = &q.PromptTokens
		case "prefix_len":
			to = &q.PrefixTokens
		case "max_out":
			to = &q.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxTokens) || n != math.Trunc(n) {
			return fmt.Errorf("%s: %s=%q is not a number of tokens", headInfo, name, clip(value))
		}
		*to = n
	}
	return nil
}

// readBody looks at a body and takes from it what the header does not say.
func readBody(body []byte, q *scheduler.Request) error {
	if !json.Valid(body) {
		return fmt.Errorf("the body is no JSON")
	}
	if bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return fmt.Errorf("the body is no object")
	}
	if q.PromptTokens == 0 {
		q.PromptTokens = math.Ceil(float64(len(body)) / charsToken)
	}
	if q.PrefixTokens > q.PromptTokens {
		return fmt.Errorf("%s: the prefix is longer than the prompt", headInfo)
	}
	if q.MaxOutputTokens == 0 {
		var b struct {
			Max float64 `json:"max_tokens"`
		}
		if json.Unmarshal(body, &b) != nil {
			return fmt.Errorf("max_tokens is no number")
		}
		if !(b.Max >= 0 && b.Max <= maxTokens) {
			return fmt.Errorf("max_tokens is out of range")
		}
		q.MaxOutputTokens = b.Max
	}
	return nil
}
