package outcome

import (
	"testing"

	"dillroute/scheduler"
)

// classifyTable is the table of docs/design/node.md, row by row.
var classifyTable = []struct {
	name     string
	evidence Evidence
	want     Classification
}{
	{"not started",
		Evidence{Stage: Decode, Progress: NotStarted, Cause: RequestEnded},
		Classification{Status: scheduler.NotSent}},
	{"request ended while connecting",
		Evidence{Stage: Decode, Progress: Connecting, Cause: RequestEnded},
		Classification{Status: scheduler.NotSent}},
	{"client disconnected while connecting",
		Evidence{Stage: Decode, Progress: Connecting, Cause: ClientDisconnected},
		Classification{Status: scheduler.NotSent}},
	{"connection refused",
		Evidence{Stage: Decode, Progress: Connecting, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectFailed}},
	{"connection timed out",
		Evidence{Stage: Decode, Progress: Connecting, Cause: AttemptTimedOut},
		Classification{Status: scheduler.ConnectFailed}},
	{"canceled while connecting",
		Evidence{Stage: Decode, Progress: Connecting, Cause: CanceledByScheduler},
		Classification{Status: scheduler.ConnectFailed}},
	{"connection broken while the request is written",
		Evidence{Stage: Decode, Progress: Connected, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectFailed}},
	{"connection broken after the request",
		Evidence{Stage: Decode, Progress: RequestWritten, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectionLost, MayHaveRun: true}},
	{"connection broken within the response",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectionLost, MayHaveRun: true}},
	{"connection broken in the stream",
		Evidence{Stage: Decode, Progress: Streaming, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectionLost, MayHaveRun: true}},
	{"attempt timed out",
		Evidence{Stage: Decode, Progress: RequestWritten, Cause: AttemptTimedOut},
		Classification{Status: scheduler.TimedOut, MayHaveRun: true}},
	{"stream stalled",
		Evidence{Stage: Decode, Progress: Streaming, Cause: StreamStalled},
		Classification{Status: scheduler.TimedOut, MayHaveRun: true}},
	{"canceled",
		Evidence{Stage: Decode, Progress: RequestWritten, Cause: CanceledByScheduler},
		Classification{Status: scheduler.Canceled, MayHaveRun: true}},
	{"request ended by another response",
		Evidence{Stage: Decode, Progress: RequestWritten, Cause: RequestEnded},
		Classification{Status: scheduler.Canceled, MayHaveRun: true}},
	{"client disconnected",
		Evidence{Stage: Decode, Progress: Streaming, Cause: ClientDisconnected},
		Classification{Status: scheduler.Canceled, MayHaveRun: true}},
	{"malformed response",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: MalformedResponse},
		Classification{Status: scheduler.ServerError, MayHaveRun: true}},
	{"decode done",
		Evidence{Stage: Decode, Progress: Streaming, Cause: ResponseComplete, ResponseKind: DecodeDone},
		Classification{Status: scheduler.Completed, MayHaveRun: true}},
	{"engine rejected",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected},
		Classification{Status: scheduler.Rejected}},
	{"engine rejected again",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected},
		Classification{Status: scheduler.Rejected}},
	{"state missing",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: StateMissing},
		Classification{Status: scheduler.Rejected, Info: InfoStateMissing}},
	{"engine error",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineError},
		Classification{Status: scheduler.ServerError, MayHaveRun: true}},
	{"prefill response to a decode attempt",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: PrefillDone, CachedTokens: 7},
		Classification{Status: scheduler.Prefilled, Info: 7}},
	{"decode response to a prefill attempt",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: DecodeDone, DecodeHeader: true},
		Classification{Status: scheduler.ServerError, MayHaveRun: true, MayHoldState: true}},
	{"decode response to a prefill attempt, broken",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ConnectionBroken, DecodeHeader: true},
		Classification{Status: scheduler.ConnectionLost, MayHaveRun: true, MayHoldState: true}},
	{"decode response to a prefill attempt at a process that has prefilled before",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: MalformedResponse, PrefillProcess: true, DecodeHeader: true},
		Classification{Status: scheduler.ServerError, MayHaveRun: true, MayHoldState: true}},
	{"invalid request, unconfirmed",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 400},
		Classification{Status: scheduler.Rejected}},
	{"invalid request, confirmed by a second engine",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 400,
			ConfirmedElsewhere: true},
		Classification{Status: scheduler.Completed, PassThrough: true}},
	{"invalid request at the last attempt",
		Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 422,
			LastAttempt: true},
		Classification{Status: scheduler.Completed, PassThrough: true}},
	{"prefill done",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: PrefillDone, CachedTokens: 7},
		Classification{Status: scheduler.Prefilled, Info: 7}},
	{"prefill, engine error",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete},
		Classification{Status: scheduler.ServerError, MayHaveRun: true, MayHoldState: true}},
	{"prefill, engine error of a process that has prefilled before",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, PrefillProcess: true},
		Classification{Status: scheduler.ServerError, MayHoldState: true}},
	{"prefill, connection broken",
		Evidence{Stage: Prefill, Progress: RequestWritten, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectionLost, MayHaveRun: true, MayHoldState: true}},
	{"prefill, connection broken on which a prefill was completed before",
		Evidence{Stage: Prefill, Progress: RequestWritten, Cause: ConnectionBroken, PrefillProcess: true},
		Classification{Status: scheduler.ConnectionLost, MayHoldState: true}},
	{"prefill, request not written",
		Evidence{Stage: Prefill, Progress: Connected, Cause: ConnectionBroken},
		Classification{Status: scheduler.ConnectFailed}},
	{"prefill canceled",
		Evidence{Stage: Prefill, Progress: RequestWritten, Cause: CanceledByScheduler},
		Classification{Status: scheduler.Canceled, MayHaveRun: true, MayHoldState: true}},
	{"prefill rejected",
		Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected},
		Classification{Status: scheduler.Rejected}},
}

func TestClassifyFollowsTable(t *testing.T) {
	for _, c := range classifyTable {
		if got := Classify(c.evidence); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// everyEvidence calls check with each combination of stage, progress, cause and kind of response.
func everyEvidence(check func(Evidence)) {
	for stage := Prefill; stage <= Decode; stage++ {
		for progress := NotStarted; progress <= Streaming; progress++ {
			for cause := ResponseComplete; cause <= ClientDisconnected; cause++ {
				for kind := EngineError; kind <= InvalidRequest; kind++ {
					for _, prefillProcess := range []bool{false, true} {
						for _, decodeHeader := range []bool{false, true} {
							check(Evidence{Stage: stage, Progress: progress, Cause: cause, ResponseKind: kind,
								PrefillProcess: prefillProcess, DecodeHeader: decodeHeader})
						}
					}
				}
			}
		}
	}
}

// statusProvesNotRun reports whether a status proves that the request never ran (package scheduler, Status).
func statusProvesNotRun(status scheduler.Status) bool {
	switch status {
	case scheduler.Rejected, scheduler.ConnectFailed, scheduler.NotSent, scheduler.Prefilled:
		return true
	}
	return false
}

// A request that ran at an engine that was listed as a prefill engine must not be sent again. For all evidence, MayHaveRun and the status
// do not contradict each other, and the stage of an attempt alone proves nothing.
func TestStatusAndPossibleEffectAgree(t *testing.T) {
	everyEvidence(func(evidence Evidence) {
		class := Classify(evidence)
		prefillProcess := evidence.Stage == Prefill && evidence.PrefillProcess && !evidence.DecodeHeader
		if prefillProcess && class.MayHaveRun {
			t.Fatalf("%+v: got MayHaveRun for a prefill at a prefill engine, which has no effect", evidence)
		}
		if class.MayHaveRun && statusProvesNotRun(class.Status) {
			t.Fatalf("%+v: got MayHaveRun with the status %v, which proves the contrary", evidence, class.Status)
		}
		written := evidence.Cause != ResponseComplete && evidence.Progress >= RequestWritten
		if written && !prefillProcess && !class.MayHaveRun {
			t.Fatalf("%+v: got no MayHaveRun for a request that was written completely", evidence)
		}
	})
}

// For all evidence, ProvesNotRun does not contradict the classification: an attempt that may have run is not proven not to have
// run.
func TestProvesNotRunIsNoStrongerThanClassification(t *testing.T) {
	everyEvidence(func(evidence Evidence) {
		if evidence.Cause == ResponseComplete && evidence.Progress < HeaderReceived {
			return // impossible: a response cannot be complete before its header was received
		}
		if ProvesNotRun(evidence) && Classify(evidence).MayHaveRun {
			t.Errorf("%+v: proven not to have run, though it may have", evidence)
		}
	})
}

func TestEnumerationsPrintNames(t *testing.T) {
	for got, want := range map[string]string{
		Decode.String():              "decode",
		Streaming.String():           "streaming",
		ClientDisconnected.String():  "client_disconnected",
		CanceledByScheduler.String(): "canceled_by_scheduler",
		InvalidRequest.String():      "invalid_request",
		Cause(99).String():           "cause(99)",
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
