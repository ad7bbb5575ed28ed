package dispatcher

import (
	"math"

	"briarspring"
)

// The functions of this file decide in which order organisations get room, by weighted
// dominant-resource fairness. They depend on nothing but their arguments.

// dominantShare returns the largest share of a capacity that an amount is in any
// dimension, divided by a weight above zero. A dimension without capacity doesn't count,
// since nothing can get more of it.
func dominantShare(amount, capacity briarspring.Resources, weight float64) float64 {
	share := func(n, of int64) float64 {
		if of <= 0 {
			return 0
		}
		return float64(n) / float64(of)
	}
	return max(
		share(amount.MilliCPU(), capacity.MilliCPU()),
		share(amount.MemoryMiB(), capacity.MemoryMiB()),
		share(amount.Accelerators(), capacity.Accelerators()),
	) / weight
}

// claimant is an organisation with waiting steps, as the order sees it.
type claimant struct {
	share float64 // Weighted dominant share of what it uses.
	rank  int     // Of its first waiting step in the order without organisations; unique.
}

// before reports whether a claimant comes first: the one with the lower share, and of
// equal ones that with the more urgent step.
func (c claimant) before(o claimant) bool {
	if c.share != o.share {
		return c.share < o.share
	}
	return c.rank < o.rank
}

// turn returns how many tasks of a claimant start before it is the next one's turn: as
// many as bring its share above the next one's, but at least least, and as many as add
// part to its share. grain is what one task adds to it.
func turn(share, next, part, grain float64, least int) int {
	n := math.Floor(max(next-share, part)/grain) + 1
	if !(n < math.MaxInt32) { // Also without a next one, or if tasks add nothing.
		return math.MaxInt32
	}
	return max(least, int(n))
}

// equalPart returns what each claimant's share may grow by if the room is divided between
// them, where weights is the sum of their weights. It is zero if there is none in some
// dimension.
func equalPart(room, capacity briarspring.Resources, weights float64) float64 {
	smallest := math.Inf(1)
	for _, of := range [][2]int64{
		{room.MilliCPU(), capacity.MilliCPU()}, {room.MemoryMiB(), capacity.MemoryMiB()}, {room.Accelerators(), capacity.Accelerators()},
	} {
		if of[1] > 0 {
			smallest = min(smallest, float64(of[0])/float64(of[1]))
		}
	}
	if math.IsInf(smallest, 1) {
		return 0
	}
	return smallest / weights
}

// within reports whether an amount takes up at most a given part of the room in each
// dimension.
func within(amount, room briarspring.Resources, part float64) bool {
	fits := func(n, of int64) bool { return float64(n) <= part*float64(of) }
	return fits(amount.MilliCPU(), room.MilliCPU()) && fits(amount.MemoryMiB(), room.MemoryMiB()) &&
		fits(amount.Accelerators(), room.Accelerators())
}

// claim is a claimant with the queue of its organisation, for the heap.
type claim struct {
	claimant
	organisation *organisation
	first        int // Of the queue's steps that have not had their turns.
}

// claimHeap is a heap of claims, the first one on top.
type claimHeap []claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].before(h[j].claimant) }
func (h claimHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a claim, for the package heap.
func (h *claimHeap) Push(x any) { *h = append(*h, x.(claim)) }

// Pop removes the last claim, for the package heap.
func (h *claimHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// next returns the share of the second claim, or positive infinity without one.
func (h claimHeap) next() float64 {
	share := math.Inf(1)
	for _, c := range h[min(1, len(h)):min(3, len(h))] { // The second one is right below the first.
		share = min(share, c.share)
	}
	return share
}
