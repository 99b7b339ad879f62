package overload

// Parameters of the connection limit.
const (
	reservedDescriptors     = 32  // descriptors for listeners, logs, lists, state and a reload
	reservedDescriptorShare = 0.1 // share of all descriptors, also reserved, for state release calls and the rest of the process
	descriptorsPerRequest   = 2   // a request in flight uses its client's connection and one to an engine
	minConnections          = 4   // lowest limit after a shortage
	shortageShare           = 0.7 // new limit after a shortage, as a share of the open connections
	regrowthShare           = 0.1 // share of the full limit that is regained per second without a shortage
)

// connectionLimit limits the client connections. A shortage of descriptors lowers it immediately; it grows again slowly.
type connectionLimit struct {
	maximum   int // allowed by the settings and the descriptors
	current   float64
	grownAt   float64 // when current last grew (s)
	shortages int
}

func newConnectionLimit(limits Limits) connectionLimit {
	maximum := limits.Connections
	if limits.Descriptors > 0 {
		available := float64(limits.Descriptors)*(1-reservedDescriptorShare) - reservedDescriptors
		maximum = min(maximum, max(minConnections, int(available/descriptorsPerRequest)))
	}
	return connectionLimit{maximum: maximum, current: float64(maximum)}
}

func (l *connectionLimit) observeShortage(now float64, open int) {
	l.grow(now)
	l.shortages++
	l.current = max(minConnections, min(l.current, shortageShare*float64(open)))
}

// grow raises the limit for the time since it last grew.
func (l *connectionLimit) grow(now float64) {
	elapsed := now - l.grownAt
	if elapsed <= 0 {
		return
	}
	maximum := float64(l.maximum)
	l.current = min(maximum, l.current+regrowthShare*elapsed*maximum)
	l.grownAt = now
}

// at returns the limit at a time.
func (l *connectionLimit) at(now float64) int {
	l.grow(now)
	return int(l.current)
}
