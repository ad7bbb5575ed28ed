package imitator

import (
	"briarspring"
)

// quotaOverage is how far an organisation may exceed its limit, in percent; one task
// comes on top. The platform states both.
const quotaOverage = 10

// OrganisationUse returns what an organisation has running on all workers, with the
// processors that best-effort tasks declare.
func (p *Pool) OrganisationUse(name string) briarspring.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.organisationUse(name)
}

func (p *Pool) organisationUse(name string) (used briarspring.Resources) {
	for _, w := range p.workers {
		p.enforceLease(w)
		for ref := range w.runs {
			if workflow, step := p.config.Spec(ref.Task); step != nil && workflow.Organisation == name {
				used = used.Add(step.Resources)
			}
		}
	}
	return used
}

// checkQuota checks that an organisation stays within its limit, with the tolerance and
// one task on top. A limit of zero is none.
func (p *Pool) checkQuota(s startedRun) {
	name := s.workflow.Organisation
	if p.config.Limit == nil || name == "" {
		return
	}
	limit, used := p.config.Limit(name), p.organisationUse(name).Add(s.step.Resources)
	exceeds := func(limit, used, task int64) bool { return limit > 0 && 100*(used-task) > (100+quotaOverage)*limit }
	if exceeds(limit.MilliCPU(), used.MilliCPU(), s.step.Resources.MilliCPU()) ||
		exceeds(limit.MemoryMiB(), used.MemoryMiB(), s.step.Resources.MemoryMiB()) ||
		exceeds(limit.Accelerators(), used.Accelerators(), s.step.Resources.Accelerators()) {
		p.recordViolation(s, "%s uses %s of a limit of %s", name, used, limit)
	}
}
