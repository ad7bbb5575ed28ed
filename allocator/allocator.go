package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"briarspring"
)

const (
	// requestStep is the granularity of requests. Needs that change within it cause no
	// new request.
	requestStep = 25
	// requestDrop is the decrease of a request that is worth a record.
	requestDrop = 100
	// giverStagger is the time by which each giver waits longer than the one that holds
	// more. It covers the write and the read of a grant, so that most requests are met
	// by one giver. With 11 data centres the last one gives after 0.6 s.
	giverStagger = 60 * time.Millisecond
	// yieldAfter is how long a data centre whose own tasks wait keeps parts that are too
	// few for any of them before it yields them to one that is closer to its need. Owners
	// start what fits within some 100 ms.
	yieldAfter = 400 * time.Millisecond
	// returnAfter is how long surplus must not have been needed before it returns. A
	// shorter time would return parts between two bursts of the same organisation.
	returnAfter = 5 * time.Second
	// minReturn is the surplus from which parts return though the giver keeps some above
	// its initial ones.
	minReturn = 200
)

// Need is what an organisation needs in a data centre, in parts of its limit.
type Need struct {
	InUse int  // For runs that may be alive, known or not.
	Total int  // InUse and what waits for the quota.
	Waits bool // Whether anything waits for the quota.
}

// NeedOf returns the need for amounts that may be in use and that wait. A negative sum,
// which only an overflow gives, counts as all parts.
func NeedOf(limit, inUse, waiting briarspring.Resources) Need {
	n := Need{InUse: PartsFor(limit, saturated(inUse)), Waits: !waiting.IsZero()}
	n.Total = max(n.InUse, PartsFor(limit, saturated(inUse.Add(waiting))))
	return n
}

// Target returns the parts that a data centre has to request to hold in all, or zero if
// what it holds suffices.
func Target(need Need, held int) int {
	if need.Total <= held || !need.Waits && need.InUse <= held {
		return 0
	}
	return min(briarspring.QuotaParts, (need.Total+requestStep-1)/requestStep*requestStep)
}

// RequestChanged reports whether new targets by organisation differ so much from the
// recorded ones that they have to be recorded.
func RequestChanged(recorded, targets map[string]int) bool {
	for name, target := range targets {
		if target > recorded[name] {
			return true
		}
	}
	for name, target := range recorded {
		if now := targets[name]; now == 0 && target != 0 || target-now >= requestDrop {
			return true
		}
	}
	return false
}

// Fleet is what an owner knows of an organisation's parts in all data centres.
type Fleet struct {
	Initial map[string]int // By data centre.
	Held    map[string]int // By data centre, less what this owner has decided to give, plus that at its receivers.
	Targets map[string]int // Requested totals of the other data centres.
	Overuse map[string]int // What runs in other data centres use beyond what is held there.
}

// Allocator decides for the owner of one data centre and one organisation.
type Allocator struct {
	dataCentre string
	requested  map[string]time.Duration // Since when other data centres have requested more than they hold.
	idleSince  time.Duration
	idle       int // Least surplus since idleSince; zero if there was none.
}

// New returns the Allocator of a data centre.
func New(dataCentre string) *Allocator {
	return &Allocator{dataCentre: dataCentre, requested: map[string]time.Duration{}}
}

// Give returns the parts to give to other data centres at a time. The result doesn't
// exceed what the data centre holds and has not in use.
func (a *Allocator) Give(now time.Duration, need Need, f Fleet) map[string]int {
	given := map[string]int{}
	left := f.Held[a.dataCentre]
	requesting := a.requesting(now, f)
	for _, name := range requesting {
		if now-a.requested[name] < time.Duration(a.rank(f, name))*giverStagger {
			continue
		}
		held := f.Held[name]
		// What runs there beyond its share, since the limit was lowered, comes before
		// anything new here.
		if n := min(f.Overuse[name], left-need.InUse); n > 0 {
			give(given, name, n)
			left, held = left-n, held+n
		}
		// Below its initial parts a receiver comes before the giver's own waiting tasks,
		// as far as those need more than the giver's initial parts.
		if below := min(f.Targets[name], f.Initial[name]) - held; below > 0 {
			n := max(0, min(below, left-max(need.InUse, min(need.Total, f.Initial[a.dataCentre]))))
			give(given, name, n)
			left, held = left-n, held+n
		}
		n := max(0, min(f.Targets[name]-held, left-need.Total))
		give(given, name, n)
		left -= n
	}
	if name := closest(requesting, f); need.Waits && need.Total > f.Held[a.dataCentre] && a.yields(now, name, f) {
		// Nothing that waits here fits into what is left.
		n := max(0, min(f.Targets[name]-f.Held[name]-given[name], left-need.InUse))
		give(given, name, n)
	}
	if len(requesting) > 0 {
		a.idle = 0
		return given
	}
	return a.surplus(now, need, f)
}

func give(given map[string]int, name string, n int) {
	if n > 0 {
		given[name] += n
	}
}

// requesting returns the data centres that request more than they hold, those furthest
// below their initial parts first, and records since when they do.
func (a *Allocator) requesting(now time.Duration, f Fleet) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.Targets)) {
		if name != a.dataCentre && f.Targets[name] > f.Held[name] {
			names = append(names, name)
			if _, ok := a.requested[name]; !ok {
				a.requested[name] = now
			}
		}
	}
	for name := range a.requested {
		if !slices.Contains(names, name) {
			delete(a.requested, name)
		}
	}
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(max(0, f.Initial[y]-f.Held[y]), max(0, f.Initial[x]-f.Held[x]))
	})
	return names
}

// closest returns the one of several data centres that holds most, or the empty string.
func closest(names []string, f Fleet) string {
	best := ""
	for _, name := range names {
		if best == "" || holdsMore(f, name, best) {
			best = name
		}
	}
	return best
}

// holdsMore orders data centres by what they hold, and by name if that is equal.
func holdsMore(f Fleet, x, y string) bool {
	if f.Held[x] != f.Held[y] {
		return f.Held[x] > f.Held[y]
	}
	return x < y
}

// yields reports whether a data centre has requested parts for so long, and holds more
// than this one, that this one gives up parts which its own waiting tasks can't use.
// Otherwise two data centres with half of the parts each and tasks that need more than
// half would wait for each other.
func (a *Allocator) yields(now time.Duration, name string, f Fleet) bool {
	return name != "" && now-a.requested[name] >= yieldAfter && holdsMore(f, name, a.dataCentre)
}

// rank returns how many other data centres are asked before this one: those that
// request nothing come first, and among them those that hold more.
func (a *Allocator) rank(f Fleet, receiver string) int {
	before := func(x, y string) bool {
		xWaits, yWaits := f.Targets[x] > f.Held[x], f.Targets[y] > f.Held[y]
		if xWaits != yWaits {
			return yWaits
		}
		return holdsMore(f, x, y)
	}
	rank := 0
	for name, held := range f.Held {
		if held > 0 && name != a.dataCentre && name != receiver && before(name, a.dataCentre) {
			rank++
		}
	}
	return rank
}

// surplus returns the parts that return to data centres below their initial parts.
func (a *Allocator) surplus(now time.Duration, need Need, f Fleet) map[string]int {
	held, initial := f.Held[a.dataCentre], f.Initial[a.dataCentre]
	idle := held - max(initial, need.Total)
	if idle <= 0 || idle < minReturn && need.Total > initial {
		a.idle = 0
		return nil
	}
	if a.idle == 0 {
		a.idle, a.idleSince = idle, now
	}
	a.idle = min(a.idle, idle)
	if now-a.idleSince < returnAfter {
		return nil
	}
	n := a.idle
	a.idle = 0
	return a.matched(f, n)
}

// matched splits n parts over the data centres below their initial parts. Excess and
// deficits of all data centres are matched in the order of names, so that owners who
// return parts at the same time don't return them to the same place.
func (a *Allocator) matched(f Fleet, n int) map[string]int {
	from := 0
	names := slices.Sorted(maps.Keys(f.Held))
	for _, name := range names {
		excess := f.Held[name] - f.Initial[name]
		if excess > 0 && name < a.dataCentre {
			from += excess
		}
	}
	given := map[string]int{}
	at := 0
	for _, name := range names {
		deficit := max(0, f.Initial[name]-f.Held[name])
		give(given, name, min(at+deficit, from+n)-max(at, from))
		at += deficit
	}
	return given
}

// saturated replaces negative fields, which overflowed, by the largest amount.
func saturated(r briarspring.Resources) briarspring.Resources {
	field := func(n int64) int64 {
		if n < 0 {
			return math.MaxInt64
		}
		return n
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: field(r.MilliCPU()), MemoryMiB: field(r.MemoryMiB()), Accelerators: field(r.Accelerators()),
	})
}
