package scenario

import "cmp"

// setDefault sets a field to a value if the script gives no value for it, or gives the zero value.
func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }

// defaults sets the default values of fields that the script does not give.
func (s *Script) defaults() {
	setDefault(&s.Nodes, 2)
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "day"}}
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Share, 1)
	}
	setDefault(&s.Load.MaxRequests, 20000)
	setDefault(&s.Clients.Backoff, 0.3)
	setDefault(&s.Clients.FailureDetectionDelay, 1)
	setDefault(&s.Clients.AttemptShare, 1)
	setDefault(&s.List.Delay, 0.5)
	setDefault(&s.Limits.MaxAttempts, 4)
	s.Rules.defaults()
	for i := range s.Kinds {
		s.Kinds[i].defaults(s.Rules)
	}
	for i := range s.Engines {
		setDefault(&s.Engines[i].Count, 1)
		setDefault(&s.Engines[i].Speed, 1)
	}
	for i := range s.Classes {
		s.Classes[i].defaults()
	}
}

func (r *Rules) defaults() {
	setDefault(&r.AnswerSlack, 0.05)
	setDefault(&r.DrainGrace, 0.25)
	setDefault(&r.OverloadMultiple, 4)
	setDefault(&r.SlowStartWindow, 1.5)
	setDefault(&r.StateReleaseLimit, 1)
	setDefault(&r.SlowStartShare, 0.25)
	setDefault(&r.SlowStartSeconds, 5)
}

// defaults sets the default values of a kind. Those of its slow start are taken from the rules.
func (k *Kind) defaults(rules Rules) {
	setDefault(&k.Slots, 32)
	setDefault(&k.Queue, 32)
	setDefault(&k.MemoryTokens, 200_000)
	setDefault(&k.PrefillTokensPerSecond, 20_000)
	setDefault(&k.StepMS, 10)
	setDefault(&k.PerSeqMS, 0.2)
	setDefault(&k.TransferTokensPerSecond, 200_000)
	setDefault(&k.SlowStartShare, rules.SlowStartShare)
	setDefault(&k.SlowStartSeconds, rules.SlowStartSeconds)
	setDefault(&k.ReportMS, 200)
}

func (c *Class) defaults() {
	setDefault(&c.Group, "all")
	setDefault(&c.MaxTokens, 200)
	setDefault(&c.Share, 1)
	setDefault(&c.NewTokens, 300)
	setDefault(&c.NewSigma, 0.6)
	setDefault(&c.AnswerTokens, 20)
	setDefault(&c.AnswerSigma, 0.5)
	setDefault(&c.Turns, 1)
	setDefault(&c.Think, 0.5)
}
