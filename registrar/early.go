package registrar

import (
	"slices"
	"time"

	"briarspring"
	"briarspring/encoder"
)

// earlyCancellations holds the cancellations of workflows that were not known where the
// cancellations were requested.
type earlyCancellations struct {
	byWorkflow map[briarspring.WorkflowID][]earlyCancellation
	counts     map[string]int // By organisation.
}

type earlyCancellation struct {
	key     string
	content briarspring.EarlyCancellation
	at      time.Duration // When the record was read.
}

func newEarlyCancellations() *earlyCancellations {
	return &earlyCancellations{byWorkflow: map[briarspring.WorkflowID][]earlyCancellation{}, counts: map[string]int{}}
}

// cancels reports whether a workflow was cancelled before its submission was read.
func (c *earlyCancellations) cancels(w *briarspring.Workflow) bool {
	return slices.ContainsFunc(c.byWorkflow[w.ID], func(e earlyCancellation) bool { return e.content.AppliesTo(w.Organisation) })
}

// keysFor returns the keys of the cancellations of a submitted workflow. They go with its
// submission: without them a host that starts would read it as one that wasn't cancelled.
func (c *earlyCancellations) keysFor(w *briarspring.Workflow) []string {
	var keys []string
	for _, e := range c.byWorkflow[w.ID] {
		if e.content.AppliesTo(w.Organisation) {
			keys = append(keys, e.key)
		}
	}
	return keys
}

func (c *earlyCancellations) add(id briarspring.WorkflowID, e earlyCancellation) {
	c.remove(id, e.key)
	c.byWorkflow[id] = append(c.byWorkflow[id], e)
	c.counts[e.content.Organisation]++
}

func (c *earlyCancellations) remove(id briarspring.WorkflowID, key string) {
	list := c.byWorkflow[id]
	i := slices.IndexFunc(list, func(e earlyCancellation) bool { return e.key == key })
	if i < 0 {
		return
	}
	organisation := list[i].content.Organisation
	if c.counts[organisation]--; c.counts[organisation] == 0 {
		delete(c.counts, organisation)
	}
	if c.byWorkflow[id] = slices.Delete(list, i, i+1); len(c.byWorkflow[id]) == 0 {
		delete(c.byWorkflow, id)
	}
}

// applyEarlyCancellation cancels a workflow whose submission may already have been read, or
// follow.
func (r *Registry) applyEarlyCancellation(now time.Duration, id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
	if len(rec.Value) == 0 {
		r.early.remove(id, rec.Key)
		return Change{}, nil
	}
	content, err := encoder.DecodeEarlyCancellation(rec.Value)
	if err != nil {
		return Change{}, err
	}
	r.early.add(id, earlyCancellation{key: rec.Key, content: content, at: now})
	if e := r.Workflow(id); e != nil && content.AppliesTo(e.workflow.Organisation) {
		return r.applyCancellation(now, id)
	}
	return Change{}, nil
}

// CancelledEarly reports whether a workflow of an organisation, empty for none, would be
// cancelled if it were submitted now.
func (r *Registry) CancelledEarly(id briarspring.WorkflowID, organisation string) bool {
	return r.early.cancels(&briarspring.Workflow{ID: id, Organisation: organisation})
}

// HasEarlyCancellation reports whether a cancellation is recorded.
func (r *Registry) HasEarlyCancellation(id briarspring.WorkflowID, c briarspring.EarlyCancellation) bool {
	key := EarlyCancelKey(id, c)
	return slices.ContainsFunc(r.early.byWorkflow[id], func(e earlyCancellation) bool { return e.key == key })
}

// EarlyCancellations returns how many cancellations of workflows that were not known are
// recorded for an organisation, or for callers without one.
func (r *Registry) EarlyCancellations(organisation string) int { return r.early.counts[organisation] }

// expiredEarly returns the keys of at most limit early cancellations that a data centre
// removes, since no submission can follow any more.
func (r *Registry) expiredEarly(now, keep time.Duration, dataCentre string, limit int) []string {
	var keys []string
	for id, list := range r.early.byWorkflow {
		submitted := r.Workflow(id)
		for _, e := range list {
			if len(keys) >= limit {
				return keys
			}
			if e.content.DataCentre != dataCentre || now-e.at < keep || submitted != nil && e.content.AppliesTo(submitted.workflow.Organisation) {
				continue
			}
			keys = append(keys, e.key)
		}
	}
	return keys
}
