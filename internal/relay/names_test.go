package relay

import (
	"fmt"
	"net/textproto"
	"runtime"
	"strings"
	"testing"

	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// Guards against memory that grows without end while one client sends requests under ever new names: a name that is remembered must not
// keep the header line in memory from which it was cut.
func TestNamesDoNotKeepTheHeaderInMemory(t *testing.T) {
	const (
		requests     = 1000
		padding      = 12 << 10 // bytes of each header line besides the name
		maxHeapBytes = 2 << 20
	)
	front := &Front{classes: map[string]int{"chat": 0}, tenants: map[string]int{"branch": 0}}
	var remembered []scheduler.Request
	before := heapBytes()
	for i := range requests {
		line := strings.Repeat(" ", padding)
		request, err := front.parseRequest(&http1.Request{
			Header: textproto.MIMEHeader{
				headerID:       {strings.TrimSpace(fmt.Sprint(line, "id", i))},
				headerClass:    {"chat"},
				headerTenant:   {"branch"},
				headerSession:  {strings.TrimSpace(fmt.Sprint(line, "s", i))},
				headerTimeLeft: {"4"},
				headerInfo:     {fmt.Sprint("prefix=p", i, ",more=", line)},
			},
			Body: []byte(`{"max_tokens":10}`),
		})
		if err != nil {
			t.Fatal(err)
		}
		remembered = append(remembered, request)
	}
	if grown := heapBytes() - before; grown > maxHeapBytes {
		t.Errorf("%d remembered requests hold %d bytes, want at most %d", len(remembered), grown, maxHeapBytes)
	}
	runtime.KeepAlive(remembered)
}

// heapBytes returns the number of bytes that are in use on the heap.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
