package scheduler

// engine is what we know of one engine.
type engine struct {
	Engine
	role                                      Role
	discoveredAt                              float64 // when this start of it was heard of
	memory                                    float64
	prefills, admitted                        []*request // our reads out; our requests admitted or streaming
	prefillWait, firstTokenLatency, prefixHit gauge      // s that a read waits; s from send to first token; part of a beginning found kept
	affinityWeight                            float64    // weight as a home of shared beginnings
	rendezvousScore                           float64    // its rank when readers were last put in order
	curve                                     uslCurve
	report                                    LoadReport
	reportAt                                  float64
	hasReport                                 bool
	failureScore, ejectionTime                float64
	ejectedUntil                              float64
	fullUntil                                 float64
	lastSuccess                               float64
	slowStartSends                            []slowStartSend
	probeInFlight                             bool
}

// kindStats pools what engines of one kind have shown.
type kindStats struct {
	firstTokenLatency               gauge
	prefillTime                     linearFit // of reads: time against our load
	prefillWait, prefixHit          gauge     // of reads: s waited; part of a shared beginning found kept
	reportedStreams, reportedMemory gauge     // reported: streams, and share of memory held
	curve                           uslCurve
}

// classStats is what we infer of a class's work.
type classStats struct {
	promptTokens gauge
	streamTimes  []float64 // of the latest streams, scaled to speed 1
	outputShare  float64   // mean part of the most allowed that answers have
}
