package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"

	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// Header fields of the protocol, in canonical form.
const (
	headerID       = "X-Call-Id"
	headerClass    = "X-Call-Class"
	headerTenant   = "X-Caller"
	headerSession  = "X-Route-Hash"
	headerTimeLeft = "X-Budget"
	headerInfo     = "X-Call-Info"
	headerRetry    = "X-Again"
	headerLoad     = "X-Load-Report"
	headerRejected = "X-Rejected"
)

// Paths of the protocol.
const (
	pathChat  = "/v1/chat/completions"
	pathReady = "/healthz"
	pathHolds = "/v1/holds/"
	pathList  = "/v1/servers"
)

// charsPerToken is how many characters a token is taken to have, where a request does not state its prompt's length.
const charsPerToken = 4

// Bounds of header fields.
const (
	maxID       = 64      // bytes of a request id
	maxKey      = 256     // bytes of a session or prefix
	maxTimeLeft = 3600    // seconds
	maxTokens   = 1 << 20 // more than a body can hold
)

// requestHeader reads header fields of a request. The first error stands.
type requestHeader struct {
	fields textproto.MIMEHeader
	err    error
}

// get returns the value of a field that may be given once; "" = it is absent.
func (h *requestHeader) get(name string) string {
	values := h.fields[name]
	if len(values) > 1 && h.err == nil {
		h.err = fmt.Errorf("%s is given twice", name)
	}
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// require returns the value of a field that must be given once.
func (h *requestHeader) require(name string) string {
	value := h.get(name)
	if value == "" && h.err == nil {
		h.err = fmt.Errorf("%s is missing", name)
	}
	return value
}

// parseRequest reads what the scheduler needs of a request. The error says what is wrong with it; clients read it.
func (f *Front) parseRequest(r *http1.Request) (q scheduler.Request, err error) {
	header := &requestHeader{fields: r.Header}
	q.ID = header.require(headerID)
	class := header.require(headerClass)
	tenant := header.require(headerTenant)
	q.Session = header.get(headerSession)
	timeLeft := header.require(headerTimeLeft)
	info := header.get(headerInfo)
	retry := header.get(headerRetry)
	if header.err != nil {
		return q, header.err
	}
	var ok bool
	if q.Class, ok = f.classes[class]; !ok {
		return q, fmt.Errorf("there is no class %q", truncate(class))
	}
	if q.Tenant, ok = f.tenants[tenant]; !ok {
		return q, fmt.Errorf("there is no tenant %q", truncate(tenant))
	}
	if !isID(q.ID) {
		return q, fmt.Errorf("%s is malformed", headerID)
	}
	if len(q.Session) > maxKey {
		return q, fmt.Errorf("%s is too long", headerSession)
	}
	q.ClientTimeLeft, err = strconv.ParseFloat(timeLeft, 64)
	if err != nil || !(q.ClientTimeLeft > 0 && q.ClientTimeLeft <= maxTimeLeft) {
		return q, fmt.Errorf("%s %q is not a time", headerTimeLeft, truncate(timeLeft))
	}
	switch retry {
	case "":
	case "1":
		q.Retry = true
	case "again":
		q.Returned = true
	default:
		return q, fmt.Errorf("%s %q is not known", headerRetry, truncate(retry))
	}
	if err = parseInfo(info, &q); err != nil {
		return q, err
	}
	return q, checkBody(r.Body, &q)
}

// isID tells whether an id can be part of a path without escapes.
func isID(s string) bool {
	if len(s) > maxID {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "." && s != ".."
}

// parseInfo reads the members of X-Call-Info; unknown ones are ignored.
func parseInfo(info string, q *scheduler.Request) error {
	if info == "" {
		return nil
	}
	for _, part := range strings.Split(info, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return fmt.Errorf("%s: %q is not name=value", headerInfo, truncate(part))
		}
		var to *float64
		switch name {
		case "prefix":
			if len(value) > maxKey {
				return fmt.Errorf("%s: prefix is too long", headerInfo)
			}
			q.Prefix = value
			continue
		case "prompt_len":
			to = &q.PromptTokens
		case "prefix_len":
			to = &q.PrefixTokens
		case "max_out":
			to = &q.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxTokens) || n != math.Trunc(n) {
			return fmt.Errorf("%s: %s=%q is not a number of tokens", headerInfo, name, truncate(value))
		}
		*to = n
	}
	return nil
}

// checkBody checks a body and reads from it what the header does not state.
func checkBody(body []byte, q *scheduler.Request) error {
	if !json.Valid(body) {
		return fmt.Errorf("the body is no JSON")
	}
	if bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return fmt.Errorf("the body is no object")
	}
	if q.PromptTokens == 0 {
		q.PromptTokens = math.Ceil(float64(len(body)) / charsPerToken)
	}
	if q.PrefixTokens > q.PromptTokens {
		return fmt.Errorf("%s: the prefix is longer than the prompt", headerInfo)
	}
	if q.MaxOutputTokens == 0 {
		var b struct {
			Max float64 `json:"max_tokens"`
		}
		if json.Unmarshal(body, &b) != nil {
			return fmt.Errorf("max_tokens is no number")
		}
		if !(b.Max >= 0 && b.Max <= maxTokens) {
			return fmt.Errorf("max_tokens is out of range")
		}
		q.MaxOutputTokens = b.Max
	}
	return nil
}
