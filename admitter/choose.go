package admitter

import (
	"time"

	"briarspring/registrar"
)

const (
	// homeBonus in seconds of backlog keeps workflows in the data centre that
	// took them, so that no bytes travel for small differences.
	homeBonus = 0.6
	// silentOwner is the age of an owner's beat from which its data centre gets
	// no workflows while others do.
	silentOwner = 3 * time.Second
)

// Choice is the data centre that is to run a workflow; empty for none.
type Choice struct {
	DataCentre string
}

// Option is a data centre as the choice sees it.
type Option struct {
	DataCentre string
	Out        bool          // Operators took it out of service.
	Owned      bool          // It has an owner.
	BeatAge    time.Duration // Of the owner's last sign of life.
	Backlog    float64       // Seconds that all its processors need for what waits.
}

// choose picks the data centre for a new workflow.
func (a *Admitter) choose() Choice {
	now := a.config.Now()
	var options []Option
	a.config.Replica.View(func(r *registrar.Registry) {
		for _, name := range a.config.DataCentres {
			beat := r.Beat(name)
			o := Option{
				DataCentre: name, Out: a.config.Catalogue.Out(name),
				Owned: r.Claim(name).Owner != "", BeatAge: now - beat.At,
			}
			if beat.Content.Total > 0 {
				o.Backlog = float64(beat.Content.Backlog) / float64(beat.Content.Total)
			}
			options = append(options, o)
		}
	})
	return Choose(a.config.DataCentre, options)
}

// Choose returns the data centre with the least backlog, the home one before
// others that are not much better. It answers bursts that meet one data centre
// harder than the others, and data centres that are out of service or have lost
// their owner.
func Choose(home string, options []Option) Choice {
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
	return Choice{DataCentre: best}
}
