package admitter

import "time"

const (
	// minRetryAfter is short, as another host may reach the log, and callers retry
	// at other hosts.
	minRetryAfter = time.Second
	// maxRetryAfter limits the delay, so that callers return soon after an outage.
	maxRetryAfter = 5 * time.Second
	// retryAgeFactor is the delay as a fraction of the age of the shared state: an
	// outage that has lasted for some time is expected to last about as long again.
	retryAgeFactor = 0.5
)

// retryAfter returns the delay after which a refused caller should retry, which
// grows with the age of the shared state. With a constant delay of 1 s, callers
// used up their attempts before the log returned from outages of several seconds.
func retryAfter(age time.Duration) time.Duration {
	return min(max(minRetryAfter, time.Duration(retryAgeFactor*float64(age))), maxRetryAfter)
}
