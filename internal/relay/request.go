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

// charsPerToken is the assumed number of bytes per token. It serves to estimate a prompt's length that the request does not state.
const charsPerToken = 4

// Bounds of header fields.
const (
	maxID       = 64      // bytes of a request id
	maxKey      = 256     // bytes of a session or prefix
	maxTimeLeft = 3600    // seconds
	maxTokens   = 1 << 20 // of a prompt or a response; more than a body of the largest size can hold
)

// requestHeader reads header fields of a request and stores the first error.
type requestHeader struct {
	fields textproto.MIMEHeader
	err    error
}

// get returns the value of a field that may be given at most once; "" = absent.
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

// require returns the value of a field that must be given exactly once.
func (h *requestHeader) require(name string) string {
	value := h.get(name)
	if value == "" && h.err == nil {
		h.err = fmt.Errorf("%s is missing", name)
	}
	return value
}

// parseRequest reads the parts of a request that the scheduler needs. The text of an error is sent to the client. The names in the request
// are copies, because the node remembers them for longer than the header.
func (f *Front) parseRequest(r *http1.Request) (request scheduler.Request, err error) {
	header := &requestHeader{fields: r.Header}
	request.ID = strings.Clone(header.require(headerID))
	class := header.require(headerClass)
	tenant := header.require(headerTenant)
	request.Session = strings.Clone(header.get(headerSession))
	timeLeft := header.require(headerTimeLeft)
	info := header.get(headerInfo)
	retry := header.get(headerRetry)
	if header.err != nil {
		return request, header.err
	}
	var ok bool
	if request.Class, ok = f.classes[class]; !ok {
		return request, fmt.Errorf("there is no class %q", truncate(class))
	}
	if request.Tenant, ok = f.tenants[tenant]; !ok {
		return request, fmt.Errorf("there is no tenant %q", truncate(tenant))
	}
	if !isValidID(request.ID) {
		return request, fmt.Errorf("%s is malformed", headerID)
	}
	if len(request.Session) > maxKey {
		return request, fmt.Errorf("%s is too long", headerSession)
	}
	request.ClientTimeLeft, err = strconv.ParseFloat(timeLeft, 64)
	if err != nil || !(request.ClientTimeLeft > 0 && request.ClientTimeLeft <= maxTimeLeft) {
		return request, fmt.Errorf("%s %q is not a time", headerTimeLeft, truncate(timeLeft))
	}
	switch retry {
	case "":
	case "1":
		request.Retry = true
	case "again":
		request.Returned = true
	default:
		return request, fmt.Errorf("%s %q is not known", headerRetry, truncate(retry))
	}
	if err = parseInfo(info, &request); err != nil {
		return request, err
	}
	return request, parseBody(r.Body, &request)
}

// isValidID reports whether an id can be part of a path without escapes.
func isValidID(s string) bool {
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

// parseInfo parses the members of X-Call-Info. It ignores unknown ones.
func parseInfo(info string, request *scheduler.Request) error {
	if info == "" {
		return nil
	}
	for _, part := range strings.Split(info, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return fmt.Errorf("%s: %q is not name=value", headerInfo, truncate(part))
		}
		var dest *float64
		switch name {
		case "prefix":
			if len(value) > maxKey {
				return fmt.Errorf("%s: prefix is too long", headerInfo)
			}
			request.Prefix = strings.Clone(value)
			continue
		case "prompt_len":
			dest = &request.PromptTokens
		case "prefix_len":
			dest = &request.PrefixTokens
		case "max_out":
			dest = &request.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxTokens) || n != math.Trunc(n) {
			return fmt.Errorf("%s: %s=%q is not a number of tokens", headerInfo, name, truncate(value))
		}
		*dest = n
	}
	return nil
}

// parseBody validates a body. If the header does not state the prompt's length, parseBody estimates it from the body's length. If the
// header does not state the maximum output, parseBody reads max_tokens.
func parseBody(body []byte, request *scheduler.Request) error {
	if !json.Valid(body) {
		return fmt.Errorf("the body is no JSON")
	}
	if bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return fmt.Errorf("the body is no object")
	}
	if request.PromptTokens == 0 {
		request.PromptTokens = math.Ceil(float64(len(body)) / charsPerToken)
	}
	if request.PrefixTokens > request.PromptTokens {
		return fmt.Errorf("%s: the prefix is longer than the prompt", headerInfo)
	}
	if request.MaxOutputTokens == 0 {
		var b struct {
			Max float64 `json:"max_tokens"`
		}
		if json.Unmarshal(body, &b) != nil {
			return fmt.Errorf("max_tokens is no number")
		}
		if !(b.Max >= 0 && b.Max <= maxTokens) {
			return fmt.Errorf("max_tokens is out of range")
		}
		request.MaxOutputTokens = b.Max
	}
	return nil
}
