package node_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// goldenMask replaces what differs from run to run.
type goldenMask struct {
	name string
	find *regexp.Regexp
	put  string
}

// goldenMasks are applied in this order to all bytes on the sockets.
var goldenMasks = []goldenMask{
	{"date of an answer", regexp.MustCompile(`(?m)^(Date: ).*?(\r?)$`), `${1}DATE${2}`},
	{"loopback port", regexp.MustCompile(`127\.0\.0\.1:\d+`), `127.0.0.1:PORT`},
	{"port of a prefill engine's state", regexp.MustCompile(`("remote_port":)\d+`), `${1}PORT`},
	{"Unix time of a completion", regexp.MustCompile(`("created":) ?[1-9]\d*`), `${1}TIME`},
	{"time left, as engines are told", regexp.MustCompile(`(?m)^(X-Budget: )\d+(\.\d+)?(\r?)$`), `${1}SECONDS${3}`},
	{"wait before a further try (s)", regexp.MustCompile(`(?mi)^(Retry-After: )[\d.]+(\r?)$`), `${1}SECONDS${2}`},
	{"wait before a further try (ms)", regexp.MustCompile(`(?mi)^(Retry-After-Ms: )\d+(\r?)$`), `${1}MILLISECONDS${2}`},
}

func maskGolden(text string) string {
	for _, m := range goldenMasks {
		text = m.find.ReplaceAllString(text, m.put)
	}
	return text
}

// maskMessage masks one request or answer. A length that fits a body of which something is masked is masked as well, and chunks
// are joined: where one ends depends on time.
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

// joinChunks joins the chunks of a body; what is not a chunk in good order stays as it is, after a line that says so.
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

// goldenWire writes bytes as lines of text: line ends as \r and \n, all bytes beyond ASCII escaped.
func goldenWire(b *strings.Builder, prefix, bytes string) {
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

// goldenTap stands between a node and an engine and keeps what the node sends.
type goldenTap struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	conns []net.Conn
	sent  []*strings.Builder // by connection
	wg    sync.WaitGroup
}

func newGoldenTap(t *testing.T, to string) *goldenTap {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &goldenTap{l: l, to: to}
	p.wg.Add(1)
	go p.accept()
	return p
}

func (p *goldenTap) addr() string { return p.l.Addr().String() }

func (p *goldenTap) accept() {
	defer p.wg.Done()
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		e, err := net.Dial("tcp", p.to)
		if err != nil {
			c.Close()
			continue
		}
		p.mu.Lock()
		text := &strings.Builder{}
		p.conns, p.sent = append(p.conns, c, e), append(p.sent, text)
		p.mu.Unlock()
		p.wg.Add(2)
		go p.pass(e, c, text)
		go p.pass(c, e, nil)
	}
}

// pass passes bytes on until either side ends, and keeps them.
func (p *goldenTap) pass(to, from net.Conn, keep *strings.Builder) {
	defer p.wg.Done()
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && keep != nil {
			p.mu.Lock()
			keep.Write(b[:n])
			p.mu.Unlock()
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			return
		}
	}
}

func (p *goldenTap) close() {
	p.l.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// size is how many bytes were kept.
func (p *goldenTap) size() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sent {
		n += s.Len()
	}
	return n
}

// take returns the requests that came since the last call, masked and in alphabetic order, since connections have no order.
func (p *goldenTap) take() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, s := range p.sent {
		all = append(all, splitRequests(s.String())...)
		s.Reset()
	}
	slices.Sort(all)
	return all
}

// splitRequests splits the bytes of a connection into its requests.
func splitRequests(raw string) []string {
	var all []string
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
		all = append(all, maskMessage(raw[:size]))
		raw = raw[size:]
	}
	return all
}

var contentLength = regexp.MustCompile(`(?mi)^Content-Length: (\d+)\r?$`)

// goldenTaps are the taps of a node's engines, by engine.
type goldenTaps map[string]*goldenTap

// settle waits until no engine has been sent anything for a while.
func (ts goldenTaps) settle() {
	for last, since := -1, time.Now(); time.Since(since) < goldenQuiet; time.Sleep(5 * time.Millisecond) {
		n := 0
		for _, p := range ts {
			n += p.size()
		}
		if n != last {
			last, since = n, time.Now()
		}
	}
}

// goldenQuiet is how long engines must be sent nothing to count as settled.
const goldenQuiet = 150 * time.Millisecond

func (ts goldenTaps) close() {
	for _, p := range ts {
		p.close()
	}
}

// goldenCase is a named request and what is done before it.
type goldenCase struct {
	name, request string
	before        func() // nil = nothing
}

// goldenAsk sends a request on a connection of its own and returns all bytes that come back, and what became of the connection.
func goldenAsk(t *testing.T, address, request string) (answer, end string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", "refused"
	}
	defer c.Close()
	return goldenAskOn(c, request)
}

func goldenAskOn(c net.Conn, request string) (answer, end string) {
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

// goldenStop sends the first half of a request, has the node told to stop, sends the other half once the node takes no more,
// and waits for the node's end.
func goldenStop(t *testing.T, b *strings.Builder, address, request string, taps goldenTaps, stop func(), ready func() bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	half := len(request) - 20
	io.WriteString(c, request[:half])
	time.Sleep(100 * time.Millisecond) // it has begun
	done := make(chan struct{})
	go func() { defer close(done); stop() }()
	for end := time.Now().Add(10 * time.Second); ready() && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
	}
	answer, end := goldenAskOn(c, request[half:])
	taps.settle()
	goldenWrite(b, "request that ends when the node takes no more", request, answer, end, taps)
	<-done
	answer, end = goldenAsk(t, address, request)
	goldenWrite(b, "after the stop", request, answer, end, taps)
}

// goldenRun makes the requests of a table one after another and writes what passed on all sockets. After a refusal engines are
// not waited for, other than after the last request: what comes late then is seen beside a later request.
func goldenRun(t *testing.T, b *strings.Builder, address string, taps goldenTaps, cases []goldenCase) {
	t.Helper()
	for i, c := range cases {
		if c.before != nil {
			c.before()
		}
		answer, end := goldenAsk(t, address, c.request)
		if i == len(cases)-1 || !strings.HasPrefix(answer, "HTTP/1.1 4") {
			taps.settle()
		}
		goldenWrite(b, c.name, c.request, answer, end, taps)
	}
}

func goldenWrite(b *strings.Builder, name, request, answer, end string, taps goldenTaps) {
	fmt.Fprintf(b, "=== %s\n", name)
	if len(request) > 2000 {
		request = fmt.Sprintf("%s...%d bytes in all", request[:200], len(request))
	}
	goldenWire(b, "> ", request)
	goldenWire(b, "< ", maskMessage(answer))
	fmt.Fprintf(b, "connection: %s\n", end)
	var names []string
	for name := range taps {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, r := range taps[name].take() {
			goldenWire(b, name+" > ", r)
		}
	}
}

// compareGolden compares a text with the file of the name given, and prints the first line that differs.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wants, gots := strings.Split(string(content), "\n"), strings.Split(got, "\n")
	section := ""
	for i := range max(len(wants), len(gots)) {
		w, g := "(no line)", "(no line)"
		if i < len(wants) {
			w = wants[i]
		}
		if i < len(gots) {
			g = gots[i]
		}
		if strings.HasPrefix(w, "=== ") {
			section = w
		}
		if w != g {
			t.Fatalf("%s line %d differs, after %q\nwant %s\ngot  %s", path, i+1, section, w, g)
		}
	}
}
