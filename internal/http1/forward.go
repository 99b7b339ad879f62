package http1

import (
	"maps"
	"net/textproto"
	"slices"
	"strings"
)

// hopFields are header fields that concern one connection, or the framing of one message, and are not passed on by an
// intermediary (RFC 9110, sections 7.2, 7.6.1, 8.6 and 10.1.1), in canonical form.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the fields of a request's header that an intermediary passes on, in order of their names. Fields that
// Connection names are left out, and so are those in except, which are given in canonical form.
func EndToEnd(h textproto.MIMEHeader, except ...string) []Field {
	var fields []Field
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if hopFields[name] || slices.Contains(except, name) || hasListToken(h["Connection"], strings.ToLower(name)) {
			continue
		}
		for _, value := range h[name] {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}
