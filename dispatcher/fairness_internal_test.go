package dispatcher

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"briarspring"
)

// contender is an organisation in the reference of progressive filling.
type contender struct {
	weight  float64
	task    briarspring.Resources
	used    briarspring.Resources
	waiting int
}

// fillOneByOne is the reference: it starts single tasks, each of the contender with the
// lowest weighted dominant share, until the room for tasks is used up.
func fillOneByOne(list []contender, capacity briarspring.Resources, starts int) []int {
	started := make([]int, len(list))
	for range starts {
		best, lowest := -1, math.Inf(1)
		for i, c := range list {
			amount := c.used.Add(c.task.Times(int64(started[i])))
			share := 0.0
			for _, of := range [][2]int64{
				{amount.MilliCPU(), capacity.MilliCPU()}, {amount.MemoryMiB(), capacity.MemoryMiB()}, {amount.Accelerators(), capacity.Accelerators()},
			} {
				if of[1] > 0 {
					share = math.Max(share, float64(of[0])/float64(of[1]))
				}
			}
			if share /= c.weight; started[i] < c.waiting && share < lowest {
				best, lowest = i, share
			}
		}
		if best < 0 {
			break
		}
		started[best]++
	}
	return started
}

// fillInTurns does the same with the functions of the product.
func fillInTurns(list []contender, capacity briarspring.Resources, starts, least int, part float64) []int {
	started := make([]int, len(list))
	share := func(i int) float64 {
		return dominantShare(list[i].used.Add(list[i].task.Times(int64(started[i]))), capacity, list[i].weight)
	}
	var claims claimHeap
	for i := range list {
		claims = append(claims, claim{claimant: claimant{share: share(i), rank: i}})
	}
	heap.Init(&claims)
	for len(claims) > 0 && starts > 0 {
		i := claims[0].rank
		n := turn(claims[0].share, claims.next(), part, dominantShare(list[i].task, capacity, list[i].weight), least)
		n = min(n, starts, list[i].waiting-started[i])
		started[i] += n
		starts -= n
		if started[i] == list[i].waiting {
			heap.Pop(&claims)
			continue
		}
		claims[0].share = share(i)
		heap.Fix(&claims, 0)
	}
	return started
}

// Guards against an organisation that gets more or less room than its weighted share.
func TestTurns(t *testing.T) {
	capacity := briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 400_000, MemoryMiB: 1_000_000, Accelerators: 8})
	draw := func(rt *rapid.T) ([]contender, int) {
		list := make([]contender, rapid.IntRange(1, 8).Draw(rt, "organisations"))
		for i := range list {
			list[i] = contender{
				weight:  rapid.SampledFrom([]float64{0.5, 1, 2, 5}).Draw(rt, "weight"),
				waiting: rapid.IntRange(1, 60).Draw(rt, "waiting"),
				task: briarspring.NewResources(briarspring.ResourcesConfig{
					MilliCPU: rapid.Int64Range(100, 11_000).Draw(rt, "processors"), MemoryMiB: rapid.Int64Range(10, 9_000).Draw(rt, "memory"),
				}),
			}
			list[i].used = list[i].task.Times(rapid.Int64Range(0, 9).Draw(rt, "used"))
		}
		return list, rapid.IntRange(0, 200).Draw(rt, "starts")
	}
	t.Run("of single tasks give what starting one by one gives", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			list, starts := draw(rt)
			want, got := fillOneByOne(list, capacity, starts), fillInTurns(list, capacity, starts, 1, 0)
			for i := range list {
				// Shares that are equal but for rounding may go either way.
				assert.InDelta(rt, want[i], got[i], 1, "%v, not %v", got, want)
			}
		})
	})
	t.Run("leave nobody behind by more than a turn", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			list, starts := draw(rt)
			part := rapid.Float64Range(0, 0.2).Draw(rt, "part")
			got := fillInTurns(list, capacity, starts, leastTurn, part)
			after := func(i, tasks int) float64 {
				return dominantShare(list[i].used.Add(list[i].task.Times(int64(tasks))), capacity, list[i].weight)
			}
			for i := range list {
				for k := range list {
					if got[i] < list[i].waiting && got[k] > 0 {
						before := math.Min(after(k, max(0, got[k]-leastTurn-1)), after(k, got[k]-1)-part)
						assert.LessOrEqual(rt, before, after(i, got[i])+1e-9, "%d has got more than %d: %v", k, i, got)
					}
				}
			}
		})
	})
}

// Guards against a class that depends on the order in which workflows arrive, or on the
// owner that counts them.
func TestSubmissions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weight := rapid.SampledFrom([]float64{0.01, 0.5, 1, 3}).Draw(rt, "weight")
		o := &organisation{name: "a", weight: weight, newestWindow: math.MinInt64}
		var jobs []*job
		for i := range rapid.IntRange(1, 60).Draw(rt, "workflows") {
			jobs = append(jobs, &job{workflow: &briarspring.Workflow{
				ID:        briarspring.WorkflowID(fmt.Sprintf("j%02d", i)),
				Submitted: time.UnixMilli(rapid.Int64Range(-3000, 14_000).Draw(rt, "at")),
			}})
		}
		for _, j := range rapid.Permutation(jobs).Draw(rt, "arrival") {
			o.recordSubmission(j)
			if rapid.IntRange(0, 3).Draw(rt, "again") == 0 {
				o.forgetSubmission(j)
				o.recordSubmission(j)
			}
		}
		if rapid.Bool().Draw(rt, "another weight") {
			weight *= 2
			o.weight = weight
			o.reclassify()
		}
		slices.SortStableFunc(jobs, func(a, b *job) int { return a.workflow.Submitted.Compare(b.workflow.Submitted) })
		count := map[float64]int{}
		for _, j := range jobs {
			window := math.Floor(float64(j.workflow.Submitted.UnixMilli()) / 5000)
			count[window]++
			within := float64(count[window]) <= math.Max(1, math.Ceil(weight*5))
			assert.Equal(rt, !within, j.beyondWeight, "%s at %s", j.workflow.ID, j.workflow.Submitted)
		}
	})
}

// Guards against memory that grows with all workflows an organisation ever submitted.
func TestSubmissionsAreForgotten(t *testing.T) {
	o := &organisation{name: "a", weight: 1, newestWindow: math.MinInt64}
	for i := range 1000 {
		j := &job{workflow: &briarspring.Workflow{ID: briarspring.WorkflowID(fmt.Sprint(i)), Submitted: time.UnixMilli(int64(i) * 1000)}}
		o.recordSubmission(j)
		o.forgetSubmission(j)
	}
	assert.LessOrEqual(t, len(o.submissions), 2)
}
