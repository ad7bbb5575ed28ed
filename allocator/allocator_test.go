package allocator_test

import (
	"fmt"
	"maps"
	"math"
	"math/big"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarspring"
	"briarspring/allocator"
)

func resources(cpu, memory, accelerators int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: cpu, MemoryMiB: memory, Accelerators: accelerators})
}

// TestShare compares shares with exact arithmetic, up to the largest amounts.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Min(0).Draw(t, "limit")
		parts := rapid.IntRange(0, briarspring.QuotaParts).Draw(t, "parts")
		amount := rapid.Int64Min(0).Draw(t, "amount")
		exact := new(big.Int).Mul(big.NewInt(limit), big.NewInt(int64(parts)))
		exact.Quo(exact, big.NewInt(briarspring.QuotaParts))
		share := allocator.Share(resources(limit, 0, limit), parts)
		if limit == 0 {
			exact = big.NewInt(math.MaxInt64)
		}
		assert.Equal(t, exact.Int64(), share.MilliCPU())
		assert.Equal(t, exact.Int64(), share.Accelerators())
		assert.Equal(t, int64(math.MaxInt64), share.MemoryMiB())

		need := allocator.PartsFor(resources(limit, 0, 0), resources(amount, amount, 0))
		if limit == 0 || amount <= limit {
			assert.LessOrEqual(t, amount, allocator.Share(resources(limit, 0, 0), need).MilliCPU())
		} else {
			assert.Equal(t, briarspring.QuotaParts, need)
		}
		if need > 0 {
			assert.Greater(t, amount, allocator.Share(resources(limit, 0, 0), need-1).MilliCPU())
		}
	})
}

func TestInitial(t *testing.T) {
	pool := []string{"hagi", "tartu", "voru"}
	assert.Equal(t, 3334, allocator.Initial(pool, "hagi"))
	assert.Equal(t, 3333, allocator.Initial(pool, "voru"))
	assert.Zero(t, allocator.Initial(pool, "narva"))
	assert.Zero(t, allocator.Initial(nil, "narva"))
}

func TestRequests(t *testing.T) {
	limit := resources(100_000, 0, 0)
	need := func(inUse, waiting int64) allocator.Need {
		return allocator.NeedOf(limit, resources(inUse, inUse, 0), resources(waiting, waiting, 0))
	}
	t.Run("ask for nothing while nothing waits and the share isn't exceeded", func(t *testing.T) {
		assert.Zero(t, allocator.Target(need(50_000, 0), 5000))
		assert.Zero(t, allocator.Target(need(0, 0), 0))
	})
	t.Run("ask for what runs above the share, so that it isn't used elsewhere", func(t *testing.T) {
		assert.Equal(t, 6000, allocator.Target(need(60_000, 0), 5000))
	})
	t.Run("ask for nothing that is held", func(t *testing.T) {
		assert.Zero(t, allocator.Target(need(10_000, 10_000), 5000))
	})
	t.Run("ask for what waits as well", func(t *testing.T) {
		assert.Equal(t, 6025, allocator.Target(need(50_000, 10_010), 5000))
	})
	t.Run("ask for all parts at most", func(t *testing.T) {
		assert.Equal(t, briarspring.QuotaParts, allocator.Target(need(0, 150_000), 5000))
	})
	t.Run("overflow to all parts", func(t *testing.T) {
		assert.Equal(t, briarspring.QuotaParts, allocator.Target(need(math.MaxInt64, math.MaxInt64), 5000))
	})
	t.Run("are recorded when they rise, end or drop a lot", func(t *testing.T) {
		recorded := map[string]int{"kask": 6000}
		assert.False(t, allocator.RequestChanged(recorded, map[string]int{"kask": 5925}))
		assert.True(t, allocator.RequestChanged(recorded, map[string]int{"kask": 5900}))
		assert.True(t, allocator.RequestChanged(recorded, map[string]int{"kask": 6025}))
		assert.True(t, allocator.RequestChanged(recorded, nil))
		assert.True(t, allocator.RequestChanged(nil, recorded))
		assert.False(t, allocator.RequestChanged(nil, nil))
	})
}

// pair is a fleet of two data centres with equal initial parts; tartu decides.
func pair(tartu, viljandi, target int) allocator.Fleet {
	f := allocator.Fleet{
		Initial: map[string]int{"tartu": 5000, "viljandi": 5000},
		Held:    map[string]int{"tartu": tartu, "viljandi": viljandi},
	}
	if target > 0 {
		f.Targets = map[string]int{"viljandi": target}
	}
	return f
}

func TestGive(t *testing.T) {
	// give returns what tartu gives to viljandi at once, and after half a second.
	give := func(need allocator.Need, f allocator.Fleet) (first, later int) {
		a := allocator.New("tartu")
		return a.Give(0, need, f)["viljandi"], a.Give(500*time.Millisecond, need, f)["viljandi"]
	}
	check := func(name string, need allocator.Need, f allocator.Fleet, first, later int) {
		t.Run(name, func(t *testing.T) {
			now, then := give(need, f)
			assert.Equal(t, first, now, "at once")
			assert.Equal(t, later, then, "later")
		})
	}
	check("all that an idle one has", allocator.Need{}, pair(5000, 5000, 10000), 5000, 5000)
	check("no more than is requested", allocator.Need{}, pair(5000, 5000, 6000), 1000, 1000)
	check("not what is in use", allocator.Need{InUse: 4800, Total: 4800}, pair(5000, 5000, 6000), 200, 200)
	check("nothing when the use exceeds the share", allocator.Need{InUse: 6000, Total: 6000}, pair(5000, 5000, 6000), 0, 0)
	check("not what its own tasks wait for", allocator.Need{InUse: 4000, Total: 6000}, pair(5000, 5000, 6000), 0, 0)
	check("above its initial parts, though its own tasks wait, to one below", allocator.Need{InUse: 4000, Total: 9000}, pair(8000, 2000, 6000), 3000, 3000)
	check("not what is in use above its initial parts", allocator.Need{InUse: 7000, Total: 9000}, pair(8000, 2000, 6000), 1000, 1000)
	check("what its own tasks can't use, to one that is closer to its need", allocator.Need{InUse: 1000, Total: 6000, Waits: true}, pair(4000, 6000, 9000), 0, 3000)
	check("not that to one that is further from its need", allocator.Need{InUse: 1000, Total: 7000}, pair(6000, 4000, 5000), 1000, 1000)
	over := pair(5000, 5000, 8000)
	over.Overuse = map[string]int{"viljandi": 3000}
	check("what runs beyond its share elsewhere, though its own tasks wait", allocator.Need{InUse: 4000, Total: 9000, Waits: true}, over, 1000, 1000)
	check("not what is in use for that", allocator.Need{InUse: 5000, Total: 9000, Waits: true}, over, 0, 0)
	check("no surplus at once", allocator.Need{}, pair(8000, 2000, 0), 0, 0)
}

func TestReturn(t *testing.T) {
	t.Run("follows some seconds without need", func(t *testing.T) {
		a := allocator.New("tartu")
		assert.Empty(t, a.Give(0, allocator.Need{}, pair(8000, 2000, 0)))
		assert.Empty(t, a.Give(4900*time.Millisecond, allocator.Need{}, pair(8000, 2000, 0)))
		assert.Equal(t, map[string]int{"viljandi": 3000}, a.Give(5*time.Second, allocator.Need{}, pair(8000, 2000, 0)))
	})
	t.Run("leaves what was in use meanwhile", func(t *testing.T) {
		a := allocator.New("tartu")
		a.Give(0, allocator.Need{}, pair(8000, 2000, 0))
		a.Give(time.Second, allocator.Need{InUse: 7000, Total: 7000}, pair(8000, 2000, 0))
		assert.Equal(t, map[string]int{"viljandi": 1000}, a.Give(5*time.Second, allocator.Need{}, pair(8000, 2000, 0)))
	})
	t.Run("starts again after a need for all", func(t *testing.T) {
		a := allocator.New("tartu")
		a.Give(0, allocator.Need{}, pair(8000, 2000, 0))
		a.Give(time.Second, allocator.Need{InUse: 8000, Total: 8000}, pair(8000, 2000, 0))
		assert.Empty(t, a.Give(5*time.Second, allocator.Need{}, pair(8000, 2000, 0)))
	})
	t.Run("is not worth a record for a few parts", func(t *testing.T) {
		a := allocator.New("tartu")
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			assert.Empty(t, a.Give(now, allocator.Need{InUse: 7900, Total: 7900}, pair(8000, 2000, 0)))
		}
	})
	t.Run("never goes below the initial parts", func(t *testing.T) {
		a := allocator.New("tartu")
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			assert.Empty(t, a.Give(now, allocator.Need{}, pair(5000, 5000, 0)))
		}
	})
}

// A need is met by one giver if one has enough, and not by all at once.
func TestOneGiverFirst(t *testing.T) {
	f := allocator.Fleet{
		Initial: map[string]int{"a": 2500, "b": 2500, "c": 2500, "d": 2500},
		Held:    map[string]int{"a": 2500, "b": 2500, "c": 3000, "d": 2000},
		Targets: map[string]int{"a": 3000},
	}
	first := map[string]time.Duration{}
	for _, name := range []string{"b", "c", "d"} {
		a := allocator.New(name)
		for now := time.Duration(0); now < time.Second && first[name] == 0; now += 10 * time.Millisecond {
			if len(a.Give(now, allocator.Need{}, f)) > 0 {
				first[name] = now + 1
			}
		}
	}
	assert.Equal(t, map[string]time.Duration{"c": 1, "b": 60*time.Millisecond + 1, "d": 120*time.Millisecond + 1}, first)
}

// fleetModel is several data centres whose owners read each other's decisions late.
type fleetModel struct {
	names   []string
	initial map[string]int
	held    map[string]int // After all decided grants, including those not yet received.
	needs   map[string]allocator.Need
	owners  map[string]*allocator.Allocator
	pending []modelGrant
}

// modelGrant is a grant that its receiver and the others have not read yet.
type modelGrant struct {
	from, to string
	parts    int
}

// reference returns the most that a data centre may give to others, by the rules alone:
// neither what is in use, nor below its own needs up to its initial parts unless its
// tasks can't use the parts.
func reference(held, initial int, need allocator.Need, requested, yields bool) int {
	switch {
	case yields:
		return max(0, held-need.InUse)
	case requested:
		return max(0, held-max(need.InUse, min(need.Total, initial)))
	default:
		return max(0, held-max(initial, need.Total))
	}
}

// TestAllocatorHistories checks in random histories that parts are neither created nor
// lost, that nobody gives what it has not or what is in use, and that a need is met once
// the others are idle.
func TestAllocatorHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{held: map[string]int{}, initial: map[string]int{}, needs: map[string]allocator.Need{}, owners: map[string]*allocator.Allocator{}}
		for i := range rapid.IntRange(2, 11).Draw(t, "data centres") {
			m.names = append(m.names, fmt.Sprintf("dc-%02d", i))
		}
		for _, name := range m.names {
			m.initial[name] = allocator.Initial(m.names, name)
			m.held[name] = m.initial[name]
			m.owners[name] = allocator.New(name)
		}
		now := time.Duration(0)
		some := rapid.SampledFrom(m.names)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := some.Draw(t, "name")
			switch rapid.SampledFrom([]string{"need", "idle", "read", "time", "time"}).Draw(t, "kind") {
			case "need":
				use := rapid.IntRange(0, m.held[name]).Draw(t, "use")
				waiting := rapid.IntRange(0, 10000).Draw(t, "waiting")
				m.needs[name] = allocator.Need{InUse: use, Total: min(briarspring.QuotaParts, use+waiting), Waits: waiting > 0}
			case "idle":
				m.needs[name] = allocator.Need{}
			case "read":
				m.pending = m.pending[min(len(m.pending), rapid.IntRange(0, 5).Draw(t, "read")):]
			case "time":
				now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			}
			m.step(t, now)
		}
		// One data centre needs everything, and the others nothing.
		name := some.Draw(t, "in need")
		clear(m.needs)
		m.needs[name] = allocator.Need{Total: briarspring.QuotaParts, Waits: true}
		for range 20 {
			m.pending = nil
			now += 50 * time.Millisecond
			m.step(t, now)
		}
		require.Equal(t, briarspring.QuotaParts, m.held[name])
		// Nobody needs anything.
		clear(m.needs)
		records := 0
		for range 200 {
			m.pending = nil
			now += 50 * time.Millisecond
			records += m.step(t, now)
		}
		require.Equal(t, m.initial, m.held)
		require.LessOrEqual(t, records, 1, "one data centre holds all surplus")
	})
}

// step lets every owner decide, and returns the number of grants.
func (m *fleetModel) step(t *rapid.T, now time.Duration) (records int) {
	for _, name := range m.names {
		f := m.view(name)
		need := m.needs[name]
		held := f.Held[name]
		given := m.owners[name].Give(now, need, f)
		sum := 0
		for to, n := range given {
			require.Positive(t, n)
			require.Contains(t, m.names, to)
			require.NotEqual(t, name, to)
			m.held[name] -= n
			m.held[to] += n
			sum += n
			m.pending = append(m.pending, modelGrant{from: name, to: to, parts: n})
		}
		if sum > 0 {
			records++
			requested := slices.ContainsFunc(m.names, func(other string) bool { return f.Targets[other] > f.Held[other] })
			require.LessOrEqual(t, sum, reference(held, m.initial[name], need, requested, requested && need.Total > held))
			require.LessOrEqual(t, sum+need.InUse, max(held, need.InUse))
		}
		total := 0
		for _, n := range m.held {
			require.GreaterOrEqual(t, n, 0)
			total += n
		}
		require.Equal(t, briarspring.QuotaParts, total)
	}
	return records
}

// view returns what an owner knows: others' grants only when they were read.
func (m *fleetModel) view(name string) allocator.Fleet {
	f := allocator.Fleet{Initial: m.initial, Held: maps.Clone(m.held), Targets: map[string]int{}}
	for _, g := range m.pending {
		if g.from != name {
			f.Held[g.from] += g.parts
			f.Held[g.to] -= g.parts
		}
	}
	for _, other := range m.names {
		if other != name {
			if target := allocator.Target(m.needs[other], f.Held[other]); target > 0 {
				f.Targets[other] = target
			}
		}
	}
	return f
}
