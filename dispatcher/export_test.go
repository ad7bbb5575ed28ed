package dispatcher

import "time"

// SetPlaceRule replaces the decision to wait for a good place by one that depends on
// the time waited alone, for comparisons.
func (d *Dispatcher) SetPlaceRule(waits func(waited time.Duration) bool) {
	d.places.decide = func(v *placeView) placeDecision {
		if waits(v.waited) {
			return placeDecision{outcome: placeWait}
		}
		return placeDecision{outcome: placeSpent}
	}
}

// FarMultiplier returns the learned factor of run times away from the data.
func (d *Dispatcher) FarMultiplier() float64 { return d.farFactor.data }
