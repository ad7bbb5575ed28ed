package admitter

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"briarspring"
	"briarspring/registrar"
)

// maxCountLines bounds the log lines a second about counts, which anybody can ask for as
// often as they like.
const maxCountLines = 20

// countAudit limits the log lines about counts.
type countAudit struct {
	lines    *rate.Limiter
	withheld *atomic.Int64 // Lines since the last one.
}

func newCountAudit() countAudit {
	return countAudit{lines: rate.NewLimiter(maxCountLines, maxCountLines), withheld: &atomic.Int64{}}
}

// UnstartedWorkflows returns the number of a queue's workflows without a
// started task.
func (a *Admitter) UnstartedWorkflows(q briarspring.Queue) int {
	n, applied := 0, uint64(0)
	a.config.Replica.View(func(r *registrar.Registry) { n, applied = r.Waiting(q.Name), r.Applied() })
	a.logCount(q, n, applied)
	return n
}

// logCount logs a count and the state that it was taken from.
func (a *Admitter) logCount(q briarspring.Queue, n int, applied uint64) {
	if !a.counts.lines.Allow() {
		a.counts.withheld.Add(1)
		return
	}
	age, _ := a.config.Reading.Age()
	a.config.Logger.Info("count of workflows that have not started", "queue", q.Name, "workflows", n, "state-age-ms", age.Milliseconds(),
		"offset", applied, "withheld", a.counts.withheld.Swap(0))
}
