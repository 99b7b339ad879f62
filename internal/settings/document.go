package settings

// document has the parts of the settings object that are used. Its struct tags are the names in the object; the names of its fields are
// those of the scheduler's configuration.
type document struct {
	NodeCount int             `json:"balancers"`
	NodeIndex int             `json:"rank"`
	Zone      int             `json:"zone"`
	Classes   []documentClass `json:"classes"`
	Tenants   []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"accounts"`
	Zones         []string `json:"localities"`
	Kinds         []string `json:"machine_types"`
	DiscoveryMode string   `json:"registry_mode"`
	Tick          float64  `json:"tick_s"`
	Family        struct {
		ReservationOffered    bool      `json:"ahead"`
		ClientsResume         bool      `json:"resume"`
		DecodeEnginesPrefill  bool      `json:"local_read"`
		ObjectivesPer1KTokens []float64 `json:"aim_us_per_1000_prompt_tokens"`
		OutputTokenObjectives []float64 `json:"token_aim_s"`
		StateReleaseLimit     float64   `json:"let_go_by_s"`
		Stages                []string  `json:"stage_of_kind"`
		MemoryTokens          []float64 `json:"tokens_by_kind"`
		TransferPrice         float64   `json:"transfer_price"`
	} `json:"family_info"`
	Rules struct {
		AnswerSlack       float64 `json:"answer_slack_s"`
		PollInterval      float64 `json:"ask_every_s"`
		SlowStartDuration float64 `json:"cold_s"`
		SlowStartShare    float64 `json:"cold_share"`
		DrainGrace        float64 `json:"drain_grace_s"`
		OverloadMultiple  float64 `json:"fall_multiple"`
		SlowStartWindow   float64 `json:"tip_after_s"`
	} `json:"guarantees"`
	Limits struct {
		Cancel            bool    `json:"cancel"`
		ConnectTimeout    float64 `json:"connect_timeout_s"`
		EngineIdleTimeout float64 `json:"keepalive_s"`
		MaxOpen           int     `json:"max_open"`
		MaxAttempts       int     `json:"max_attempts"`
		Probe             bool    `json:"may_probe"`
		HedgedRequests    bool    `json:"parallel_tries"`
		RetryAfter        bool    `json:"retry_after"`
		MaxRetryAfter     float64 `json:"max_retry_after_s"`
	} `json:"limits"`
	Report struct {
		Style  string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Prices struct {
		Probe       float64 `json:"probe"`
		Waste       float64 `json:"waste"`
		CrossZone   float64 `json:"cross_zone"`
		LateFailure float64 `json:"late_fail"`
	} `json:"tariffs"`
}

// documentClass is one class of the settings object.
type documentClass struct {
	Name                   string  `json:"name"`
	Effect                 string  `json:"effect"`
	DedupScope             string  `json:"group"`
	DedupWindow            float64 `json:"key_ttl_s"`
	FirstTokenObjective    float64 `json:"target_s"`
	ObjectivePerHintSecond float64 `json:"aim_stretch"`
	ClientTimeout          float64 `json:"hard_limit_s"`
	PriorityWeight         float64 `json:"worth"`
	LateValue              float64 `json:"late_value"`
}
