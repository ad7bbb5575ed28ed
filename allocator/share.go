// Package allocator decides how the parts of an organisation's limit move between
// data centres: what a number of parts allows, how many parts to request, what to
// give away and when surplus returns. It does no I/O and reads no clock.
package allocator

import (
	"math"
	"math/bits"

	"briarspring"
)

// Share returns what a number of parts of a limit allows, rounded down, so that the
// shares of all parts together stay within the limit. A zero field of the limit
// allows any amount.
func Share(limit briarspring.Resources, parts int) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU:     shareOf(limit.MilliCPU(), parts),
		MemoryMiB:    shareOf(limit.MemoryMiB(), parts),
		Accelerators: shareOf(limit.Accelerators(), parts),
	})
}

func shareOf(limit int64, parts int) int64 {
	if limit <= 0 {
		return math.MaxInt64
	}
	high, low := bits.Mul64(uint64(limit), uint64(min(max(0, parts), briarspring.QuotaParts)))
	share, _ := bits.Div64(high, low, briarspring.QuotaParts)
	return int64(share)
}

// PartsFor returns the smallest number of parts whose share covers an amount. If
// even the whole limit doesn't, it returns all parts.
func PartsFor(limit, amount briarspring.Resources) int {
	return max(
		partsOf(limit.MilliCPU(), amount.MilliCPU()),
		partsOf(limit.MemoryMiB(), amount.MemoryMiB()),
		partsOf(limit.Accelerators(), amount.Accelerators()),
	)
}

func partsOf(limit, amount int64) int {
	switch {
	case limit <= 0 || amount <= 0:
		return 0
	case amount >= limit:
		return briarspring.QuotaParts
	}
	high, low := bits.Mul64(uint64(amount), briarspring.QuotaParts)
	parts, rest := bits.Div64(high, low, uint64(limit))
	if rest > 0 {
		parts++
	}
	return int(parts)
}

// Initial returns the parts that a data centre has of each limit at first: an even
// split over a sorted list of data centres, with the remainder at the first.
func Initial(pool []string, dataCentre string) int {
	for i, name := range pool {
		if name != dataCentre {
			continue
		}
		if i == 0 {
			return briarspring.QuotaParts - (len(pool)-1)*(briarspring.QuotaParts/len(pool))
		}
		return briarspring.QuotaParts / len(pool)
	}
	return 0
}
