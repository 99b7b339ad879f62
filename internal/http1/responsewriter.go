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

func appendClose(b []byte, close bool) []byte {
	if close {
		return append(b, "Connection: close\r\n"...)
	}
	return b
}

// appendReply writes a complete response; the one to HEAD has no body.
func appendReply(b []byte, status int, fields []Field, body []byte, close, head bool) []byte {
	b = appendHeader(appendStatus(b, status), fields)
	if status != http.StatusNoContent {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(appendClose(b, close), "\r\n"...)
	if head {
		return b
	}
	return append(b, body...)
}

// appendHeader writes fields in the order given. Control bytes, which could split the message, are left out of values.
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

// Field is one header field to be sent.
type Field struct{ Name, Value string }
