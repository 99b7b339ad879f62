package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// goldenMask replaces text that differs from run to run.
type goldenMask struct {
	name        string
	pattern     *regexp.Regexp
	replacement string
}

// goldenMasks are applied in this order to everything read from the sockets.
var goldenMasks = []goldenMask{
	{"date of a response", regexp.MustCompile(`(?m)^(Date: ).*?(\r?)$`), `${1}DATE${2}`},
	{"loopback port", regexp.MustCompile(`127\.0\.0\.1:\d+`), `127.0.0.1:PORT`},
	{"port of a prefill engine's state", regexp.MustCompile(`("remote_port":)\d+`), `${1}PORT`},
	{"Unix time of a completion", regexp.MustCompile(`("created":) ?[1-9]\d*`), `${1}TIME`},
	{"time left, as sent to engines", regexp.MustCompile(`(?m)^(X-Budget: )\d+(\.\d+)?(\r?)$`), `${1}SECONDS${3}`},
	{"time before a retry (s)", regexp.MustCompile(`(?mi)^(Retry-After: )[\d.]+(\r?)$`), `${1}SECONDS${2}`},
	{"time before a retry (ms)", regexp.MustCompile(`(?mi)^(Retry-After-Ms: )\d+(\r?)$`), `${1}MILLISECONDS${2}`},
}

func maskGolden(text string) string {
	for _, m := range goldenMasks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	return text
}

// maskMessage masks one request or response. The content length is masked too if it is that of a body in which something is masked. Chunks
// are joined, because where a chunk ends depends on timing.
func maskMessage(raw string) string {
	head, body, found := strings.Cut(raw, "\r\n\r\n")
	if !found {
		return maskGolden(raw)
	}
	if strings.Contains(head, "\r\nTransfer-Encoding: chunked") {
		body = joinChunks(body)
	}
	masked := maskGolden(body)
	if m := contentLength.FindStringSubmatch(head + "\r\n"); m != nil && masked != body && m[1] == strconv.Itoa(len(body)) {
		head = strings.TrimSuffix(contentLength.ReplaceAllString(head+"\r\n", "Content-Length: OF-THE-BODY\r"), "\r\n")
	}
	return maskGolden(head) + "\r\n\r\n" + masked
}

// joinChunks joins the chunks of a body. Anything that is not a valid chunk is returned unchanged, after a line that says so.
func joinChunks(body string) string {
	var b strings.Builder
	for body != "" {
		line, rest, _ := strings.Cut(body, "\r\n")
		n, err := strconv.ParseUint(line, 16, 31)
		size := int(n)
		switch {
		case err == nil && line == "0" && rest == "\r\n":
			return b.String() + "(last chunk)\n"
		case err != nil || size == 0 || strconv.FormatUint(n, 16) != line || len(rest) < size+2 || rest[size:size+2] != "\r\n":
			return b.String() + "(not a chunk)\n" + body
		}
		b.WriteString(rest[:size])
		body = rest[size+2:]
	}
	return b.String() + "(no last chunk)\n"
}

// goldenWriteBytes writes bytes as lines of text, with line ends written as \r and \n and all bytes beyond ASCII escaped.
func goldenWriteBytes(b *strings.Builder, prefix, bytes string) {
	if bytes == "" {
		fmt.Fprintf(b, "%s(nothing)\n", prefix)
		return
	}
	for _, l := range strings.SplitAfter(bytes, "\n") {
		if l == "" {
			continue
		}
		q := strconv.QuoteToASCII(l)
		fmt.Fprintf(b, "%s%s\n", prefix, strings.ReplaceAll(q[1:len(q)-1], `\"`, `"`))
	}
}

// goldenTap is a TCP proxy between a node and an engine that records what the node sends.
type goldenTap struct {
	listener      net.Listener
	engineAddress string

	mu         sync.Mutex
	conns      []net.Conn
	recordings []*strings.Builder // by connection
	wg         sync.WaitGroup
}

func newGoldenTap(t *testing.T, engineAddress string) *goldenTap {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &goldenTap{listener: l, engineAddress: engineAddress}
	p.wg.Add(1)
	go p.accept()
	return p
}

func (p *goldenTap) addr() string { return p.listener.Addr().String() }

func (p *goldenTap) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		e, err := net.Dial("tcp", p.engineAddress)
		if err != nil {
			c.Close()
			continue
		}
		p.mu.Lock()
		recording := &strings.Builder{}
		p.conns, p.recordings = append(p.conns, c, e), append(p.recordings, recording)
		p.mu.Unlock()
		p.wg.Add(2)
		go p.forward(e, c, recording)
		go p.forward(c, e, nil)
	}
}

// forward copies bytes from one connection to the other until either ends. It also appends them to recording, if that is not nil.
func (p *goldenTap) forward(to, from net.Conn, recording *strings.Builder) {
	defer p.wg.Done()
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && recording != nil {
			p.mu.Lock()
			recording.Write(b[:n])
			p.mu.Unlock()
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			return
		}
	}
}

func (p *goldenTap) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// size returns the number of recorded bytes that take has not returned.
func (p *goldenTap) size() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.recordings {
		n += s.Len()
	}
	return n
}

// take returns the requests that were recorded since the last call. They are masked, and sorted because connections have no order.
func (p *goldenTap) take() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var requests []string
	for _, s := range p.recordings {
		requests = append(requests, splitRequests(s.String())...)
		s.Reset()
	}
	slices.Sort(requests)
	return requests
}

// splitRequests splits the bytes of a connection into masked requests.
func splitRequests(raw string) []string {
	var requests []string
	for raw != "" {
		head, _, found := strings.Cut(raw, "\r\n\r\n")
		size := len(raw)
		if found {
			size = len(head) + 4
			if m := contentLength.FindStringSubmatch(head); m != nil {
				n, _ := strconv.Atoi(m[1])
				size = min(len(raw), size+n)
			}
		}
		requests = append(requests, maskMessage(raw[:size]))
		raw = raw[size:]
	}
	return requests
}

var contentLength = regexp.MustCompile(`(?mi)^Content-Length: (\d+)\r?$`)

// goldenTaps are the taps of a node's engines, by engine id.
type goldenTaps map[string]*goldenTap

// awaitQuiet waits until nothing has been sent to any engine for goldenQuietTime.
func (ts goldenTaps) awaitQuiet() {
	for last, since := -1, time.Now(); time.Since(since) < goldenQuietTime; time.Sleep(5 * time.Millisecond) {
		n := 0
		for _, p := range ts {
			n += p.size()
		}
		if n != last {
			last, since = n, time.Now()
		}
	}
}

// goldenQuietTime is for how long nothing must have been sent to any engine before the recordings count as complete.
const goldenQuietTime = 150 * time.Millisecond

func (ts goldenTaps) close() {
	for _, p := range ts {
		p.close()
	}
}

// goldenCase is a request with a name. before is called before the request is sent.
type goldenCase struct {
	name, request string
	before        func() // nil = nothing
}

// goldenSend sends a request on a connection of its own. It returns all bytes that are received, and the state of the connection after
// that.
func goldenSend(t *testing.T, address, request string) (response, connState string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", "refused"
	}
	defer c.Close()
	return goldenSendOn(c, request)
}

func goldenSendOn(c net.Conn, request string) (response, connState string) {
	c.SetDeadline(time.Now().Add(15 * time.Second))
	io.WriteString(c, request)
	var got strings.Builder
	br := bufio.NewReader(io.TeeReader(c, &got))
	method, _, _ := strings.Cut(request, " ")
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	switch {
	case err != nil && strings.Contains(err.Error(), "timeout"):
		return got.String(), "open, answer not whole"
	case err != nil:
		return got.String(), "closed, answer not whole"
	}
	if !resp.Close {
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	}
	if _, err := br.ReadByte(); err != nil && strings.Contains(err.Error(), "timeout") {
		return got.String(), "open"
	}
	return got.String(), "closed"
}

// goldenShutdown sends the first part of a request, starts the shutdown of the node, sends the rest once the node is no longer ready, and
// sends the whole request again when the node has stopped.
func goldenShutdown(t *testing.T, b *strings.Builder, address, request string, taps goldenTaps, shutdown func(), ready func() bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	splitAt := len(request) - 20
	io.WriteString(c, request[:splitAt])
	time.Sleep(100 * time.Millisecond) // until the node has begun to read the request
	done := make(chan struct{})
	go func() { defer close(done); shutdown() }()
	for end := time.Now().Add(10 * time.Second); ready() && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
	}
	response, connState := goldenSendOn(c, request[splitAt:])
	taps.awaitQuiet()
	goldenWriteCase(b, "request that ends when the node takes no more", request, response, connState, taps)
	<-done
	response, connState = goldenSend(t, address, request)
	goldenWriteCase(b, "after the stop", request, response, connState, taps)
}

// goldenRun sends the requests of a table one after another and writes what was sent on all sockets. It does not wait for the engines to
// become quiet after a rejection, unless that is the last request: anything sent late is then written with a later request.
func goldenRun(t *testing.T, b *strings.Builder, address string, taps goldenTaps, cases []goldenCase) {
	t.Helper()
	for i, c := range cases {
		if c.before != nil {
			c.before()
		}
		response, connState := goldenSend(t, address, c.request)
		if i == len(cases)-1 || !strings.HasPrefix(response, "HTTP/1.1 4") {
			taps.awaitQuiet()
		}
		goldenWriteCase(b, c.name, c.request, response, connState, taps)
	}
}

func goldenWriteCase(b *strings.Builder, name, request, response, connState string, taps goldenTaps) {
	fmt.Fprintf(b, "=== %s\n", name)
	if len(request) > 2000 {
		request = fmt.Sprintf("%s...%d bytes in all", request[:200], len(request))
	}
	goldenWriteBytes(b, "> ", request)
	goldenWriteBytes(b, "< ", maskMessage(response))
	fmt.Fprintf(b, "connection: %s\n", connState)
	var names []string
	for name := range taps {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, r := range taps[name].take() {
			goldenWriteBytes(b, name+" > ", r)
		}
	}
}
