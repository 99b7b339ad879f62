package settings

import (
	"fmt"

	"dillroute/scheduler"
)

// microsecondsPerSecond converts the objectives per 1,000 prompt tokens, which the object states in microseconds.
const microsecondsPerSecond = 1e6

// maxQuotedLength is the maximum number of bytes of a value that an error message quotes.
const maxQuotedLength = 60

// discoveryOnRequest is the discovery mode in which the scheduler polls the endpoint list itself.
const discoveryOnRequest = "on_request"

// stageBoth is the stage of an engine kind for which the object states none.
const stageBoth = "both"

// The values of the settings object, and the scheduler's values that they stand for.
var (
	effects = map[string]scheduler.Effect{
		"repeatable": scheduler.Idempotent,
		"by_key":     scheduler.IdempotentByKey,
		"once":       scheduler.AtMostOnce,
	}
	dedupScopes = map[string]scheduler.DedupScope{
		"":     scheduler.DedupFleet,
		"all":  scheduler.DedupFleet,
		"zone": scheduler.DedupZone,
		"cell": scheduler.DedupCell,
	}
	roles = map[string]scheduler.Role{
		"read":    scheduler.Prefill,
		"write":   scheduler.Decode,
		stageBoth: scheduler.Mixed,
	}
	reportStyles = map[string]scheduler.ReportStyle{
		"":         scheduler.ReportOff,
		"off":      scheduler.ReportOff,
		"inline":   scheduler.ReportInline,
		"on_probe": scheduler.ReportOnProbe,
	}
)

// schedulerConfig returns the scheduler's configuration. An error names the invalid field.
func (d *document) schedulerConfig() (scheduler.Config, error) {
	config := scheduler.Config{
		NodeIndex:            d.NodeIndex,
		NodeCount:            d.NodeCount,
		Zone:                 d.Zone,
		ZoneCount:            len(d.Zones),
		PollsDiscovery:       d.DiscoveryMode == discoveryOnRequest,
		ReservationOffered:   d.Family.ReservationOffered,
		DecodeEnginesPrefill: d.Family.DecodeEnginesPrefill,
		Tick:                 d.Tick,
		Limits:               d.schedulerLimits(),
		Rules:                d.schedulerRules(),
		Prices:               d.schedulerPrices(),
	}
	for i := range d.Classes {
		class, err := d.schedulerClass(i)
		if err != nil {
			return config, err
		}
		config.Classes = append(config.Classes, class)
	}
	for i := range d.Kinds {
		kind, err := d.schedulerKind(i)
		if err != nil {
			return config, err
		}
		config.Kinds = append(config.Kinds, kind)
	}
	for _, tenant := range d.Tenants {
		config.Tenants = append(config.Tenants, scheduler.Tenant{Quota: tenant.Quota})
	}
	var err error
	config.ReportStyle, err = lookUp("report.how", d.Report.Style, reportStyles)
	return config, err
}

func (d *document) schedulerLimits() scheduler.Limits {
	return scheduler.Limits{
		MaxAttempts:    d.Limits.MaxAttempts,
		Cancel:         d.Limits.Cancel,
		Probe:          d.Limits.Probe,
		HedgedRequests: d.Limits.HedgedRequests,
		RetryAfter:     d.Limits.RetryAfter,
		MaxRetryAfter:  d.Limits.MaxRetryAfter,
	}
}

func (d *document) schedulerRules() scheduler.Rules {
	return scheduler.Rules{
		AnswerSlack:       d.Rules.AnswerSlack,
		PollInterval:      d.Rules.PollInterval,
		SlowStartShare:    d.Rules.SlowStartShare,
		SlowStartDuration: d.Rules.SlowStartDuration,
		DrainGrace:        d.Rules.DrainGrace,
		OverloadMultiple:  d.Rules.OverloadMultiple,
		SlowStartWindow:   d.Rules.SlowStartWindow,
		StateReleaseLimit: d.Family.StateReleaseLimit,
	}
}

func (d *document) schedulerPrices() scheduler.Prices {
	return scheduler.Prices{
		Probe:       d.Prices.Probe,
		Waste:       d.Prices.Waste,
		CrossZone:   d.Prices.CrossZone,
		LateFailure: d.Prices.LateFailure,
		Transfer:    d.Family.TransferPrice,
	}
}

// schedulerClass returns the class with index i.
func (d *document) schedulerClass(i int) (class scheduler.Class, err error) {
	listed := &d.Classes[i]
	class = scheduler.Class{
		DedupWindow:            listed.DedupWindow,
		FirstTokenObjective:    listed.FirstTokenObjective,
		ObjectivePerHintSecond: listed.ObjectivePerHintSecond,
		ClientTimeout:          listed.ClientTimeout,
		PriorityWeight:         listed.PriorityWeight,
		LateValue:              listed.LateValue,
		ObjectivePer1KTokens:   numberAt(d.Family.ObjectivesPer1KTokens, i) / microsecondsPerSecond,
		OutputTokenObjective:   numberAt(d.Family.OutputTokenObjectives, i),
	}
	class.Effect, err = lookUp(fmt.Sprintf("classes[%d].effect", i), listed.Effect, effects)
	if err != nil {
		return class, err
	}
	class.DedupScope, err = lookUp(fmt.Sprintf("classes[%d].group", i), listed.DedupScope, dedupScopes)
	return class, err
}

// schedulerKind returns the engine kind with index i.
func (d *document) schedulerKind(i int) (kind scheduler.Kind, err error) {
	kind = scheduler.Kind{Memory: numberAt(d.Family.MemoryTokens, i)}
	stage := stageBoth
	if i < len(d.Family.Stages) {
		stage = d.Family.Stages[i]
	}
	kind.Role, err = lookUp(fmt.Sprintf("family_info.stage_of_kind[%d]", i), stage, roles)
	return kind, err
}

// lookUp returns the scheduler's value for the value of a field.
func lookUp[T any](field, value string, translations map[string]T) (T, error) {
	translated, ok := translations[value]
	if !ok {
		return translated, fmt.Errorf("%s: unknown value %q", field, clip(value))
	}
	return translated, nil
}

// numberAt returns the element with index i, or 0 if there is none.
func numberAt(numbers []float64, i int) float64 {
	if i < len(numbers) {
		return numbers[i]
	}
	return 0
}

// clip shortens a value for an error message.
func clip(value string) string {
	if len(value) > maxQuotedLength {
		return value[:maxQuotedLength] + "..."
	}
	return value
}
