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

// Parts of the engine's responses. A number between eventBegin and eventEnd completes an event.
const (
	eventBegin = `data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"word `
	eventEnd        = `"},"finish_reason":null}]}` + "\n\n"
	finalEvent      = "data: [DONE]\n\n"
	prefillResponse = `{"choices":[],"usage":{},"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"e"}}`
)

// Engine serves a minimal emulated engine for prefill and decode that responds as fast as it can. The request member x_events is the
// number of events in the response, and x_every_ms the interval between them. Engine returns when the listener is closed.
func Engine(l net.Listener) error {
	return (&http.Server{Handler: http.HandlerFunc(serveChat)}).Serve(l)
}

func serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if bytes.Contains(body, []byte(`"do_remote_decode":true`)) { // a prefill request
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

// numberIn returns the integer value of a member in a JSON text, or 0 if the member is missing. It searches the text without parsing it.
func numberIn(body []byte, member string) int {
	_, rest, _ := bytes.Cut(body, []byte(`"`+member+`":`))
	number := 0
	for len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' {
		number = number*10 + int(rest[0]-'0')
		rest = rest[1:]
	}
	return number
}

// proxyIdleConnections is the maximum number of idle connections to the backend that the reverse proxy keeps open.
const proxyIdleConnections = 256

// Proxy serves a plain httputil.ReverseProxy for the address of a backend. It returns when the listener is closed.
func Proxy(l net.Listener, backend string) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	proxy.FlushInterval = -1 // flush each write immediately
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: proxyIdleConnections}
	return (&http.Server{Handler: proxy}).Serve(l)
}
