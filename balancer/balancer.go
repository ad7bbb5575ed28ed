// Package balancer decides which data centre runs a workflow, when it is
// accepted and when tasks wait where they can't start. It does no input or
// output.
package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"briarspring"
	"briarspring/registrar"
)

const (
	// homeBonus in seconds of backlog keeps workflows in the data centre that
	// took them, so that no bytes travel for small differences.
	homeBonus = 0.6
	// silentOwner is the age of an owner's beat from which its data centre gets
	// no workflows while others do.
	silentOwner = 3 * time.Second
	// lastingLimit is the share of a data centre's processors that lasting tasks
	// may reserve before others are preferred: urgent ones need the rest.
	lastingLimit = 0.82
	// homeRoom in thousandths of a core favours the data centre that took a
	// workflow over others with as much room for its image.
	homeRoom = 20000
	// roomFactor is how many times a task's processors must be free in another
	// data centre before a waiting task goes there; what is free may be taken
	// meanwhile.
	roomFactor = 2
)

// Option is a data centre as the choice sees it.
type Option struct {
	DataCentre string
	Out        bool             // Operators took it out of service.
	Owned      bool             // It has an owner.
	BeatAge    time.Duration    // Of the owner's last sign of life.
	Backlog    float64          // Seconds that all its processors need for what waits.
	Free       int64            // Thousandths of a core that are not reserved.
	Largest    int64            // The same of the worker with most of them.
	Total      int64            // Thousandths of a core in all.
	Lasting    int64            // Thousandths of a core that accepted lasting workflows reserve.
	Rooms      map[string]int64 // Idle thousandths of a core by the image that could use them.
}

// serves reports whether the data centre can run work at present.
func (o *Option) serves() bool { return !o.Out && o.Owned && o.BeatAge <= silentOwner }

// Catalogue tells which data centres are out of service.
type Catalogue interface {
	Out(dataCentre string) bool
}

// Options returns the data centres as a host knows them.
func Options(now time.Duration, dataCentres []string, r *registrar.Registry, c Catalogue) []Option {
	var options []Option
	for _, name := range dataCentres {
		beat := r.Beat(name)
		o := Option{
			DataCentre: name, Out: c.Out(name), Owned: r.Claim(name).Owner != "", BeatAge: now - beat.At,
			Free: beat.Content.Free, Largest: beat.Content.Largest, Total: beat.Content.Total, Rooms: beat.Content.Rooms,
			Lasting: r.Lasting(name),
		}
		if beat.Content.Total > 0 {
			o.Backlog = float64(beat.Content.Backlog) / float64(beat.Content.Total)
		}
		options = append(options, o)
	}
	return options
}

// Choose returns the data centre for a new workflow; empty when all are out of
// service. Lasting ones of an image go to the same data centre, work that fills
// goes where its image presses nothing, and the rest stays at home while there
// is room.
func Choose(home string, w *briarspring.Workflow, options []Option) string {
	spec := &w.Steps[0]
	switch {
	case spec.Lasting && spec.Image != "":
		if to := chooseLasting(spec, options); to != "" {
			return to
		}
	case spec.Fills && spec.Image != "":
		if to := chooseFilling(home, spec, options); to != "" {
			return to
		}
	case !spec.Lasting && !spec.Fills:
		if to := chooseReserved(home, spec, options); to != "" {
			return to
		}
	}
	return chooseLeast(home, options)
}

// chooseReserved returns the home data centre while it has room for the first
// step, and else the one with most free processors; empty when none has enough.
// It answers urgent work that meets a data centre full of lasting tasks.
func chooseReserved(home string, s *briarspring.Step, options []Option) string {
	need := int64(s.Tasks) * s.Resources.MilliCPU()
	best, bestFree := "", int64(0)
	for _, o := range options {
		if !o.serves() || o.Largest < s.Resources.MilliCPU() || o.Free < need {
			continue
		}
		if o.DataCentre == home && o.Free >= roomFactor*need {
			return home
		}
		if best == "" || o.Free > bestFree {
			best, bestFree = o.DataCentre, o.Free
		}
	}
	return best
}

// chooseLeast returns the data centre with the least backlog, the home one
// before others that are not much better. It answers bursts that meet one data
// centre harder than the others, and data centres that are out of service or
// have lost their owner.
func chooseLeast(home string, options []Option) string {
	best, bestCost := "", 0.0
	for _, o := range options {
		if o.Out {
			continue
		}
		cost := o.Backlog
		if o.DataCentre != home {
			cost += homeBonus
		}
		if !o.serves() {
			cost += silentOwner.Seconds()
		}
		if best == "" || cost < bestCost {
			best, bestCost = o.DataCentre, cost
		}
	}
	return best
}

// chooseLasting returns the first data centre with room, in an order that every
// host finds for the image without asking the others. Images differ in what
// presses them, so a data centre with few of them has workers for most of what
// fills. It answers many lasting workflows that are submitted at once to all
// hosts.
func chooseLasting(s *briarspring.Step, options []Option) string {
	need := int64(s.Tasks) * s.Resources.MilliCPU()
	best, bestRank := "", uint64(0)
	for _, o := range options {
		if !o.serves() || float64(o.Lasting+need) > lastingLimit*float64(o.Total) {
			continue
		}
		if rank := xxhash.Sum64String(s.Image + "/" + o.DataCentre); best == "" || rank > bestRank {
			best, bestRank = o.DataCentre, rank
		}
	}
	return best
}

// chooseFilling returns the data centre with most room for the image; empty when
// none tells of any.
func chooseFilling(home string, s *briarspring.Step, options []Option) string {
	best, bestRoom := "", int64(0)
	for _, o := range options {
		room, known := o.Rooms[s.Image]
		if !o.serves() || !known {
			continue
		}
		if o.DataCentre == home {
			room += homeRoom
		}
		if best == "" || room > bestRoom {
			best, bestRoom = o.DataCentre, room
		}
	}
	return best
}

// Elsewhere returns the data centre that takes a task which waits at home; empty
// when none has room for it. Tasks whose processors are reserved need a hole
// that is large enough.
func Elsewhere(home string, s *briarspring.Step, options []Option) string {
	best, bestRoom := "", int64(0)
	for _, o := range options {
		if o.DataCentre == home || !o.serves() {
			continue
		}
		need := s.Resources.MilliCPU()
		room := o.Free
		if s.Fills {
			room = o.Rooms[s.Image]
		} else if o.Largest < need {
			continue
		}
		if room < roomFactor*need && !s.Fills {
			continue
		}
		if best == "" || room > bestRoom {
			best, bestRoom = o.DataCentre, room
		}
	}
	return best
}
