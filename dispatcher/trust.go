package dispatcher

import "time"

const (
	// quarantineFailures is the number of consecutive failed runs that
	// quarantines a worker; at the usual failure rates of up to 5 percent,
	// three in a row by chance are rare.
	quarantineFailures = 3
	// quarantineTime is how long a worker is quarantined before it gets one run
	// as a probe.
	quarantineTime = 4 * time.Second
	// probeTime is how long a probe must run to end the quarantine; above
	// stallTime, so that a stalled probe is noticed first.
	probeTime = 2 * time.Second
	// atWork is the progress in percent that a worker reports for a
	// long-running task at work.
	atWork = 100
)

// admitted reports whether the worker is not quarantined, or may get a probe.
func (w *worker) admitted(now time.Duration) bool {
	if w.failureStreak < quarantineFailures {
		return true
	}
	return now >= w.quarantinedUntil && w.probe == nil
}

// acceptsStarts reports whether the worker may get starts at present.
func (w *worker) acceptsStarts(now time.Duration) bool {
	return w.usable(now) && w.admitted(now) && w.isolatedRun == nil
}

// countWorkerFailure counts consecutive failures and quarantines the worker
// after quarantineFailures of them.
func (d *Dispatcher) countWorkerFailure(w *worker, r *run) {
	w.failureStreak++
	if w.failureStreak < quarantineFailures {
		return
	}
	w.quarantinedUntil = d.now + quarantineTime
	d.logger.Warn("worker quarantined", "worker", w.id, "failures-in-a-row", w.failureStreak, "last-workflow", r.ref.Task.Workflow)
}

// endProbe ends the quarantine of a worker once its probe has run for probeTime
// and has made progress. It does not wait for the probe to end, because a
// long-running task ends late or never.
func (d *Dispatcher) endProbe(w *worker) {
	r := w.probe
	if r == nil || r.state != runAlive || r.stopping || r.unreported || d.now-r.startAnsweredAt < probeTime {
		return
	}
	if r.progress == 0 || r.task.step.spec().LongRunning && r.progress != atWork {
		return
	}
	w.failureStreak = 0
	w.probe = nil
	d.needsPlan = true
	d.logger.Info("worker left quarantine", "worker", w.id, "probe", r.ref.Task.Workflow, "age-ms", (d.now - r.since).Milliseconds())
}
