package http1

import (
	"net/http"
	"strconv"
	"time"
)

func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nDate: "...)
	b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
	return append(b, "\r\n"...)
}

func appendClose(b []byte, closeAfter bool) []byte {
	if closeAfter {
		return append(b, "Connection: close\r\n"...)
	}
	return b
}

// appendReply appends a complete response; headOnly omits the body, for a HEAD request.
func appendReply(b []byte, status int, fields []Field, body []byte, closeAfter, headOnly bool) []byte {
	b = appendHeader(appendStatus(b, status), fields)
	if status != http.StatusNoContent {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(appendClose(b, closeAfter), "\r\n"...)
	if headOnly {
		return b
	}
	return append(b, body...)
}

// appendHeader appends fields in the given order. It omits control bytes from values, since they could split the message.
func appendHeader(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		for i := range len(f.Value) {
			if c := f.Value[i]; c >= ' ' && c != 0x7f || c == '\t' {
				b = append(b, c)
			}
		}
		b = append(b, "\r\n"...)
	}
	return b
}

// Field is one header field to send.
type Field struct{ Name, Value string }
