// Package balancer chooses the data centre of a workflow, when it is accepted
// and later for tasks that can't start where they wait. It does no I/O.
package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarspring"
	"briarspring/registrar"
)

const (
	// homeBonus, in seconds of backlog, favours the data centre that received a
	// workflow, so that small differences cause no traffic between data centres.
	homeBonus = 0.6
	// maxSilence is the age of an owner's heartbeat above which its data
	// centre gets no workflows while others are available.
	maxSilence = 3 * time.Second
	// maxLongRunning is the fraction of a data centre's cores that long-running
	// tasks may reserve before other data centres are preferred: urgent tasks need
	// the rest.
	maxLongRunning = 0.82
	// homeIdleBonus, in thousandths of a core, favours the data centre that
	// received a workflow over others with as many idle cores for its image.
	homeIdleBonus = 20000
	// freeFactor is the ratio of free to needed cores from which a new workflow
	// stays in the home data centre, and a waiting task may go to another one:
	// other tasks may take some of the cores meanwhile.
	freeFactor = 2
)

// Option is the state of a data centre that can be chosen.
type Option struct {
	DataCentre   string
	OutOfService bool                   // Taken out of service by operators.
	Owned        bool                   // It has an owner.
	HeartbeatAge time.Duration          // Age of the owner's last heartbeat.
	Backlog      float64                // Seconds that all its cores need for the waiting work.
	Free         int64                  // Thousandths of a core that are not reserved.
	LargestFree  int64                  // Free thousandths of a core on the worker with the most.
	Total        int64                  // Thousandths of a core in total.
	LongRunning  int64                  // Thousandths of a core reserved by accepted long-running workflows.
	IdleByImage  map[string]int64       // Idle thousandths of a core that best-effort tasks could use, by image.
	Inventory    *briarspring.Inventory // What it has that tasks may require; nil if that is not known.
}

// available reports whether the data centre can run workflows now.
func (o *Option) available() bool { return !o.OutOfService && o.Owned && o.HeartbeatAge <= maxSilence }

// canRun reports whether the data centre has workers for each of the steps, whether
// or not they have room. One whose inventory is not known counts as able.
func (o *Option) canRun(service string, steps []*briarspring.Step) bool {
	if o.Inventory == nil {
		return true
	}
	for _, s := range steps {
		if !o.Inventory.CanRun(service, s) {
			return false
		}
	}
	return true
}

// able returns the data centres that can run all of the steps.
func able(service string, steps []*briarspring.Step, options []Option) []Option {
	var list []Option
	for _, o := range options {
		if o.canRun(service, steps) {
			list = append(list, o)
		}
	}
	return list
}

// Catalogue reports which data centres are out of service.
type Catalogue interface {
	OutOfService(dataCentre string) bool
}

// Options returns the state of the data centres in a host's replica.
func Options(now time.Duration, dataCentres []string, r *registrar.Registry, c Catalogue) []Option {
	var options []Option
	for _, name := range dataCentres {
		heartbeat := r.Heartbeat(name)
		o := Option{
			DataCentre: name, OutOfService: c.OutOfService(name), Owned: r.Claim(name).Owner != "", HeartbeatAge: now - heartbeat.At,
			Free: heartbeat.Content.Free, LargestFree: heartbeat.Content.Largest, Total: heartbeat.Content.Total, IdleByImage: heartbeat.Content.IdleByImage,
			LongRunning: r.LongRunningMilliCPU(name),
		}
		if v, ok := r.Inventory(name); ok {
			o.Inventory = &v.Content
		}
		if heartbeat.Content.Total > 0 {
			o.Backlog = float64(heartbeat.Content.Backlog) / float64(heartbeat.Content.Total)
		}
		options = append(options, o)
	}
	return options
}

// Choose returns the data centre for a new workflow, or "" if all are out of
// service. Only those that can run all its steps are considered, if there are any,
// and the one with the rack of its data counts as home. Long-running workflows of an
// image go to the same data centre, best-effort ones where their image can use most
// idle cores, and others stay in the home data centre while it has enough free cores.
func Choose(home string, w *briarspring.Workflow, options []Option) string {
	spec := &w.Steps[0]
	if some := able(w.Service, stepsOf(w), options); inService(some) {
		options = some
	}
	for _, o := range options {
		if spec.Rack != "" && o.available() && o.Inventory != nil && o.Inventory.HasRack(spec.Rack) {
			home = o.DataCentre
		}
	}
	switch {
	case spec.LongRunning && spec.Image != "":
		if to := chooseLongRunning(spec, options); to != "" {
			return to
		}
	case spec.BestEffort && spec.Image != "":
		if to := chooseBestEffort(home, spec, options); to != "" {
			return to
		}
	case !spec.LongRunning && !spec.BestEffort:
		if to := chooseReserved(home, spec, options); to != "" {
			return to
		}
	}
	return chooseLeastBacklog(home, options)
}

func stepsOf(w *briarspring.Workflow) []*briarspring.Step {
	var steps []*briarspring.Step
	for i := range w.Steps {
		steps = append(steps, &w.Steps[i])
	}
	return steps
}

// inService reports whether any of the data centres is in service.
func inService(options []Option) bool {
	return slices.ContainsFunc(options, func(o Option) bool { return !o.OutOfService })
}

// chooseReserved returns the home data centre if it has freeFactor times the
// cores that the first step needs, else the one with most free cores of those
// that have enough for it, or "" if there is none. It keeps urgent workflows out
// of a data centre full of long-running tasks.
func chooseReserved(home string, s *briarspring.Step, options []Option) string {
	need := int64(s.Tasks) * s.Resources.MilliCPU()
	best, bestFree := "", int64(0)
	for _, o := range options {
		if !o.available() || o.LargestFree < s.Resources.MilliCPU() || o.Free < need {
			continue
		}
		if o.DataCentre == home && o.Free >= freeFactor*need {
			return home
		}
		if best == "" || o.Free > bestFree {
			best, bestFree = o.DataCentre, o.Free
		}
	}
	return best
}

// chooseLeastBacklog returns the data centre with the least backlog, preferring
// the home one over slightly better ones. It spreads bursts that hit one data
// centre harder than the others, and avoids data centres that are out of service
// or have lost their owner.
func chooseLeastBacklog(home string, options []Option) string {
	best, bestCost := "", 0.0
	for _, o := range options {
		if o.OutOfService {
			continue
		}
		cost := o.Backlog
		if o.DataCentre != home {
			cost += homeBonus
		}
		if !o.available() {
			cost += maxSilence.Seconds()
		}
		if best == "" || cost < bestCost {
			best, bestCost = o.DataCentre, cost
		}
	}
	return best
}

// chooseLongRunning returns the first data centre with capacity in the image's
// rendezvous order, so that all hosts choose alike without coordination when many
// long-running workflows are submitted to them at once. Images differ in which
// others interfere with them, so a data centre that serves few images has workers
// for most best-effort ones.
func chooseLongRunning(s *briarspring.Step, options []Option) string {
	need := int64(s.Tasks) * s.Resources.MilliCPU()
	best, bestRank := "", uint64(0)
	for _, o := range options {
		if !o.available() || float64(o.LongRunning+need) > maxLongRunning*float64(o.Total) {
			continue
		}
		if rank := xxhash.Sum64String(s.Image + "/" + o.DataCentre); best == "" || rank > bestRank {
			best, bestRank = o.DataCentre, rank
		}
	}
	return best
}

// chooseBestEffort returns the data centre with most idle cores for the image, or
// "" if none has reported any for it.
func chooseBestEffort(home string, s *briarspring.Step, options []Option) string {
	best, bestIdle := "", int64(0)
	for _, o := range options {
		idle, known := o.IdleByImage[s.Image]
		if !o.available() || !known {
			continue
		}
		if o.DataCentre == home {
			idle += homeIdleBonus
		}
		if best == "" || idle > bestIdle {
			best, bestIdle = o.DataCentre, idle
		}
	}
	return best
}

// ChooseOther returns another data centre for tasks of some steps that wait in the
// home one, or "" if there is none. It must be able to run all of the steps. A task
// of the first step that reserves cores needs freeFactor times its cores free there
// and must fit on a single worker, unless the home data centre can't run it at all; a
// best-effort task goes where its image can use most idle cores.
func ChooseOther(home, service string, steps []*briarspring.Step, options []Option) string {
	stuck := false
	for _, o := range options {
		stuck = stuck || o.DataCentre == home && !o.canRun(service, steps)
	}
	best, bestFree := "", int64(0)
	for _, o := range able(service, steps, options) {
		if o.DataCentre == home || !o.available() {
			continue
		}
		s := steps[0]
		need, free := s.Resources.MilliCPU(), o.Free
		if s.BestEffort {
			free = o.IdleByImage[s.Image]
		} else if !stuck && (o.LargestFree < need || free < freeFactor*need) {
			continue
		}
		if best == "" || free > bestFree {
			best, bestFree = o.DataCentre, free
		}
	}
	return best
}
