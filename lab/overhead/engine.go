package overhead

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"time"
)

// Texts of the engine's responses.
const (
	eventBegin = `data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"word `
	eventEnd        = `"},"finish_reason":null}]}` + "\n\n"
	finalEvent      = "data: [DONE]\n\n"
	prefillResponse = `{"choices":[],"usage":{},"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"e"}}`
)

// Engine serves the bare form of a decode engine, as fast as it can. The member x_events of a request says how many events the
// response has, and x_every_ms how long to wait before each but the first. It returns when the listener is closed.
func Engine(l net.Listener) error {
	return (&http.Server{Handler: http.HandlerFunc(serveChat)}).Serve(l)
}

func serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if bytes.Contains(body, []byte(`"do_remote_decode":true`)) { // the prefill stage
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, prefillResponse)
		return
	}
	events := max(1, numberIn(body, "x_events"))
	interval := time.Duration(numberIn(body, "x_every_ms")) * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	var event []byte
	for i := range events {
		if interval > 0 && i > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
		}
		event = append(event[:0], eventBegin...)
		event = strconv.AppendInt(event, int64(i), 10)
		event = append(event, eventEnd...)
		if _, err := w.Write(event); err != nil || controller.Flush() != nil {
			return
		}
	}
	io.WriteString(w, finalEvent)
}

// numberIn returns the number of a member of a JSON text, without parsing the text; 0 = there is none.
func numberIn(body []byte, member string) int {
	_, rest, _ := bytes.Cut(body, []byte(`"`+member+`":`))
	number := 0
	for len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' {
		number = number*10 + int(rest[0]-'0')
		rest = rest[1:]
	}
	return number
}

// proxyIdleConnections is how many idle connections to the backend the reverse proxy keeps.
const proxyIdleConnections = 256

// Proxy serves a plain reverse proxy to a backend. It returns when the listener is closed.
func Proxy(l net.Listener, backend string) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	proxy.FlushInterval = -1 // each write is flushed at once
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: proxyIdleConnections}
	return (&http.Server{Handler: proxy}).Serve(l)
}
