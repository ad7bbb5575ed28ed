package dispatcher

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
)

func cores(n float64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: int64(n * briarspring.MilliCPUPerCore)})
}

// randomView returns a view of a few workers.
func randomView(r *rand.Rand, steps int) roomView {
	v := roomView{budget: r.Intn(6), allowances: []int{r.Intn(3), r.Intn(3), unboundedMissing}}
	for range 1 + r.Intn(4) {
		w := roomWorker{free: cores(r.Float64() * 5)}
		if r.Intn(2) == 0 {
			w.coming = append(w.coming, comingRoom{in: time.Duration(r.Intn(2000)) * time.Millisecond, amount: cores(1 + r.Float64()*5)})
		}
		for range r.Intn(4) {
			w.candidates = append(w.candidates, roomCandidate{amount: cores(4 + 5*r.Float64()), priority: r.Intn(2), group: r.Intn(3)})
		}
		v.workers = append(v.workers, w)
	}
	for range steps {
		slack := time.Duration(r.Intn(2000)-500) * time.Millisecond
		v.steps = append(v.steps, roomStep{
			need: cores(2 + 9*r.Float64()), tasks: 1 + r.Intn(4), priority: r.Intn(2), slack: slack, useful: slack + time.Second,
			limit: func(int) int { return 3 },
		})
	}
	return v
}

// clone returns a copy that a decision does not change.
func (v roomView) clone() roomView {
	c := v
	c.workers = append([]roomWorker(nil), v.workers...)
	c.allowances = append([]int(nil), v.allowances...)
	return c
}

// places returns how many tasks of the view's only step have room by a time after
// a set of stops, given as bits for each worker.
func (v roomView) places(by time.Duration, stopped []int) int {
	n := 0
	for i, w := range v.workers {
		room := w.free
		for _, c := range w.coming {
			if c.in <= by {
				room = room.Add(c.amount)
			}
		}
		for c := range w.candidates {
			if stopped[i]&(1<<c) != 0 {
				room = room.Add(w.candidates[c].amount)
			}
		}
		n += min(times(room, v.steps[0].need), 3)
	}
	return min(n, v.steps[0].tasks)
}

// fewest returns the fewest stops by which the whole step has room by a time, by trying
// all, or -1 if none do.
func (v roomView) fewest(by time.Duration) int {
	best := -1
	stopped := make([]int, len(v.workers))
	var try func(w, count int)
	try = func(w, count int) {
		if w == len(v.workers) {
			if (best < 0 || count < best) && v.valid(stopped) && v.places(by, stopped) == v.steps[0].tasks {
				best = count
			}
			return
		}
		for bits := range 1 << len(v.workers[w].candidates) {
			stopped[w] = bits
			n := 0
			for b := bits; b > 0; b &= b - 1 {
				n++
			}
			try(w+1, count+n)
		}
		stopped[w] = 0
	}
	try(0, 0)
	return best
}

// valid reports whether stops are within the budget, the allowances and the priority.
func (v roomView) valid(stopped []int) bool {
	left := append([]int(nil), v.allowances...)
	budget := v.budget
	for i, w := range v.workers {
		for c, candidate := range w.candidates {
			if stopped[i]&(1<<c) == 0 {
				continue
			}
			budget--
			left[candidate.group]--
			if budget < 0 || left[candidate.group] < 0 || candidate.priority < v.steps[0].priority {
				return false
			}
		}
	}
	return true
}

// Guards against decisions that break a limit, stop tasks without need, or stop many more
// than the fewest possible, which is found by trying all.
func TestRoomAgainstAllChoices(t *testing.T) {
	decided, more, missed := 0, 0, 0
	for seed := range int64(3000) {
		r := rand.New(rand.NewSource(seed))
		v := randomView(r, 1)
		before := v.clone()
		d := decideRoom(&v)
		stopped := make([]int, len(v.workers))
		for _, s := range d.stops {
			stopped[s.worker] |= 1 << s.candidate
		}
		assert.True(t, before.valid(stopped), "seed %d", seed)
		s := before.steps[0]
		by := s.slack
		if by < stopTime || before.fewest(by) < 0 {
			by = s.useful
		}
		fewest := before.fewest(by)
		switch {
		case by < stopTime:
			assert.Equal(t, roomTooLate, d.outcomes[0])
			assert.Empty(t, d.stops, "seed %d", seed)
		case fewest == 0:
			assert.Equal(t, roomExpected, d.outcomes[0], "seed %d", seed)
			assert.Empty(t, d.stops, "seed %d", seed)
		case fewest > 0:
			decided++
			if d.outcomes[0] != roomMade {
				missed++
			} else if len(d.stops) > fewest {
				more++
				assert.LessOrEqual(t, len(d.stops), fewest+1, "seed %d", seed)
			}
		}
	}
	t.Logf("%d decisions: %d stop one more than needed, %d find no way although there is one", decided, more, missed)
	assert.Less(t, more+missed, decided/20)
}

// Guards against a limit that several steps break together.
func TestRoomOfSeveralSteps(t *testing.T) {
	for seed := range int64(3000) {
		r := rand.New(rand.NewSource(seed))
		v := randomView(r, 5)
		before := v.clone()
		d := decideRoom(&v)
		assert.Len(t, d.outcomes, 5)
		assert.LessOrEqual(t, len(d.stops), before.budget, "seed %d", seed)
		seen := map[string]bool{}
		left := before.allowances
		for _, s := range d.stops {
			key := fmt.Sprint(s.worker, "/", s.candidate)
			assert.False(t, seen[key], "seed %d: %s is stopped twice", seed, key)
			seen[key] = true
			c := before.workers[s.worker].candidates[s.candidate]
			left[c.group]--
			assert.GreaterOrEqual(t, left[c.group], 0, "seed %d", seed)
			assert.GreaterOrEqual(t, c.priority, before.steps[s.step].priority, "seed %d", seed)
			assert.NotEqual(t, roomTooLate, d.outcomes[s.step])
		}
	}
}
