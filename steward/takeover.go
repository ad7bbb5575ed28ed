package steward

import (
	"context"
	"errors"
	"time"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/sleeper"
	"briarspring/tracker"
)

// recordedState is what earlier owners have recorded in the progress stream.
type recordedState struct {
	progress map[briarspring.WorkflowID][]briarspring.TaskProgress
	workers  []briarspring.KnownWorker // All that they may have used.
	models   []briarspring.InterferenceModel
}

// takeOver fences earlier owners off the progress stream and reads it.
func (ow *ownership) takeOver(ctx context.Context) (recordedState, bool) {
	stream := briarspring.ProgressStream(ow.config.DataCentre)
	for ctx.Err() == nil && ow.inForce() {
		state, err := ow.tryTakeOver(ctx, stream)
		if err == nil {
			return state, true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			ow.logger.Warn("a newer owner has taken over the progress stream", "error", err)
			return recordedState{}, false
		}
		ow.logger.Warn("failed to take over progress, retrying", "error", err)
		_ = sleeper.For(ctx, retryPause)
	}
	return recordedState{}, false
}

func (ow *ownership) tryTakeOver(ctx context.Context, stream string) (recordedState, error) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ow.fencedAt = ow.config.Now()
	fence, err := ow.config.Store.Append(callCtx, stream, nil, ow.fence(0))
	if err != nil {
		return recordedState{}, err
	}
	models := ow.startReadingModels(ctx)
	records, end, err := tracker.Newest(ctx, ow.config.Store, stream)
	if err != nil {
		return recordedState{}, err
	}
	if end < fence {
		return recordedState{}, &tracker.StaleError{Stream: stream, End: end, Known: fence}
	}
	state := recordedState{progress: map[briarspring.WorkflowID][]briarspring.TaskProgress{}, models: <-models}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if err := state.add(r); err != nil {
			ow.logger.Error("ignoring a progress record that can't be decoded", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	return state, nil
}

// add decodes a record. Errors are *encoder.MalformedError.
func (s *recordedState) add(r briarspring.KeyedRecord) error {
	if registrar.IsKnownWorkerKey(r.Key) {
		w, err := encoder.DecodeKnownWorker(r.Value)
		if err == nil {
			s.workers = append(s.workers, w)
		}
		return err
	}
	tasks, err := encoder.DecodeRunProgress(r.Value)
	if err == nil {
		s.progress[briarspring.WorkflowID(r.Key)] = tasks
	}
	return err
}

func (ow *ownership) fence(sequence uint64) briarspring.Fence {
	return briarspring.Fence{Epoch: ow.claim.Token, Sequence: sequence}
}

// startDispatcher creates the dispatcher with every workflow that has tasks here.
func (ow *ownership) startDispatcher(recorded recordedState) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.config.Now()
	ow.pacer = ow.config.NewPacer()
	ow.pacer.AdoptModels(recorded.models)
	ow.engine = dispatcher.New(now, dispatcher.Config{
		DataCentre: ow.config.DataCentre, Token: ow.claim.Token, Lease: ow.config.Lease, MaxLease: ow.config.MaxLease,
		Predecessor: ow.claim.Previous != 0, Yields: ow.claim.Yields, RecordedOnly: ow.claim.Yields, ShortLeases: ow.claim.ShortLeases, Pacer: ow.pacer, Logger: ow.logger,
		PreviousToken: ow.claim.Previous, Registered: ow.registered, FarMultiplier: ow.config.FarMultiplier, KeepLongRunning: !ow.config.MakeRoom,
	})
	ow.engine.ProgressWritten(ow.fencedAt)
	ow.engine.SetOutOfService(now, ow.config.Catalogue.OutOfService(ow.config.DataCentre))
	ow.quota.engine = ow.engine
	ow.config.Replica.View(func(r *registrar.Registry) {
		ow.addKnownWorkers(now, r, recorded.workers)
		r.Workflows(func(e *registrar.Entry) { ow.applyWorkflow(now, e, recorded.progress[e.Workflow().ID]) })
	})
}

// addKnownWorkers passes the workers that earlier owners may have used to the
// dispatcher. Owners of an earlier version recorded them in the inventory alone. If some
// owners did not record them, entries that are missing from the list may come back first.
func (ow *ownership) addKnownWorkers(now time.Duration, r *registrar.Registry, recorded []briarspring.KnownWorker) {
	if ow.claim.Previous == 0 {
		return
	}
	inventory, ok := r.Inventory(ow.config.DataCentre)
	ow.engine.AddKnownWorkers(inventory.Content.Workers)
	ow.engine.AddRecordedWorkers(recorded)
	ow.engine.SetPredecessorInventory(inventory.Content.Token)
	if !ok || !r.RecentOwnersYield(now, recentOwnerTime, ow.config.DataCentre) {
		ow.engine.DelayInheritedStarts(ow.owner.readableSince() + entryReturnTime)
	}
}

// readableSince returns since when the log has been read without a gap.
func (o *Owner) readableSince() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readSince
}

// applyWorkflow passes the shared state of a workflow to the dispatcher.
func (ow *ownership) applyWorkflow(now time.Duration, e *registrar.Entry, progress []briarspring.TaskProgress) {
	w := e.Workflow()
	if !ow.hasTasksHere(e) {
		return
	}
	place := ow.placeOf(e)
	switch {
	case ow.engine.Knows(w.ID):
		if place != nil {
			ow.engine.ApplyTransfers(now, w.ID, place)
		}
	case e.Phase().Final() && len(progress) == 0:
		return
	default:
		directory, _ := ow.config.Catalogue.Directory()
		ow.logger.Info("workflow received", "workflow", w.ID, "offset", e.Offset(), "directory-version", directory.Version)
		ow.engine.Submit(now, ow.ageOf(w), w, e.Offset(), ow.mergeTransferred(e, progress), place)
	}
	if ends := e.Ends(); len(ends) > 0 {
		ow.engine.ApplyEnds(now, w.ID, ends)
	}
	if e.Cancelled() {
		ow.engine.Cancel(now, w.ID)
	}
	if e.Phase().Final() && !e.Cancelled() {
		ow.engine.Finished(now, w.ID, e.Phase())
	}
}

// ageOf returns the time since a workflow was accepted, clamped to the time for
// which workflows of its recurrence are remembered, since clocks may jump.
func (ow *ownership) ageOf(w *briarspring.Workflow) time.Duration {
	maxAge := ow.config.FinalRetention
	if n := w.Recurrence.Times; n > 0 {
		maxAge += max(0, w.Recurrence.Due(n-1).Sub(w.Submitted))
	}
	return max(0, min(time.Since(w.Submitted), maxAge))
}

// placeOf returns the place of each task of a workflow by its position, or nil if
// none was transferred.
func (ow *ownership) placeOf(e *registrar.Entry) func(position int) dispatcher.Place {
	moved := e.TransferredTasks()
	if len(moved) == 0 {
		return nil
	}
	return func(position int) dispatcher.Place {
		m := moved[position]
		return dispatcher.Place{Local: e.DataCentre(position) == ow.config.DataCentre, Offset: m.Offset, Transfers: m.Count, Progress: m.Progress}
	}
}

// hasTasksHere reports whether the data centre has, or had, tasks of a workflow.
func (ow *ownership) hasTasksHere(e *registrar.Entry) bool {
	if e.Workflow().DataCentre == ow.config.DataCentre {
		return true
	}
	for _, m := range e.TransferredTasks() {
		if m.To == ow.config.DataCentre {
			return true
		}
	}
	return false
}

// mergeTransferred adds the progress that transferred tasks brought along. A task
// may have run here before it left, or after it came back, so the record with the
// higher run number wins.
func (ow *ownership) mergeTransferred(e *registrar.Entry, progress []briarspring.TaskProgress) []briarspring.TaskProgress {
	known := map[int]int{}
	for i, p := range progress {
		known[p.Position] = i
	}
	for position, m := range e.TransferredTasks() {
		if m.To != ow.config.DataCentre {
			continue
		}
		i, ok := known[position]
		switch {
		case !ok:
			progress = append(progress, m.Progress)
		case progress[i].Run < m.Progress.Run || m.Progress.Done:
			progress[i] = m.Progress
		}
	}
	return progress
}
