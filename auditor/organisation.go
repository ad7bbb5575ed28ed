package auditor

import (
	"fmt"

	"briarspring"
)

func (a *audit) organisationSubject(i int) string {
	if name := a.directory.Organisations[i].Name; name != "" {
		return "organisation " + a.quote(name)
	}
	return fmt.Sprintf("organisation %d", i+1)
}

func (a *audit) checkOrganisations() {
	names := map[string]int{}
	owners := map[briarspring.KeyDigest]int{}
	callable := false // Some organisation has a key that counts.
	for i, o := range a.directory.Organisations {
		subject := a.organisationSubject(i)
		first, known := names[o.Name]
		switch {
		case o.Name == "":
			a.add(Error, subject, "has no name: hosts ignore it")
			continue
		case known:
			a.add(Error, subject, "entry %d has the name of entry %d: only the first one counts", i+1, first+1)
			continue
		}
		names[o.Name] = i
		if a.show(o.Name) == hidden {
			a.add(Error, subject, "the name of entry %d is a key", i+1)
		}
		a.checkKeys(i, owners)
		callable = callable || len(o.Keys) > 0
		a.checkLimits(i)
	}
	if !a.directory.KeysRequired || callable {
		return
	}
	for _, q := range a.directory.Queues {
		if !q.Public {
			a.add(Warning, a.queueSubject(q), "keys are required and no organisation has one: every call is refused")
		}
	}
}

// checkKeys reports keys of the organisation at a position; owners holds those of the
// earlier ones.
func (a *audit) checkKeys(i int, owners map[briarspring.KeyDigest]int) {
	o, subject := a.directory.Organisations[i], a.organisationSubject(i)
	if len(o.Keys) == 0 {
		a.add(Warning, subject, "has no key: it has no callers")
	}
	shared := map[int]int{} // Number of keys by the earlier organisation that has them.
	repeated := 0
	for _, k := range o.Keys {
		switch first, known := owners[k]; {
		case !known:
			owners[k] = i
		case first == i:
			repeated++
		default:
			shared[first]++
		}
	}
	for j := range i {
		if n := shared[j]; n > 0 {
			a.add(Error, subject, "has %d of the keys of %s: they count only for the latter, which comes first", n, a.organisationSubject(j))
		}
	}
	if repeated > 0 {
		a.add(Note, subject, "lists %d keys more than once", repeated)
	}
}

func (a *audit) checkLimits(i int) {
	o, subject := a.directory.Organisations[i], a.organisationSubject(i)
	if weight, written := a.draft.Weights[i]; written {
		switch {
		case weight <= 0:
			a.add(Error, subject, "weight %g is not above zero: hosts ignore it and use %g", weight, o.Weight)
		case weight != o.Weight:
			a.add(Error, subject, "weight %g is out of range: hosts use %g", weight, o.Weight)
		}
	}
	t := a.config.Task
	for _, d := range []struct {
		name        string
		limit, task int64
		unit        string
	}{
		{"processors", o.Limit.MilliCPU(), t.MilliCPU(), "thousandths of a core"},
		{"memory", o.Limit.MemoryMiB(), t.MemoryMiB(), "MiB"},
		{"accelerators", o.Limit.Accelerators(), t.Accelerators(), "devices"},
	} {
		if d.limit > 0 && d.limit < d.task {
			a.add(Warning, subject, "its limit on %s, %d %s, is below one task of the usual size (%d): at most one runs at a time, and only if nothing else does",
				d.name, d.limit, d.unit, d.task)
		}
	}
}
