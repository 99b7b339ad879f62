package relay

import (
	"log/slog"
	"strconv"
	"sync"
	"time"

	"dillroute/internal/decide/classify"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// recentIDs is how many request ids are remembered at least: minutes of a node's traffic.
const recentIDs = 8192

// Front is the client side of the protocol. It is safe for concurrent use.
type Front struct {
	log     *slog.Logger
	engines *Engines
	ready   func() bool
	classes map[string]int
	tenants map[string]int
	effects []scheduler.Effect // by class

	mu          sync.Mutex
	recent      *classify.RecentIDs
	recentStart time.Time // zero of the times of recent
}

// NewFront returns a front that makes its attempts through the engine client given. ready tells whether the node may be sent requests.
func NewFront(s *settings.Settings, engines *Engines, ready func() bool, log *slog.Logger) *Front {
	f := &Front{log: log, engines: engines, ready: ready, classes: indexByName(s.Classes), tenants: indexByName(s.Tenants),
		recent: classify.NewRecentIDs(recentIDs, idWindow(s)), recentStart: time.Now()}
	for _, c := range s.Scheduler.Classes {
		f.effects = append(f.effects, c.Effect)
	}
	return f
}

// idWindow is for how long a repeated id means its first request, in seconds: the longest client timeout and deduplication window.
func idWindow(s *settings.Settings) float64 {
	window := 0.0
	for _, c := range s.Scheduler.Classes {
		window = max(window, c.ClientTimeout+c.DedupWindow)
	}
	return window
}

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// ErrorBody is the response to a request that could not be read, or that came over the connection limit. after is Retry-After in
// seconds; 0 = none.
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

// Serve responds to one request, or hands it to take.
func (f *Front) Serve(x *http1.Exchange, take func(protocol.RoutedRequest) bool) {
	respond := func(status int, reason string) {
		f.log.Debug("request rejected", "status", status, "reason", reason)
		x.Reply(status, []http1.Field{textType}, []byte(reason+"\n"))
	}
	switch {
	case x.Path == pathReady && (x.Method == "GET" || x.Method == "HEAD"):
		if !f.ready() {
			respond(503, "not ready")
			return
		}
		respond(200, "ready")
		return
	case x.Path != pathChat:
		respond(404, "there is no such path")
		return
	case x.Method != "POST":
		respond(405, "only POST is taken here")
		return
	}
	q, err := f.parseRequest(x.Request)
	if err != nil {
		respond(400, err.Error())
		return
	}
	f.mu.Lock()
	fresh := f.recent.Add(time.Since(f.recentStart).Seconds(), q.ID)
	f.mu.Unlock()
	if !fresh {
		respond(409, "the id was taken before")
		return
	}
	f.log.Debug("request received", "request", q.ID, "class", q.Class, "session", q.Session,
		"time_left_s", q.ClientTimeLeft, "retry", q.Retry, "returned", q.Returned,
		"prompt_tokens", q.PromptTokens, "prefix_tokens", q.PrefixTokens, "max_output_tokens", q.MaxOutputTokens)
	e := &exchange{front: f, id: q.ID, client: x, method: x.Method, target: x.Target(), body: x.Body,
		fields: http1.EndToEnd(x.Header, headerID, headerTimeLeft), effect: f.effects[q.Class]}
	x.Body, x.Header = nil, nil // the exchange and the request hold what is needed
	if !take(protocol.RoutedRequest{Request: q, Exchange: e}) {
		respond(503, "the node is stopping")
	}
}
