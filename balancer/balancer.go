// Package balancer decides which data centre runs a workflow, when it is
// accepted and when tasks wait where they can't start. It does no input or
// output.
package balancer

import (
	"time"

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
	// roomFactor is how many times a task's processors must be free in another
	// data centre before a waiting task goes there; what is free may be taken
	// meanwhile.
	roomFactor = 2
)

// Option is a data centre as the choice sees it.
type Option struct {
	DataCentre string
	Out        bool          // Operators took it out of service.
	Owned      bool          // It has an owner.
	BeatAge    time.Duration // Of the owner's last sign of life.
	Backlog    float64       // Seconds that all its processors need for what waits.
	Free       int64         // Thousandths of a core that are not reserved.
	Largest    int64         // The same of the worker with most of them.
}

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
			Free: beat.Content.Free, Largest: beat.Content.Largest,
		}
		if beat.Content.Total > 0 {
			o.Backlog = float64(beat.Content.Backlog) / float64(beat.Content.Total)
		}
		options = append(options, o)
	}
	return options
}

// Choose returns the data centre with the least backlog for a new workflow, the
// home one before others that are not much better; empty when all are out of
// service. It answers bursts that meet one data centre harder than the others,
// and data centres that are out of service or have lost their owner.
func Choose(home string, options []Option) string {
	best, bestCost := "", 0.0
	for _, o := range options {
		if o.Out {
			continue
		}
		cost := o.Backlog
		if o.DataCentre != home {
			cost += homeBonus
		}
		if !o.Owned || o.BeatAge > silentOwner {
			cost += silentOwner.Seconds()
		}
		if best == "" || cost < bestCost {
			best, bestCost = o.DataCentre, cost
		}
	}
	return best
}

// Elsewhere returns the data centre that takes a task which waits at home; empty
// when none has room for it. Tasks whose processors are reserved need a hole
// that is large enough, others go where the backlog is least.
func Elsewhere(home string, s *briarspring.Step, options []Option) string {
	best, bestCost := "", 0.0
	for _, o := range options {
		if o.DataCentre == home || o.Out || !o.Owned || o.BeatAge > silentOwner {
			continue
		}
		need := s.Resources.MilliCPU()
		if !s.Fills && (o.Largest < need || o.Free < roomFactor*need) {
			continue
		}
		cost := o.Backlog
		if !s.Fills {
			cost = -float64(o.Free)
		}
		if best == "" || cost < bestCost {
			best, bestCost = o.DataCentre, cost
		}
	}
	return best
}
