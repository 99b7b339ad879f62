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

// minRecentIDs is the minimum number of request ids that are remembered. A node receives that many within minutes.
const minRecentIDs = 8192

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
	recentEpoch time.Time // time 0 of recent
}

// NewFront returns a front that makes its attempts through the given engine client. ready reports whether the node accepts requests.
func NewFront(s *settings.Settings, engines *Engines, ready func() bool, log *slog.Logger) *Front {
	f := &Front{log: log, engines: engines, ready: ready, classes: indexByName(s.Classes), tenants: indexByName(s.Tenants),
		recent: classify.NewRecentIDs(minRecentIDs, idWindow(s)), recentEpoch: time.Now()}
	for _, c := range s.Scheduler.Classes {
		f.effects = append(f.effects, c.Effect)
	}
	return f
}

// idWindow returns the time for which a repeated id is rejected as a duplicate, in seconds: the largest sum of client
// timeout and deduplication window of any class.
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

// ErrorBody returns the response to a request that could not be read, or that exceeds the connection limit. after is the value of
// Retry-After in seconds; 0 = none.
func (f *Front) ErrorBody(status int, reason string, after float64) ([]http1.Field, []byte) {
	return responseFields(after), []byte(reason + "\n")
}

var textContentType = http1.Field{Name: "Content-Type", Value: "text/plain; charset=utf-8"}

func responseFields(after float64) []http1.Field {
	if after <= 0 {
		return []http1.Field{textContentType}
	}
	return []http1.Field{textContentType, {Name: "Retry-After", Value: strconv.FormatFloat(after, 'f', 3, 64)}}
}

// Serve responds to one request, or passes it to submit.
func (f *Front) Serve(x *http1.Exchange, submit func(protocol.RoutedRequest) bool) {
	respond := func(status int, reason string) {
		f.log.Debug("request rejected", "status", status, "reason", reason)
		x.Reply(status, []http1.Field{textContentType}, []byte(reason+"\n"))
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
	request, err := f.parseRequest(x.Request)
	if err != nil {
		respond(400, err.Error())
		return
	}
	f.mu.Lock()
	isNew := f.recent.Add(time.Since(f.recentEpoch).Seconds(), request.ID)
	f.mu.Unlock()
	if !isNew {
		respond(409, "the id was taken before")
		return
	}
	f.log.Debug("request received", "request", request.ID, "class", request.Class, "session", request.Session,
		"time_left_s", request.ClientTimeLeft, "retry", request.Retry, "returned", request.Returned,
		"prompt_tokens", request.PromptTokens, "prefix_tokens", request.PrefixTokens, "max_output_tokens", request.MaxOutputTokens)
	e := &exchange{front: f, id: request.ID, client: x, method: x.Method, target: x.Target(), body: x.Body,
		fields: http1.EndToEnd(x.Header, headerID, headerTimeLeft), effect: f.effects[request.Class]}
	x.Body, x.Header = nil, nil // exchange and request hold the parts that are still needed
	if !submit(protocol.RoutedRequest{Request: request, Exchange: e}) {
		respond(503, "the node is stopping")
	}
}
