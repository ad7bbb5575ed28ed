package admitter

import "time"

const (
	// leastRetry is what callers are told at first while the log is out of reach:
	// another host may reach it, and tries go to other hosts.
	leastRetry = time.Second
	// mostRetry bounds the time, so that callers come back soon after an outage.
	mostRetry = 5 * time.Second
	// retryShare of the time for which the log has been out of reach: an outage that
	// has lasted for some time is expected to last about as long again.
	retryShare = 0.5
)

// retryAfter returns when a refused caller should try again, by the age of the
// shared state. It answers outages of the log of several seconds: with a constant
// second, callers had used up their tries before the log was back.
func retryAfter(age time.Duration) time.Duration {
	return min(max(leastRetry, time.Duration(retryShare*float64(age))), mostRetry)
}
