package scheduler

// This file tells which requests are beyond their tenant's quota.

const (
	// quotaBurst is the time in seconds for which a tenant may save up its quota.
	quotaBurst = 2.0
	// quotaMinBurst is the least number of requests that a tenant may save up.
	quotaMinBurst = 4
)

type tokenBucket struct{ level, filledAt float64 }

// take draws one from a bucket that fills at a rate up to a size; false = it is empty.
func (b *tokenBucket) take(now, rate, size float64) bool {
	if b.filledAt == 0 {
		b.level = size
	} else {
		b.level = min(size, b.level+rate*(now-b.filledAt))
	}
	b.filledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
