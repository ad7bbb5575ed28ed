package dispatcher

import (
	"math"
	"time"

	"briarspring"
)

// Organisation is what a data centre's owner knows of an organisation.
type Organisation struct {
	Name   string
	Weight float64
	Limit  briarspring.Resources // Of the whole fleet; a zero field is no limit.
	Parts  int                   // Parts of the limit that this data centre may use, of briarspring.QuotaParts.
}

// OrganisationUse is what an organisation uses in this data centre.
type OrganisationUse struct {
	Used     briarspring.Resources // Of runs that may be alive.
	Possible briarspring.Resources // At most in use by runs that are not known yet, beyond Used; zero where there is no limit.
	Waiting  briarspring.Resources // Needs of tasks that are ready and that only the quota holds back.
}

// organisation is the owner's state of an organisation. Workflows without one
// share a state with an empty name and no limit.
type organisation struct {
	name    string
	weight  float64
	limit   briarspring.Resources
	parts   int
	share   briarspring.Resources // Of the limit, by parts; see shareOf.
	whole   briarspring.Resources // The same of all parts.
	listed  bool                  // In the last list.
	jobs    int                   // Jobs of it that the dispatcher holds.
	used    briarspring.Resources
	waiting briarspring.Resources // As of the last pass.

	uses         []classUse             // What used consists of.
	queue        []rankedStep           // Waiting steps, while a pass orders them.
	submissions  map[int64]*submissions // By window.
	newestWindow int64
	counters     *OrganisationCounters // Nil before the first event.
}

// defaultWeight is the weight of an organisation whose weight is not known or not
// above zero, and of all workflows without an organisation together.
const defaultWeight = 1

// organisationOf returns the state of an organisation and adds it if it is unknown.
func (d *Dispatcher) organisationOf(name string) *organisation {
	o := d.organisations[name]
	if o == nil {
		o = &organisation{name: name, weight: defaultWeight, newestWindow: math.MinInt64}
		o.setLimit(briarspring.Resources{}, 0)
		d.organisations[name] = o
	}
	return o
}

// SetOrganisations sets the organisations of a version of the directory, with the
// parts of their limits that this data centre holds. One that is missing from the
// list keeps its last limit and parts until the last of its workflows here has
// ended, so that its waiting tasks don't exceed the limit meanwhile.
func (d *Dispatcher) SetOrganisations(now time.Duration, list []Organisation, directoryVersion uint64) {
	d.now = now
	if !d.organisationsKnown {
		d.organisationsKnown = true
		d.needsPlan = true
	}
	d.directoryVersion = directoryVersion
	for _, o := range d.organisations {
		o.listed = false
	}
	for _, entry := range list {
		if entry.Name == "" {
			continue
		}
		o := d.organisationOf(entry.Name)
		o.listed = true
		weight := entry.Weight
		if !(weight > 0) || math.IsInf(weight, 1) {
			weight = defaultWeight
		}
		if o.limit != entry.Limit || o.parts != entry.Parts || o.weight != weight {
			d.needsPlan = true
		}
		o.setLimit(entry.Limit, min(max(0, entry.Parts), briarspring.QuotaParts))
		if o.weight != weight {
			o.weight = weight
			o.reclassify()
		}
	}
	d.limited = false
	for _, o := range d.organisations {
		d.forgetOrganisation(o)
		d.limited = d.limited || !o.limit.IsZero()
	}
}

func (o *organisation) setLimit(limit briarspring.Resources, parts int) {
	o.limit, o.parts = limit, parts
	o.share, o.whole = shareOf(limit, parts), shareOf(limit, briarspring.QuotaParts)
}

// forgetOrganisation drops an organisation that is not listed and has no job here.
func (d *Dispatcher) forgetOrganisation(o *organisation) {
	if !o.listed && o.jobs == 0 {
		delete(d.organisations, o.name)
	}
}

// joinOrganisation counts a new job for its organisation.
func (d *Dispatcher) joinOrganisation(j *job) {
	j.organisation = d.organisationOf(j.workflow.Organisation)
	j.organisation.jobs++
	j.organisation.recordSubmission(j)
}

// dropJob forgets a job, which has no live runs.
func (d *Dispatcher) dropJob(j *job) {
	delete(d.jobs, j.workflow.ID)
	j.organisation.jobs--
	j.organisation.forgetSubmission(j)
	d.forgetOrganisation(j.organisation)
}

// countRun adds what a run that may be alive uses; sign is -1 to take it away again.
func (o *organisation) countRun(r *run, sign int64) {
	spec := r.task.step.spec()
	amount := spec.Resources.Times(sign)
	o.used = o.used.Add(amount)
	o.countUse(classOf(r.task.step), amount)
}

// OrganisationUse returns the use of each organisation with a limit, for those that have
// workflows here or where anything is above zero. Workflows count without runs, since
// parts of the limit have to be requested for their later tasks.
func (d *Dispatcher) OrganisationUse() map[string]OrganisationUse {
	d.updateUnseen()
	list := map[string]OrganisationUse{}
	for name, o := range d.organisations {
		if o.limit.IsZero() {
			continue
		}
		use := OrganisationUse{Used: o.used, Possible: d.possible(o), Waiting: o.waiting}
		if o.jobs > 0 || use != (OrganisationUse{}) {
			list[name] = use
		}
	}
	return list
}

const (
	// maxOrganisationNames limits the names of organisations in counters, and with it
	// the number of metrics.
	maxOrganisationNames = 32
	// otherOrganisations is the name of the counters of all further ones.
	otherOrganisations = "other"
)

// OrganisationCounters holds event counts of an organisation, for metrics.
type OrganisationCounters struct {
	Starts     uint64
	QuotaWaits uint64 // Tasks that began to wait for quota.
}

// namedCounters holds the counters of the organisations that counted first by their
// names, and those of the rest as one.
type namedCounters map[string]*OrganisationCounters

func (n namedCounters) of(name string) *OrganisationCounters {
	if c, ok := n[name]; ok {
		return c
	}
	if len(n) >= maxOrganisationNames-1 { // One more name is for the rest.
		name = otherOrganisations
	}
	if n[name] == nil {
		n[name] = &OrganisationCounters{}
	}
	return n[name]
}

// countersOf returns the counters of an organisation with a name.
func (d *Dispatcher) countersOf(o *organisation) *OrganisationCounters {
	if o.counters == nil {
		o.counters = d.organisationCounters.of(o.name)
	}
	return o.counters
}

// OrganisationCounters returns the event counts so far of at most 32 names; those of further
// organisations are counted as "other".
func (d *Dispatcher) OrganisationCounters() map[string]OrganisationCounters {
	list := map[string]OrganisationCounters{}
	for name, c := range d.organisationCounters {
		list[name] = *c
	}
	return list
}
