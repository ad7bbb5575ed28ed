package briarspring

import "time"

// maxObjective limits chains and objectives, so that sums of a few of them and of
// due times stay in the range of time.Duration.
const maxObjective = 10 * 365 * 24 * time.Hour

// Chains returns, for each step, the declared run time of the longest chain of
// steps that starts with it. The time it takes is linear in the number of steps
// and dependencies.
func (w *Workflow) Chains() []time.Duration {
	chains := make([]time.Duration, len(w.Steps))
	// Dependencies point to earlier steps, so on the way back chains[i] already
	// holds the longest chain that follows step i.
	for i := len(w.Steps) - 1; i >= 0; i-- {
		chains[i] = min(max(0, w.Steps[i].Estimate), maxObjective-chains[i]) + chains[i]
		for _, a := range w.Steps[i].After {
			chains[a] = max(chains[a], chains[i])
		}
	}
	return chains
}

// LongestChain returns the declared run time of the longest chain of steps.
func (w *Workflow) LongestChain() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Chains() {
		longest = max(longest, c)
	}
	return longest
}

// Objective returns the workflow's latency objective, counted from submission or
// from the due time of an occurrence.
func (w *Workflow) Objective() time.Duration {
	stretched := min(max(0, w.Stretch*float64(w.LongestChain())), float64(maxObjective))
	return min(time.Duration(stretched)+w.Allowance, maxObjective)
}
