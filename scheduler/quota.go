package scheduler

// This file decides which requests exceed their tenant's quota.

const (
	// quotaBurst is the time in seconds over which a tenant may accumulate unused quota for a burst.
	quotaBurst = 2.0
	// quotaMinBurst is the lower bound of the burst that a tenant may accumulate, in requests. It applies to small quotas.
	quotaMinBurst = 4
)

// exceedsQuota counts a request of a tenant, and reports whether it exceeds this node's equal share of the tenant's quota.
func (s *Scheduler) exceedsQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(s.quotas) || s.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	perSecond := s.cfg.Tenants[tenant].Quota / float64(s.cfg.NodeCount)
	return !s.quotas[tenant].take(s.now, perSecond, max(quotaMinBurst, quotaBurst*perSecond))
}

// tokenBucket is a token bucket; it is full before its first use.
type tokenBucket struct {
	level    float64
	filledAt float64
}

// take takes one token from the bucket, and reports whether there was one. The bucket fills by perSecond tokens per second, up to size.
func (b *tokenBucket) take(now, perSecond, size float64) bool {
	if b.filledAt == 0 {
		b.level = size
	} else {
		b.level = min(size, b.level+perSecond*(now-b.filledAt))
	}
	b.filledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
