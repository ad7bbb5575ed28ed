package admitter

import (
	"fmt"
	"slices"

	"briarspring"
)

// checkGangs returns a *RefusedError if the limit of the workflow's organisation is less
// than a gang needs, but for one task: the gang could never start.
func (a *Admitter) checkGangs(w *briarspring.Workflow) error {
	if w.Organisation == "" {
		return nil
	}
	directory, _ := a.config.Catalogue.Directory()
	i := slices.IndexFunc(directory.Organisations, func(o briarspring.Organisation) bool { return o.Name == w.Organisation })
	if i < 0 {
		return nil
	}
	limit := directory.Organisations[i].Limit
	exceeds := func(needed, limit int64) bool { return limit > 0 && needed > limit }
	for number, s := range w.Steps {
		need := s.Resources.Times(int64(s.Tasks - 1))
		if !s.Gang || !exceeds(need.MilliCPU(), limit.MilliCPU()) && !exceeds(need.MemoryMiB(), limit.MemoryMiB()) &&
			!exceeds(need.Accelerators(), limit.Accelerators()) {
			continue
		}
		return a.notFound(&RefusedError{Reason: fmt.Sprintf("the gang of step %d needs %s, its organisation's limit is %s (0 is none)",
			number, s.Resources.Times(int64(s.Tasks)), limit)})
	}
	return nil
}
