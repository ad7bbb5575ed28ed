package dispatcher

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"briarspring"
)

// placeOn returns the view of a task of a second that takes three times as long
// elsewhere, before a rack of workers of one task each whose runs end at times.
func placeOn(ends ...time.Duration) *placeView {
	v := &placeView{
		extra: 2 * time.Second, saved: 2 * time.Second, takes: time.Second, slack: time.Minute, useful: 2 * time.Minute, need: cores(1), tasks: 1,
		racks: [][]placeWorker{nil},
	}
	for _, in := range ends {
		v.racks[0] = append(v.racks[0], placeWorker{limit: 10, claims: &[]placeClaim{}, coming: []comingRoom{{in: in, amount: cores(1)}}})
	}
	return v
}

func assertPlace(t *testing.T, want placeOutcome, v *placeView) {
	t.Helper()
	assert.Equal(t, want.String(), decidePlace(v).outcome.String())
}

func TestDecidePlace(t *testing.T) {
	t.Run("waits if room is expected well within the time saved", func(t *testing.T) {
		assertPlace(t, placeWait, placeOn(1500*time.Millisecond))
		assertPlace(t, placeTooLong, placeOn(1600*time.Millisecond))
	})
	t.Run("waits up to the time saved if only that is in time", func(t *testing.T) {
		v := placeOn(1900 * time.Millisecond)
		v.slack = 1900 * time.Millisecond
		assertPlace(t, placeWait, v)
		v = placeOn(1900 * time.Millisecond)
		v.slack = 1800 * time.Millisecond
		assertPlace(t, placeTooLong, v)
	})
	t.Run("counts the time waited so far", func(t *testing.T) {
		v := placeOn(time.Second)
		v.waited = 600 * time.Millisecond
		assertPlace(t, placeTooLong, v)
		v.waited = 2 * time.Second
		assertPlace(t, placeSpent, v)
	})
	t.Run("makes no workflow late that would be in time elsewhere", func(t *testing.T) {
		v := placeOn(time.Second)
		v.slack = 2900 * time.Millisecond
		assertPlace(t, placeDeadline, v)
	})
	t.Run("makes no late workflow worthless that would be of value elsewhere", func(t *testing.T) {
		v := placeOn(time.Second)
		v.slack, v.useful = 0, 2900*time.Millisecond
		assertPlace(t, placeDeadline, v)
	})
	t.Run("does not wait where nothing is known to end", func(t *testing.T) {
		v := placeOn(time.Second)
		v.racks[0][0].coming = nil
		assertPlace(t, placeUnknown, v)
		v.racks[0][0].limit = 0
		assertPlace(t, placeGone, v)
		assertPlace(t, placeGone, placeOn())
	})
	t.Run("does not wait if nothing is saved", func(t *testing.T) {
		v := placeOn(soonest)
		v.saved = 0
		assertPlace(t, placeUseless, v)
	})
	t.Run("lets long-running tasks wait for two seconds in all", func(t *testing.T) {
		v := placeOn(time.Second)
		v.longRunning, v.saved, v.slack, v.useful = true, 0, -time.Minute, -time.Minute
		assertPlace(t, placeWait, v)
		v = placeOn(time.Second)
		v.longRunning, v.waited = true, 1100*time.Millisecond
		assertPlace(t, placeTooLong, v)
		v.waited = 2 * time.Second
		assertPlace(t, placeSpent, v)
	})
	t.Run("refuses what an earlier owner may have had wait, and urgent tasks without spare room", func(t *testing.T) {
		v := placeOn(soonest)
		v.takenOver = true
		assertPlace(t, placeTakenOver, v)
		v.takenOver, v.scarce = false, true
		assertPlace(t, placeScarce, v)
	})
	t.Run("takes the rack that has room for a whole gang first", func(t *testing.T) {
		v := placeOn(time.Second, 1200*time.Millisecond)
		v.racks = append(v.racks, placeOn(200*time.Millisecond, 1400*time.Millisecond).racks[0])
		v.tasks = 2
		d := decidePlace(v)
		assert.Equal(t, placeWait, d.outcome)
		assert.Equal(t, 1200*time.Millisecond, d.expected)
		assert.Len(t, *v.racks[0][0].claims, 1)
		assert.Empty(t, *v.racks[1][0].claims)
	})
	// Guards against everyone waiting for one rack.
	t.Run("lets as many wait as the rack can start in time", func(t *testing.T) {
		v := placeOn(400*time.Millisecond, 700*time.Millisecond)
		n := 0
		for decidePlace(v).outcome == placeWait {
			n++
		}
		// Starts at 0.4 and 0.7 s, and again at 1.4 s, when the first one ends.
		assert.Equal(t, 3, n)
	})
}

// oracleRack is a random rack with the true ends of its runs.
type oracleRack struct {
	expected []time.Duration // Expected ends of runs, each on a worker of its own.
	actual   []time.Duration
}

// view returns the view at a time: an overdue run is expected to go on for a quarter
// of its time, and not counted from twice that time on.
func (o *oracleRack) view(v placeView, now, waited time.Duration) *placeView {
	v.waited, v.slack, v.useful = waited, v.slack-now, v.useful-now
	workers := []placeWorker{}
	for i, e := range o.expected {
		w := placeWorker{limit: 1, claims: &[]placeClaim{}}
		switch {
		case o.actual[i] <= now:
			w.free = cores(1)
		case now <= 2*e:
			w.coming = []comingRoom{{in: max(e-now, e/4) + soonest, amount: cores(1)}}
		}
		workers = append(workers, w)
	}
	v.racks = [][]placeWorker{workers}
	return &v
}

// randomPlace returns a random task before a random rack. The times are spread
// evenly, so that all limits come into play.
func randomPlace(r *rand.Rand) (placeView, oracleRack) {
	var o oracleRack
	for range r.Intn(4) {
		e := time.Duration(50+r.Intn(5000)) * time.Millisecond
		o.expected = append(o.expected, e)
		o.actual = append(o.actual, time.Duration((0.05+4*r.Float64())*float64(e)))
	}
	v := placeView{takes: time.Duration(100+r.Intn(5000)) * time.Millisecond, need: cores(1), tasks: 1}
	v.saved = time.Duration(4 * r.Float64() * float64(v.takes))
	v.extra = v.saved
	v.slack = time.Duration((4*r.Float64() - 1) * float64(v.saved))
	v.useful = v.slack + time.Duration(100+r.Intn(10000))*time.Millisecond
	return v, o
}

// Guards against a wait that costs more than the stated bound, whatever the runs on
// the rack do; the reference knows all ends.
func TestPlaceRegret(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		for range 100 {
			checkRegret(t, r)
		}
	})
}

func checkRegret(t *rapid.T, r *rand.Rand) {
	v, o := randomPlace(r)
	earliest := time.Duration(1 << 62)
	for _, a := range o.actual {
		earliest = min(earliest, a)
	}
	best := min(v.saved, earliest) + v.takes
	now := time.Duration(0)
	for earliest > now && decidePlace(o.view(v, now, now)).outcome == placeWait {
		now += planInterval
	}
	finish := now + v.takes
	if earliest > now {
		finish += v.saved
	}
	if finish > best+v.saved+planInterval {
		t.Fatalf("finishes at %v, best %v, bound %v: %+v, %+v", finish, best, v.saved, v, o)
	}
	if now > v.saved+planInterval {
		t.Fatalf("waits for %v, saves %v: %+v, %+v", now, v.saved, v, o)
	}
	if v.slack >= v.saved && finish > v.slack+v.takes+planInterval {
		t.Fatalf("late by a wait: finishes at %v, slack %v: %+v, %+v", finish, v.slack, v, o)
	}
	if v.useful >= v.saved && finish > v.useful+v.takes+planInterval {
		t.Fatalf("worthless by a wait: finishes at %v, of value until %v: %+v, %+v", finish, v.useful, v, o)
	}
}

// Guards against a rule that is worse on average than always or never waiting, when
// ends are as uncertain as the rule assumes.
func TestPlaceOnAverage(t *testing.T) {
	r := rand.New(rand.NewSource(7))
	var rule, never, always, best time.Duration
	const rounds = 4000
	for range rounds {
		e := time.Duration(1+r.Intn(5000)) * time.Millisecond
		o := oracleRack{expected: []time.Duration{e}, actual: []time.Duration{time.Duration(r.Float64() * 2 * float64(e))}}
		v := placeView{takes: time.Second, extra: 2 * time.Second, saved: 2 * time.Second, slack: time.Hour, useful: time.Hour, need: cores(1), tasks: 1}
		now := time.Duration(0)
		for o.actual[0] > now && decidePlace(o.view(v, now, now)).outcome == placeWait {
			now += planInterval
		}
		rule += now
		if o.actual[0] > now {
			rule += v.saved
		}
		never += v.saved
		always += o.actual[0]
		best += min(v.saved, o.actual[0])
	}
	t.Logf("mean delay of 2 s at most: rule %v, never %v, always %v, oracle %v", rule/rounds, never/rounds, always/rounds, best/rounds)
	assert.Less(t, rule, never)
	assert.Less(t, rule, always)
}

func TestFarFactor(t *testing.T) {
	learned := func(setting, truth float64) float64 {
		d := New(0, Config{FarMultiplier: setting})
		d.ratios["q"] = 1
		w := &briarspring.Workflow{Queue: "q", Steps: []briarspring.Step{{Tasks: 1, Rack: "r1", Estimate: time.Second}}}
		j := newJob(0, 0, w, 1)
		away := d.worker("w0")
		away.entry.Rack = "r2"
		for range 400 {
			r := &run{task: j.tasks[0], worker: away, ref: briarspring.RunRef{Run: 1}, since: d.now}
			d.now += time.Duration(truth * float64(time.Second))
			d.learnRunTime(j.tasks[0], r)
		}
		assert.InDelta(t, 1, d.ratios["q"], 1e-9, "runs far away don't count as near")
		return d.farFactor.data
	}
	t.Run("is learned from runs far away", func(t *testing.T) {
		assert.InDelta(t, 1.5, learned(3, 1.5), 0.01)
		assert.InDelta(t, 4, learned(3, 4), 0.01)
	})
	t.Run("stays within bounds", func(t *testing.T) {
		assert.InDelta(t, 5, learned(3, 9), 1e-9)
		assert.InDelta(t, 1, learned(3, 0.2), 1e-9)
		assert.InDelta(t, 1, learned(1, 9), 1e-9)
	})
	t.Run("is nothing without the setting", func(t *testing.T) {
		assert.False(t, New(0, Config{}).farFactor.enabled())
	})
}
