package benchwire

import (
	"encoding/hex"
	"strconv"
	"strings"

	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// The words of the protocol for the scheduler's enumerations.
var (
	statuses = map[string]scheduler.Status{
		"served":          scheduler.Completed,
		"server_error":    scheduler.ServerError,
		"turned_away":     scheduler.Rejected,
		"no_answer":       scheduler.TimedOut,
		"no_connection":   scheduler.ConnectFailed,
		"connection_lost": scheduler.ConnectionLost,
		"called_off":      scheduler.Canceled,
		"not_sent":        scheduler.NotSent,
		"parsed":          scheduler.Prefilled,
	}
	updateForms = map[string]scheduler.UpdateForm{
		"incr":      scheduler.UpdateIncremental,
		"total":     scheduler.UpdateComplete,
		"warm_copy": scheduler.UpdateStale,
		"lost":      scheduler.UpdateFailed,
	}
	engineStates = map[string]scheduler.EngineState{
		"ready":    scheduler.EngineReady,
		"draining": scheduler.EngineDraining,
		"gone":     scheduler.EngineRemoved,
	}
)

// eventDecoders holds the decoders of the messages that consist of one line and stand for one event.
var eventDecoders = map[string]func(r *record, config *scheduler.Config) scheduler.Event{
	"WAKEUP":         decodeTimerFired,
	"DEMAND":         decodeRequest,
	"FLOWING":        decodeFirstToken,
	"GONE":           decodeClientDisconnected,
	"HELD_NOTE":      decodeReserveResult,
	"CHECKED":        decodeProbeResult,
	"CLOSED_ATTEMPT": decodeOutcome,
	"WHISPER":        decodePeerMessage,
}

func decodeTimerFired(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.TimerFired{Token: int64(r.integer("ctx", required))}
}

func decodeRequest(r *record, config *scheduler.Config) scheduler.Event {
	return scheduler.Request{
		ID:              r.text("op_id"),
		Class:           r.index("tier_class", len(config.Classes)),
		Tenant:          r.index("project", max(1, len(config.Tenants))),
		Session:         r.fields["session_id"],
		Prefix:          r.fields["system_prompt"],
		ClientTimeLeft:  r.number("time_left_s", required),
		DurationHint:    r.amount("work_s"),
		PromptTokens:    r.amount("prompt_tokens"),
		PrefixTokens:    r.amount("prefix_tokens"),
		MaxOutputTokens: r.amount("output_cap"),
		Retry:           r.flag("is_retry"),
		Returned:        r.flag("returned"),
	}
}

func decodeFirstToken(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.FirstToken{
		ID:      r.text("op_id"),
		Attempt: r.integer("n", optional),
		Engine:  r.text("engine"),
		Spent:   r.amount("spent_s"),
	}
}

func decodeClientDisconnected(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.ClientDisconnected{ID: r.text("op_id")}
}

func decodeReserveResult(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.ReserveResult{
		ID:      r.text("op_id"),
		Attempt: r.integer("n", optional),
		Engine:  r.fields["engine"],
		OK:      r.integer("sort", required) == 1,
	}
}

func decodeProbeResult(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.ProbeResult{
		Engine: r.text("engine"),
		Status: lookup(r, "disposition", statuses),
		Spent:  r.amount("spent_s"),
		Report: decodeReport(r),
	}
}

func decodeOutcome(r *record, _ *scheduler.Config) scheduler.Event {
	return scheduler.Outcome{
		ID:           r.text("op_id"),
		Attempt:      r.integer("n", optional),
		Engine:       r.text("engine"),
		Status:       lookup(r, "disposition", statuses),
		Info:         int(r.number("info", optional)),
		Spent:        r.amount("spent_s"),
		RequestEnded: r.flag("finished"),
		Report:       decodeReport(r),
	}
}

func decodePeerMessage(r *record, _ *scheduler.Config) scheduler.Event {
	var data []byte
	if payload := r.fields["payload"]; payload != "-" && payload != "" {
		decoded, err := hex.DecodeString(payload)
		if err != nil {
			r.fail("payload", "not hexadecimal")
		}
		data = decoded
	}
	return scheduler.PeerMessage{From: r.integer("neighbour", optional), Data: data}
}

func decodeEngine(r *record, config *scheduler.Config) scheduler.Engine {
	return scheduler.Engine{
		ID:       r.text("engine"),
		Cell:     r.integer("cohort", optional),
		Zone:     r.index("hall", max(1, config.ZoneCount)),
		Kind:     r.index("generation_hw", len(config.Kinds)),
		State:    lookup(r, "state", engineStates),
		Weight:   r.number("capacity_hint", optional),
		BootTime: r.number("boot_time_s", optional),
	}
}

// decodeReport returns the load report of a line, or nil if it has none. It ignores unknown figures.
func decodeReport(r *record) *scheduler.LoadReport {
	text := r.fields["report"]
	if text == "" || text == "-" {
		return nil
	}
	report := &scheduler.LoadReport{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, ":")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			r.fail("report", "%q is not of the form name:number", clip(part))
			return nil
		}
		settings.SetReportField(report, name, number)
	}
	return report
}
