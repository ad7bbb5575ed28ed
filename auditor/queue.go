package auditor

import (
	"net"
	"slices"
	"strings"

	"briarspring"
)

// usefulObjectives is the time for which a result is useful, in objectives of its
// workflow. The dispatcher stops no task for work that can't finish within it.
const usefulObjectives = 3

func (a *audit) queueSubject(q briarspring.Queue) string { return "queue " + a.quote(q.Name) }

func (a *audit) checkQueues() {
	for i, q := range a.directory.Queues {
		a.checkQueueName(i, q)
		a.checkMatch(i, q)
		a.checkObjective(q)
	}
}

func (a *audit) checkQueueName(i int, q briarspring.Queue) {
	subject := a.queueSubject(q)
	if q.Name == "" {
		a.add(Warning, subject, "entry %d has no name: operators can't address it", i+1)
		return
	}
	if slices.ContainsFunc(a.directory.Queues[:i], func(o briarspring.Queue) bool { return o.Name == q.Name }) {
		a.add(Warning, subject, "entry %d has the name of an earlier one: operators' calls by name find only the first", i+1)
	}
}

// checkMatch reports entries that calls can't reach. A call belongs to the entry of its
// host with the longest prefix of its path, the first one among equals; what follows the
// prefix is a workflow's ID.
func (a *audit) checkMatch(i int, q briarspring.Queue) {
	subject := a.queueSubject(q)
	if _, _, err := net.SplitHostPort(q.Host); err == nil {
		a.add(Warning, subject, "can never match: host %s has a port, which is cut off from the host of a call", a.quote(q.Host))
	} else if q.Host == "" || strings.ContainsAny(q.Host, " /\t") {
		a.add(Warning, subject, "can never match: %s is no host name", a.quote(q.Host))
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		a.add(Warning, subject, "can never match: prefix %s doesn't begin with a slash", a.quote(q.Prefix))
	}
	for j, o := range a.directory.Queues {
		if o.Host != q.Host || i == j {
			continue
		}
		rest, longer := strings.CutPrefix(o.Prefix, q.Prefix)
		switch {
		case longer && rest == "" && j < i:
			a.add(Warning, subject, "can never match: entry %d (%s) has the same host and prefix and comes first", j+1, a.queueSubject(o))
			return
		case longer && rest != "" && a.config.StartsWorkflowID != nil && a.config.StartsWorkflowID(rest):
			a.add(Warning, subject, "can't take workflows whose IDs begin with %s: their calls match the longer prefix of entry %d (%s)",
				a.quote(rest), j+1, a.queueSubject(o))
		}
	}
}

// checkObjective reports objectives that leave no time. An objective is the stretched
// chain of a workflow plus the allowance.
func (a *audit) checkObjective(q briarspring.Queue) {
	subject := a.queueSubject(q)
	if q.Stretch < 0 {
		a.add(Warning, subject, "stretch %g is below zero: it counts as zero", q.Stretch)
	}
	if q.Allowance < 0 {
		a.add(Warning, subject, "the target latency is below zero: it shortens every objective")
	}
	if q.MaxAttempts < 0 {
		a.add(Warning, subject, "%d attempts are below zero: failed runs are repeated without a bound, as with zero", q.MaxAttempts)
	}
	switch {
	case q.Stretch <= 0 && q.Allowance <= 0:
		a.add(Warning, subject, "every objective is zero: the target latency and the stretch add no time")
	case q.Allowance <= 0 && q.Stretch*usefulObjectives < 1:
		a.add(Warning, subject, "no useful time: with stretch %g and no target latency, work takes more than %d times its objective", q.Stretch, usefulObjectives)
	case q.Allowance <= 0 && q.Stretch < 1:
		a.add(Warning, subject, "stretch %g is below one without a target latency: every objective is shorter than the work takes", q.Stretch)
	case q.Allowance <= 0 && float64(q.MaxAttempts) > q.Stretch*usefulObjectives:
		a.add(Note, subject, "of %d attempts at a workflow of one step, those after the first %d end after %d times the objective",
			q.MaxAttempts, int(q.Stretch*usefulObjectives), usefulObjectives)
	}
}

// checkWorkers reports queues whose work no worker can run.
func (a *audit) checkWorkers() {
	for i, q := range a.directory.Queues {
		if q.Service == "" {
			a.add(Warning, a.queueSubject(q), "has no service: no worker runs its tasks")
			continue
		}
		sameService := func(o briarspring.Queue) bool { return o.Service == q.Service }
		if !a.config.HasWorkers || slices.ContainsFunc(a.directory.Queues[:i], sameService) {
			continue
		}
		subject := "service " + a.quote(q.Service)
		workers, fitting := 0, 0
		for _, w := range a.config.Workers {
			if w.Service == q.Service {
				workers++
				if a.config.Task.Fits(w.Capacity) {
					fitting++
				}
			}
		}
		switch {
		case workers == 0:
			a.add(Warning, subject, "no worker has it: no task of %s can start", a.queueSubject(q))
		case fitting == 0:
			a.add(Warning, subject, "none of its %d workers is large enough for a task of %s", workers, a.config.Task)
		}
	}
	if !a.config.HasWorkers {
		return
	}
	for _, label := range a.config.Requirements {
		has := func(w briarspring.WorkerEntry) bool {
			return slices.Contains(w.Labels, label) &&
				slices.ContainsFunc(a.directory.Queues, func(q briarspring.Queue) bool { return q.Service == w.Service })
		}
		if !slices.ContainsFunc(a.config.Workers, has) {
			a.add(Warning, "requirement "+a.quote(label), "no worker of a queue's service has it")
		}
	}
}
