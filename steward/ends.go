package steward

import (
	"context"
	"sync"
	"time"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
)

// settleEnds finds what becomes of the ends that the dispatcher holds: those of tasks
// that have moved on are recorded for the data centres that have them, and those that
// nothing depends on are released.
func (ow *ownership) settleEnds(ctx context.Context, goroutines *sync.WaitGroup) {
	fresh, _ := ow.config.ReplicaFreshness.LastReadSent()
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, h := range ow.engine.HeldEnds() {
		if ow.reporting[h] {
			continue
		}
		record, needed := ow.endRecord(h, fresh)
		switch {
		case !needed:
			ow.engine.ReleaseEnd(h)
		case record.Key != "":
			ow.reporting[h] = true
			goroutines.Go(func() { ow.reportEnd(ctx, h, record) })
		}
	}
}

// endRecord returns the record of an end whose task is in another data centre, without
// a key while there is none to write. It also returns false if nothing depends on the
// end. The workflow of a run that has ended was submitted before, so that it is known,
// or removed, once everything has been read that was stored by then.
func (ow *ownership) endRecord(h dispatcher.HeldEnd, fresh time.Duration) (record briarspring.KeyedRecord, needed bool) {
	ow.config.Replica.View(func(r *registrar.Registry) {
		e := r.Workflow(h.Run.Task.Workflow)
		if e == nil {
			needed = fresh <= h.At
			return
		}
		position, ok := e.Workflow().Position(h.Run.Task)
		needed = ok && !e.Phase().Final() && !e.Workflow().Steps[h.Run.Task.Step].LongRunning
		if !needed || e.DataCentre(position) == ow.config.DataCentre {
			return
		}
		value, err := encoder.EncodeRunProgress([]briarspring.TaskProgress{h.Progress(position)})
		if err != nil {
			ow.logger.Error("end can't be encoded", "workflow", h.Run.Task.Workflow, "error", err)
			return
		}
		record = briarspring.KeyedRecord{Key: registrar.EndKey(h.Run), Value: value}
	})
	return record, needed
}

// reportFinishedSteps records the steps that tasks in other data centres wait for.
func (ow *ownership) reportFinishedSteps(ctx context.Context, goroutines *sync.WaitGroup) {
	ow.mu.Lock()
	steps := ow.engine.TakeFinishedSteps()
	ow.mu.Unlock()
	for _, s := range steps {
		value, err := encoder.EncodeRunProgress(s.Tasks)
		if err != nil {
			ow.logger.Error("finished step can't be encoded", "workflow", s.Workflow, "error", err)
			continue
		}
		ow.logger.Info("recording a finished step for other data centres", "workflow", s.Workflow, "occurrence", s.Occurrence, "step", s.Step, "tasks", len(s.Tasks))
		record := briarspring.KeyedRecord{Key: registrar.FinishedStepKey(s.Workflow, s.Occurrence, s.Step), Value: value}
		goroutines.Go(func() { ow.publish(ctx, []briarspring.KeyedRecord{record}) })
	}
}

// reportEnd records an end and releases it.
func (ow *ownership) reportEnd(ctx context.Context, h dispatcher.HeldEnd, record briarspring.KeyedRecord) {
	ow.logger.Info("recording an end for the task's data centre", "worker", h.Worker, "workflow", h.Run.Task.Workflow, "run", h.Run.Run, "done", h.Done)
	stored := ow.publish(ctx, []briarspring.KeyedRecord{record})
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.reporting, h)
	if stored {
		ow.engine.ReleaseEnd(h)
	}
}
