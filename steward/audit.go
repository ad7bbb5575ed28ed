package steward

import (
	"slices"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/registrar"
)

// logRemovedWorkers logs the workers that an inventory doesn't name any more. Their
// records are deleted for the same reason, so that a successor won't ask them what they run.
func (ow *ownership) logRemovedWorkers(before, after []briarspring.KnownWorker) {
	for _, k := range before {
		if slices.ContainsFunc(after, func(o briarspring.KnownWorker) bool { return o.ID == k.ID }) {
			continue
		}
		ow.mu.Lock()
		a := ow.engine.Absence(ow.config.Now(), k.ID)
		ow.mu.Unlock()
		ow.logger.Info("worker leaves the inventory", "worker", k.ID, "why", a.Why, "unstored-ends", a.UnstoredEnds,
			"answered-ms", a.AnsweredMs, "workers", len(after))
	}
}

// registered returns what the log says of a workflow. The dispatcher calls it while
// ow.mu is held.
func (ow *ownership) registered(id briarspring.WorkflowID) dispatcher.Registration {
	reg := dispatcher.Registration{State: "unknown"}
	ow.config.Replica.View(func(r *registrar.Registry) {
		if e := r.Workflow(id); e != nil {
			reg = dispatcher.Registration{State: e.Phase().String(), Final: e.Phase().Final(), Local: ow.hasTasksHere(e)}
		}
	})
	return reg
}
