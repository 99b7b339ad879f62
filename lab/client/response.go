package client

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dillroute/lab/emulator"
	"dillroute/lab/record"
)

// maxEventBytes is the longest line of a stream that a client reads.
const maxEventBytes = 1 << 20

// exchange sends a request and reads the response. It calls firstToken on the first event of a stream or, if the response is
// not a stream, when it is complete.
func (c *Client) exchange(httpRequest *http.Request, r *Request, firstToken func()) Result {
	result := Result{Outcome: record.ConnectionLost}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		result.Err = err
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			result.Outcome = record.Unreachable
		}
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.RetryHarmless = response.Header.Get("X-Should-Retry") == "true"
	if ms, err := strconv.Atoi(response.Header.Get("Retry-After-Ms")); err == nil {
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	want, _ := emulator.ExpectedResponse(r.Messages, r.Mark, r.MaxTokens)
	switch {
	case response.StatusCode != http.StatusOK:
		result.readError(response.Body)
	case r.NoStream:
		result.readCompletion(response.Body, want, firstToken)
	default:
		result.readStream(response.Body, want, r.DisconnectAfter, firstToken)
	}
	return result
}

// readError reads the body of an error response, which is a rejection if the response declares a retry harmless.
func (r *Result) readError(body io.Reader) {
	text, err := io.ReadAll(body)
	if err != nil {
		r.Err = err
		return
	}
	r.Code = errorCode(text)
	r.Outcome = record.Failed
	if r.RetryHarmless {
		r.Outcome = record.Rejected
	}
}

// errorCode returns the code of an error body, or "" if the body is not an error object.
func errorCode(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &e) // any other body has no code
	return e.Error.Code
}

// readCompletion reads a response that is one body instead of a stream.
func (r *Result) readCompletion(body io.Reader, want string, firstToken func()) {
	text, err := io.ReadAll(body)
	if err != nil {
		r.Err = err
		return
	}
	firstToken()
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &completion); err != nil || len(completion.Choices) != 1 {
		r.Err = fmt.Errorf("response is not a chat completion with one choice: %v", err)
		return
	}
	r.Text = completion.Choices[0].Message.Content
	r.TextCorrect = r.Text == want
	r.Outcome = record.Served
}

// chunk is the data of one stream event: a part of the response or an error.
type chunk struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// text returns the part of the response text in the chunk.
func (c *chunk) text() string {
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return text.String()
}

// readStream reads server-sent events until the stream ends, or until the client disconnects after disconnectAfter events (0 = never).
func (r *Result) readStream(body io.Reader, want string, disconnectAfter int, firstToken func()) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var text strings.Builder
	ended := false
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if ended {
			r.Err = errors.New("event received after [DONE]")
			r.Outcome = record.ConnectionLost
			return
		}
		r.Events++
		if r.Events == 1 {
			firstToken()
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			r.Err = err
			return
		}
		if len(event.Error) > 0 {
			r.failStream(data, text.String(), want)
			return
		}
		text.WriteString(event.text())
		if disconnectAfter > 0 && r.Events >= disconnectAfter {
			r.Err = errDisconnected
			return
		}
	}
	r.endStream(text.String(), want, ended, scanner.Err())
}

// failStream handles an error event. The text received before it must be a prefix of the expected text.
func (r *Result) failStream(data, text, want string) {
	r.Code = errorCode([]byte(data))
	r.Outcome = record.Failed
	r.Text = text
	r.TextCorrect = strings.HasPrefix(want, text)
}

// endStream handles the end of the body. The response is complete only if [DONE] was received before.
func (r *Result) endStream(text, want string, ended bool, err error) {
	r.Text = text
	r.Err = err
	if !ended {
		r.TextCorrect = strings.HasPrefix(want, text)
		return
	}
	r.Outcome = record.Served
	r.TextCorrect = text == want
}
