package platform

import (
	"fmt"
	"strings"
	"time"
)

// streamHead is the status line and header of a streamed response.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Events of a stream other than those that carry its text.
const (
	usageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":9," +
		"\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
	finalEvent = "data: [DONE]\n\n"
)

// secondResponseDelay is the time between the final response and the second one of DelayedSecondResponse.
const secondResponseDelay = 10 * time.Millisecond

// commentInterval is the time between two SSE comments of EndlessComments.
const commentInterval = 10 * time.Millisecond

const (
	// streamPause is how long PauseMidStream sends nothing. A client waits 5 s for the next event of a running engine.
	streamPause = 4750 * time.Millisecond
	// slowEventTime is how long SlowEvent takes for one event, of which a piece is sent every slowEventInterval.
	slowEventTime     = 6 * time.Second
	slowEventInterval = 500 * time.Millisecond
)

// stream writes the events of a response. It injects the fault of the exchange in the middle of the stream or at its end.
func (x *exchange) stream() bool {
	e := x.engine
	x.write(streamHead)
	e.mu.Lock()
	e.streamsStarted++
	e.mu.Unlock()
	for i := 0; i < x.operation.ResponseTokens; i++ {
		if i == x.operation.ResponseTokens/2 && x.breakStream() {
			return false
		}
		text := EventText(x.operation.Name, i)
		event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
		if !x.writeInTime(i, event) || !x.wait(e.TokenInterval) {
			return false
		}
	}
	return x.endStream()
}

// writeInTime writes an event. Of the event in the middle of a stream, it injects the faults that only change its time.
func (x *exchange) writeInTime(position int, event string) bool {
	if position != x.operation.ResponseTokens/2 {
		return x.writeEvents(event)
	}
	switch x.fault {
	case PauseMidStream:
		return x.wait(streamPause) && x.writeEvents(event)
	case SlowEvent:
		return x.writeSlowly(event)
	}
	return x.writeEvents(event)
}

// writeSlowly writes an event in pieces that take slowEventTime.
func (x *exchange) writeSlowly(event string) bool {
	const pieces = int(slowEventTime / slowEventInterval)
	for i := range pieces {
		piece := event[i*len(event)/pieces : (i+1)*len(event)/pieces]
		if !x.writeEvents(piece) || !x.wait(slowEventInterval) {
			return false
		}
	}
	return true
}

// breakStream injects the fault of the exchange if it is a mid-stream fault. It returns whether it has injected one, which ends the stream.
func (x *exchange) breakStream() bool {
	switch x.fault {
	case CloseMidStream:
	case StallMidStream:
		<-x.disconnected
	case EndlessComments:
		for x.writeChunk(": still here\n\n") {
			time.Sleep(commentInterval)
		}
	case MalformedChunkSize:
		x.writeAndStall("zz\r\ndata: spoilt\n\n\r\n")
	case ChunkSizeMismatch:
		x.writeAndStall("4\r\ndata: spoilt and longer\n\n\r\n")
	case HugeChunk:
		x.writeHugeChunk()
	default:
		return false
	}
	return true
}

// writeHugeChunk writes the size line of a chunk of 3 GB, and 4 MB of the chunk's data.
func (x *exchange) writeHugeChunk() {
	x.write("c0000000\r\n")
	for range 64 {
		if _, err := x.conn.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
	<-x.disconnected
}

// endStream writes the events and the chunk that end a stream.
func (x *exchange) endStream() bool {
	loadReport := "util=0.3,queue=0,x0=0.2"
	if x.fault == MalformedLoadReport {
		loadReport = "util=often"
	}
	x.writeEvents(usageEvent)
	x.writeFinalEvent()
	x.writeComment(": X-Load-Report: " + loadReport)
	if x.fault == CloseInLastChunk {
		x.write("0\r\n")
		return false
	}
	x.write("0\r\n\r\n")
	x.engine.mu.Lock()
	x.engine.streamsCompleted++
	x.engine.mu.Unlock()
	switch x.fault {
	case SecondResponse:
		x.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	case DelayedSecondResponse:
		return x.sendSecondResponse()
	}
	return true
}

// writeFinalEvent writes the final event, and what the fault of the exchange puts in its place or behind it.
func (x *exchange) writeFinalEvent() {
	switch x.fault {
	case NoFinalEvent:
	case HalfEvent:
		x.writeEvents(usageEvent[:len(usageEvent)/2])
	case HalfFinalEvent:
		x.writeEvents(strings.TrimSuffix(finalEvent, "\n"))
	case HalfEventAfterFinal:
		x.writeEvents(finalEvent + usageEvent[:len(usageEvent)/2])
	default:
		x.writeEvents(finalEvent)
	}
}

// writeComment writes the comment that ends a stream, unless the fault of the exchange ends the stream before it.
func (x *exchange) writeComment(comment string) {
	switch x.fault {
	case NoFinalEvent, HalfEvent, HalfFinalEvent, HalfEventAfterFinal:
	case CommentBlock:
		x.writeEvents(comment + "\n\n")
	case CutComment:
		x.writeEvents(comment)
	case SeveralComments:
		for _, line := range []string{":\n", comment + "\n", ": bye\n"} {
			x.writeEvents(line)
			time.Sleep(commentInterval)
		}
	default: // PROTOCOL: "as a comment line"
		x.writeEvents(comment + "\n")
	}
}

// writeEvents writes lines of a stream as one chunk, in the form that the fault of the exchange gives to lines.
func (x *exchange) writeEvents(text string) bool {
	switch x.fault {
	case CRLFLines:
		text = strings.ReplaceAll(text, "\n", "\r\n")
	case CRLines:
		text = strings.ReplaceAll(text, "\n", "\r")
	case OtherFields:
		text = strings.ReplaceAll(text, "data: ", "event: message\nid: 7\ndata:")
		if !x.markWritten {
			text = "\uFEFFretry: 100\n\n" + text
			x.markWritten = true
		}
	}
	return x.writeChunk(text)
}

// sendSecondResponse writes a stream that no request asked for, some milliseconds after the final response.
func (x *exchange) sendSecondResponse() bool {
	time.Sleep(secondResponseDelay)
	return x.write(streamHead + "30\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"no\"}}]}\n\n\r\n0\r\n\r\n")
}

func (x *exchange) writeChunk(text string) bool {
	return x.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}
