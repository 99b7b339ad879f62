package http1

import (
	"net/textproto"
	"slices"
	"testing"
)

// EndToEnd omits the fields that concern one connection and returns all others unchanged, including repeated ones.
func TestEndToEndOmitsHopByHopFields(t *testing.T) {
	h := textproto.MIMEHeader{"Host": {"a"}, "Content-Length": {"3"}, "Connection": {"close, X-Here"}, "X-Here": {"1"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Expect": {"100-continue"}, "Keep-Alive": {"5"}, "Upgrade": {"h2c"}, "X-Budget": {"4.000"},
		"Idempotency-Key": {"k 1"}, "X-Twice": {"a", "b"}, "Content-Type": {"application/json"}}
	got := EndToEnd(h, "X-Budget")
	want := []Field{{"Content-Type", "application/json"}, {"Idempotency-Key", "k 1"}, {"X-Twice", "a"}, {"X-Twice", "b"}}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
