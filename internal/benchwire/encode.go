package benchwire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"dillroute/scheduler"
)

const (
	// outputBufferBytes is the size of the output buffer.
	outputBufferBytes = 1 << 18
	// noNode stands for no node. Nodes are numbered from 0.
	noNode = -1
)

// Encoder writes replies to batches. Call Actions and SchedulerFailed for the nodes of a batch, and then EndReply.
type Encoder struct {
	output *bufio.Writer
	node   int // node of the latest SOURCE line of this reply, or noNode
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{output: bufio.NewWriterSize(w, outputBufferBytes), node: noNode}
}

// Actions writes the actions of one node. Write errors are returned by EndReply.
func (e *Encoder) Actions(node int, actions []scheduler.Action) error {
	if len(actions) == 0 {
		return nil
	}
	if node != e.node {
		fmt.Fprintf(e.output, "SOURCE\tnode_id=%d\n", node)
		e.node = node
	}
	for _, action := range actions {
		line, err := formatAction(action)
		if err != nil {
			return err
		}
		e.output.WriteString(line)
		e.output.WriteByte('\n')
	}
	return nil
}

// SchedulerFailed writes that the scheduler of a node has failed, and why. Write errors are returned by EndReply.
func (e *Encoder) SchedulerFailed(node int, text string) {
	fmt.Fprintf(e.output, "SOURCE\tnode_id=%d\nBROKEN\tbody_text=%s\n", node, oneLine(text))
	e.node = node
}

// EndReply ends the reply to the batch with the given serial and flushes it.
func (e *Encoder) EndReply(serial string) error {
	fmt.Fprintf(e.output, "OK\tserial=%s\n", serial)
	e.node = noNode
	return e.output.Flush()
}

// formatAction returns the line of an action, without the newline.
func formatAction(action scheduler.Action) (string, error) {
	switch action := action.(type) {
	case scheduler.Send:
		return formatSend(action), nil
	case scheduler.Cancel:
		return fmt.Sprintf("ABORT_ATTEMPT\top_id=%s\tn=%d", action.ID, action.Attempt), nil
	case scheduler.Reserve:
		return "RESERVE\top_id=" + action.ID + "\tengine=" + action.Engine, nil
	case scheduler.Release:
		return "UNHOLD\top_id=" + action.ID, nil
	case scheduler.Reject:
		return formatReject(action), nil
	case scheduler.Fail:
		return "FAIL\top_id=" + action.ID, nil
	case scheduler.SetTimer:
		return fmt.Sprintf("SCHEDULE\ttime_s=%s\tctx=%d", seconds(action.At), action.Token), nil
	case scheduler.Probe:
		return "HEALTH_CHECK\tengine=" + action.Engine, nil
	case scheduler.WatchEndpoints:
		return "STREAM_CHANGES\tenable=" + flagText(action.On), nil
	case scheduler.FetchEndpoints:
		return "REFRESH", nil
	case scheduler.Log:
		return "SAY_LOG\tbody_text=" + oneLine(action.Text), nil
	}
	return "", fmt.Errorf("benchwire: unknown action type %T", action)
}

func formatSend(send scheduler.Send) string {
	line := "DELIVER\top_id=" + send.ID + "\tengine=" + send.Engine
	if send.Timeout != 0 {
		line += "\tcap_s=" + seconds(send.Timeout)
	}
	return line
}

func formatReject(reject scheduler.Reject) string {
	line := "REFUSE\top_id=" + reject.ID
	if reject.RetryAfter > 0 {
		line += "\tbackoff_s=" + seconds(reject.RetryAfter)
	}
	return line
}

func flagText(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

// oneLine replaces the characters that end a line or a field with spaces.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' || r == '\t' {
			return ' '
		}
		return r
	}, text)
}

// seconds formats a time to the microsecond, rounded up so that a timer is never early.
func seconds(t float64) string {
	return strconv.FormatFloat(math.Ceil(t*1e6-1e-3)/1e6, 'f', -1, 64)
}
