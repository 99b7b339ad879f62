package emulator

// Roles of an engine.
const (
	rolePrefill = "prefill"
	roleDecode  = "decode"
	roleMixed   = "mixed"
)

// Settings are the settings of one engine. api/engine.schema.json describes their JSON form.
type Settings struct {
	ID                      string  `json:"id"`
	Listen                  string  `json:"listen"` // host:port; port 0 = the system chooses a port at the first start
	Role                    string  `json:"role"`   // prefill, decode or mixed
	Slots                   int     `json:"slots"`  // maximum number of requests that run at the same time
	QueueLimit              int     `json:"queue"`  // maximum number of requests that wait for a slot
	MemoryTokens            int     `json:"memory_tokens"`
	PrefillTokensPerSecond  float64 `json:"read_per_s"`
	DecodeStepMS            float64 `json:"step_ms"`     // base duration of a decode step
	DecodeStepPerSequenceMS float64 `json:"per_seq_ms"`  // added to a decode step by each running request
	TransferTokensPerSecond float64 `json:"move_per_s"`  // rate at which KV states are sent to other engines
	SlowStartShare          float64 `json:"cold_share"`  // share of the full speed right after a cold start
	SlowStartSeconds        float64 `json:"cold_s"`      // time until the engine reaches its full speed; 0 = immediately
	LocalPrefill            bool    `json:"local_read"`  // a decode engine prefills prompts itself if there is no KV state
	StateTTLSeconds         float64 `json:"state_ttl_s"` // a KV state that is neither fetched nor released is dropped after this time
	LoadReportIntervalMS    float64 `json:"report_ms"`   // time between refreshes of the load report
	ReleaseUnsupported      bool    `json:"no_release"`  // the response to a release call has status 404
	Seed                    uint64  `json:"seed"`
}

// Default values of the settings.
const (
	defaultListen                  = "127.0.0.1:0"
	defaultSlots                   = 32
	defaultQueueLimit              = 32
	defaultMemoryTokens            = 200_000
	defaultPrefillTokensPerSecond  = 20_000
	defaultDecodeStepMS            = 8
	defaultDecodeStepPerSequenceMS = 0.1
	defaultTransferTokensPerSecond = 200_000
	defaultSlowStartShare          = 0.3
	defaultStateTTLSeconds         = 480
	defaultLoadReportIntervalMS    = 100
)

// WithDefaults returns the settings with zero values replaced by defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Listen, defaultListen)
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.QueueLimit, defaultQueueLimit)
	setDefault(&s.MemoryTokens, defaultMemoryTokens)
	setDefault(&s.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setDefault(&s.DecodeStepMS, defaultDecodeStepMS)
	setDefault(&s.DecodeStepPerSequenceMS, defaultDecodeStepPerSequenceMS)
	setDefault(&s.TransferTokensPerSecond, defaultTransferTokensPerSecond)
	setDefault(&s.SlowStartShare, defaultSlowStartShare)
	setDefault(&s.StateTTLSeconds, defaultStateTTLSeconds)
	setDefault(&s.LoadReportIntervalMS, defaultLoadReportIntervalMS)
	return s
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
