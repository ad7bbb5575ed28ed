package dispatcher

import (
	"time"

	"briarspring"
)

const (
	// quickEndTime is the age below which a long-running task that ends by itself is expected
	// to do so again.
	quickEndTime = 2 * time.Second
	// minRestartDelay is the delay before the second restart in a row of such a task. It
	// doubles up to 4 s, which leaves time to start within the 9 s for which the platform
	// lets a long-running task be away.
	minRestartDelay   = 250 * time.Millisecond
	maxDelayDoublings = 4 // At most.
	// blameEnds is the number of such ends in a row from which failures are not counted
	// against the worker any more: the task fails on others too.
	blameEnds = 2
)

// delayRestart makes a long-running task wait after runs in a row that ended by themselves
// right after their start. They would take a start, a record and a worker's room many times
// a second.
func (d *Dispatcher) delayRestart(t *task, r *run, end briarspring.RunEnd) {
	if !t.step.spec().LongRunning || r == nil || r.stopping || end != briarspring.RunDone && end != briarspring.RunFailed {
		return
	}
	if r.age(d.now) >= quickEndTime {
		t.quickEnds = 0
		return
	}
	delay := time.Duration(0)
	if t.quickEnds > 0 {
		delay = minRestartDelay << min(t.quickEnds-1, maxDelayDoublings)
	}
	t.quickEnds++
	t.readySince = d.now + delay
	d.logger.Info("long-running task ended right after its start", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step,
		"index", r.ref.Task.Index, "run", r.ref.Run, "worker", r.worker.id, "end", end.String(), "age-ms", r.age(d.now).Milliseconds(),
		"in-a-row", t.quickEnds, "delay-ms", delay.Milliseconds())
}
