package http1

import (
	"maps"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopFields are the header fields, in canonical form, that apply to one connection or to the framing of one message, and that an
// intermediary does not forward (RFC 9110, sections 7.2, 7.6.1, 8.6 and 10.1.1).
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the fields of a request's header that an intermediary forwards, sorted by name. It omits fields listed in Connection
// and those in except, whose names must be in canonical form.
func EndToEnd(h textproto.MIMEHeader, except ...string) []Field {
	var fields []Field
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if hopByHopFields[name] || slices.Contains(except, name) || hasListToken(h["Connection"], strings.ToLower(name)) {
			continue
		}
		for _, value := range h[name] {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}
