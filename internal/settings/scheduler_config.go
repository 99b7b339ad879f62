package settings

import (
	"fmt"

	"dillroute/scheduler"
)

// microsecondsPerSecond converts the objectives of a prompt, which are in microseconds.
const microsecondsPerSecond = 1e6

// maxQuotedLength bounds the bytes of a value that an error quotes.
const maxQuotedLength = 60

// registryOnRequest is the registry mode in which the scheduler polls discovery itself.
const registryOnRequest = "on_request"

// stageBoth is the stage of a kind that has none stated.
const stageBoth = "both"

// The values of the settings object and what they mean.
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

// schedulerConfig returns the scheduler's part of the settings.
func (d *document) schedulerConfig() (scheduler.Config, error) {
	config := scheduler.Config{
		NodeIndex:            d.Rank,
		NodeCount:            d.Balancers,
		Zone:                 d.Zone,
		ZoneCount:            len(d.Localities),
		PollsDiscovery:       d.RegistryMode == registryOnRequest,
		ReservationOffered:   d.Family.Ahead,
		DecodeEnginesPrefill: d.Family.LocalRead,
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
	for i := range d.MachineTypes {
		kind, err := d.schedulerKind(i)
		if err != nil {
			return config, err
		}
		config.Kinds = append(config.Kinds, kind)
	}
	for _, account := range d.Accounts {
		config.Tenants = append(config.Tenants, scheduler.Tenant{Quota: account.Quota})
	}
	var err error
	config.ReportStyle, err = lookUp("report.how", d.Report.How, reportStyles)
	return config, err
}

func (d *document) schedulerLimits() scheduler.Limits {
	return scheduler.Limits{
		MaxAttempts:    d.Limits.MaxAttempts,
		Cancel:         d.Limits.Cancel,
		Probe:          d.Limits.MayProbe,
		HedgedRequests: d.Limits.ParallelTries,
		RetryAfter:     d.Limits.RetryAfter,
		MaxRetryAfter:  d.Limits.MaxRetryAfter,
	}
}

func (d *document) schedulerRules() scheduler.Rules {
	return scheduler.Rules{
		AnswerSlack:       d.Guarantees.AnswerSlack,
		PollInterval:      d.Guarantees.AskEvery,
		SlowStartShare:    d.Guarantees.SlowStartShare,
		SlowStartDuration: d.Guarantees.SlowStart,
		DrainGrace:        d.Guarantees.DrainGrace,
		OverloadMultiple:  d.Guarantees.FallMultiple,
		SlowStartWindow:   d.Guarantees.TipAfter,
		StateReleaseLimit: d.Family.StateReleaseLimit,
	}
}

func (d *document) schedulerPrices() scheduler.Prices {
	return scheduler.Prices{
		Probe:       d.Tariffs.Probe,
		Waste:       d.Tariffs.Waste,
		CrossZone:   d.Tariffs.CrossZone,
		LateFailure: d.Tariffs.LateFail,
		Transfer:    d.Family.Transfer,
	}
}

// schedulerClass returns class number i.
func (d *document) schedulerClass(i int) (class scheduler.Class, err error) {
	listed := &d.Classes[i]
	class = scheduler.Class{
		DedupWindow:            listed.KeyTTL,
		FirstTokenObjective:    listed.Target,
		ObjectivePerHintSecond: listed.AimStretch,
		ClientTimeout:          listed.HardLimit,
		PriorityWeight:         listed.Worth,
		LateValue:              listed.LateValue,
		ObjectivePer1KTokens:   numberAt(d.Family.AimPerK, i) / microsecondsPerSecond,
		OutputTokenObjective:   numberAt(d.Family.TokenAim, i),
	}
	class.Effect, err = lookUp(fmt.Sprintf("classes[%d].effect", i), listed.Effect, effects)
	if err != nil {
		return class, err
	}
	class.DedupScope, err = lookUp(fmt.Sprintf("classes[%d].group", i), listed.Group, dedupScopes)
	return class, err
}

// schedulerKind returns kind number i.
func (d *document) schedulerKind(i int) (kind scheduler.Kind, err error) {
	kind = scheduler.Kind{Memory: numberAt(d.Family.Tokens, i)}
	stage := stageBoth
	if i < len(d.Family.Stage) {
		stage = d.Family.Stage[i]
	}
	kind.Role, err = lookUp(fmt.Sprintf("family_info.stage_of_kind[%d]", i), stage, roles)
	return kind, err
}

// lookUp translates a field's value.
func lookUp[T any](field, value string, translations map[string]T) (T, error) {
	translated, ok := translations[value]
	if !ok {
		return translated, fmt.Errorf("%s: unknown value %q", field, clip(value))
	}
	return translated, nil
}

// numberAt returns element i, 0 where there is none.
func numberAt(numbers []float64, i int) float64 {
	if i < len(numbers) {
		return numbers[i]
	}
	return 0
}

// clip shortens a value for an error.
func clip(value string) string {
	if len(value) > maxQuotedLength {
		return value[:maxQuotedLength] + "..."
	}
	return value
}
