package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testGrace = time.Second
	kB        = 1 << 10
)

// poolTest is a pool and its clock.
type poolTest struct {
	*pool
	now time.Duration
}

func newPoolTest(bytes int64, connections int) *poolTest {
	return &poolTest{pool: newPool(poolConfig{bytes: bytes, connections: connections, connectionBytes: kB, grace: testGrace})}
}

// request connects and receives part of a body.
func (p *poolTest) request(t *testing.T, reserved, received int64) *holding {
	h, _ := p.connect(p.now)
	require.NotNil(t, h)
	h.phase = phaseBody
	c, _ := p.reserve(h, reserved, p.now)
	require.NotNil(t, c)
	require.True(t, c.granted)
	h.received = received
	return h
}

// idle connects and waits for a request.
func (p *poolTest) idle(t *testing.T) *holding {
	h, _ := p.connect(p.now)
	require.NotNil(t, h)
	h.phase = phaseIdle
	return h
}

// Guards against shedding a client that progresses while one that does not stays.
func TestVictims(t *testing.T) {
	assertVictim := func(t *testing.T, p *poolTest, want *holding) {
		h, victims := p.connect(p.now)
		assert.NotNil(t, h, "the newcomer is admitted")
		require.Len(t, victims, 1)
		assert.Same(t, want, victims[0])
	}
	t.Run("the same progress: the older one", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		stopped := p.request(t, 256*kB, 256*kB-1)
		p.now = 2 * time.Second
		p.request(t, 256*kB, 256*kB-1)
		p.now = 4 * time.Second
		assertVictim(t, p, stopped)
	})
	t.Run("the same age: the one that lacks more", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		p.request(t, 2*kB, 2*kB)
		slow := p.request(t, 256*kB, 20*kB)
		p.now = 2 * time.Second
		assertVictim(t, p, slow)
	})
	t.Run("a silent connection before one that has sent most", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		p.request(t, 256*kB, 256*kB-1)
		p.now = time.Second
		silent, _ := p.connect(p.now)
		p.now = 3 * time.Second
		assertVictim(t, p, silent)
	})
	t.Run("a stopped request before an idle connection", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		p.idle(t)
		p.now = 5 * time.Second
		stopped := p.request(t, 256*kB, 256*kB-1)
		p.now = 7 * time.Second
		assertVictim(t, p, stopped)
	})
	t.Run("a new request only if there is no older one", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		idle := p.idle(t)
		p.now = 5 * time.Second
		p.request(t, 256*kB, 0)
		assertVictim(t, p, idle)
	})
	t.Run("a response that is not read", func(t *testing.T) {
		p := newPoolTest(1000*kB, 2)
		unread, served := p.request(t, kB, kB), p.request(t, kB, kB)
		unread.phase, served.phase = phaseServing, phaseServing
		unread.writing = true
		p.now = 2 * time.Second
		assertVictim(t, p, unread)
	})
}

// Guards against closing the connection of a request that is being carried out: its
// caller would not learn that it has run.
func TestServedRequestsStay(t *testing.T) {
	p := newPoolTest(1000*kB, 2)
	for range 2 {
		p.request(t, kB, kB).phase = phaseServing
	}
	p.now = time.Hour
	h, victims := p.connect(p.now)
	assert.Nil(t, h)
	assert.Empty(t, victims)
}

func TestReserve(t *testing.T) {
	t.Run("bytes of shed requests count until they are released", func(t *testing.T) {
		p := newPoolTest(300*kB, 10)
		stopped := p.request(t, 256*kB, 256*kB-1)
		p.now = 2 * time.Second
		h, _ := p.connect(p.now)
		first, victims := p.reserve(h, 100*kB, p.now)
		require.NotNil(t, first)
		assert.Equal(t, []*holding{stopped}, victims)
		second, victims := p.reserve(h, 150*kB, p.now)
		require.NotNil(t, second)
		assert.Empty(t, victims, "no one else is shed meanwhile")
		third, _ := p.reserve(h, 150*kB, p.now)
		assert.Nil(t, third, "what waits counts")
		assert.False(t, first.granted || second.granted)
		p.release(stopped, 100*kB)
		assert.True(t, first.granted)
		assert.False(t, second.granted)
		p.disconnect(stopped)
		assert.True(t, second.granted)
	})
	t.Run("what can't fit sheds nobody", func(t *testing.T) {
		p := newPoolTest(300*kB, 10)
		p.request(t, 100*kB, kB)
		p.request(t, 190*kB, 190*kB).phase = phaseServing
		p.now = time.Hour
		h, _ := p.connect(p.now)
		c, victims := p.reserve(h, 200*kB, p.now)
		assert.Nil(t, c)
		assert.Empty(t, victims)
	})
	t.Run("a request that was shed gets no more", func(t *testing.T) {
		p := newPoolTest(300*kB, 10)
		h := p.request(t, kB, 0)
		p.mark(h)
		c, _ := p.reserve(h, kB, p.now)
		assert.Nil(t, c)
	})
	t.Run("a claim ends with its request", func(t *testing.T) {
		p := newPoolTest(300*kB, 10)
		p.request(t, 256*kB, 0)
		p.now = 2 * time.Second
		gone, _ := p.connect(p.now)
		shed, _ := p.connect(p.now)
		first, _ := p.reserve(gone, 100*kB, p.now)
		second, _ := p.reserve(shed, 100*kB, p.now)
		p.disconnect(gone)
		p.mark(shed)
		for _, c := range []*claim{first, second} {
			<-c.done
			assert.False(t, c.granted)
		}
		assert.Zero(t, p.claimed)
	})
}

// Guards against requests that send just enough to stay, or nothing.
func TestExpired(t *testing.T) {
	const stall, whole = 5 * time.Second, 30 * time.Second
	p := newPoolTest(1000*kB, 10)
	silent, slow, served := p.request(t, kB, 0), p.request(t, kB, 0), p.request(t, kB, kB)
	served.phase = phaseServing
	p.now = stall
	assert.Empty(t, p.expired(p.now, stall, whole))
	slow.progress = p.now
	p.now++
	assert.Equal(t, []*holding{silent}, p.expired(p.now, stall, whole))
	slow.progress, p.now = whole, whole+1
	assert.Equal(t, []*holding{slow}, p.expired(p.now, stall, whole))
}

// Guards against an attack that keeps an ordinary call out: full bodies that stop one
// byte short arrive all the time, and each ordinary call has to be admitted.
func TestOrdinaryCallFindsRoom(t *testing.T) {
	p := newPoolTest(8000*kB, 60)
	r := rand.New(rand.NewPCG(1, 1))
	admitted := 0
	finish := func(victims []*holding) {
		for _, h := range victims {
			p.disconnect(h)
		}
	}
	for range 20000 {
		p.now += time.Duration(r.IntN(100)) * time.Millisecond
		h, victims := p.connect(p.now)
		finish(victims)
		require.NotNil(t, h)
		size := int64(256 * kB)
		ordinary := r.IntN(10) == 0
		if ordinary {
			size = kB
		}
		h.phase = phaseBody
		c, victims := p.reserve(h, size, p.now)
		finish(victims)
		h.received = size - 1
		switch {
		case ordinary:
			require.NotNil(t, c)
			require.True(t, c.granted)
			admitted++
			p.disconnect(h)
		case c == nil:
			p.disconnect(h)
		}
	}
	assert.Greater(t, admitted, 1000)
}

// Guards against sums that drift, and against more being held than is allowed, on
// random histories. Every step compares the sums with a count of all holdings.
func TestPoolHistories(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, seed))
		p := newPoolTest(400*kB, 30)
		var open []*holding
		for range 2000 {
			p.now += time.Duration(r.IntN(200)) * time.Millisecond
			step(p, r, &open)
			assertSums(t, p, seed)
		}
	}
}

// step does one random thing.
func step(p *poolTest, r *rand.Rand, open *[]*holding) {
	if len(*open) == 0 || r.IntN(3) == 0 {
		if h, _ := p.connect(p.now); h != nil {
			*open = append(*open, h)
		}
		return
	}
	i := r.IntN(len(*open))
	h := (*open)[i]
	switch r.IntN(6) {
	case 0, 1:
		p.reserve(h, int64(r.IntN(64*kB)), p.now)
	case 2:
		p.release(h, int64(r.IntN(64*kB)))
	case 3:
		h.phase, h.since = phase(r.IntN(int(phaseDraining)+1)), p.now
		h.received = int64(r.IntN(64 * kB))
	case 4:
		p.expired(p.now, 5*time.Second, 30*time.Second)
	case 5:
		p.disconnect(h)
		*open = append((*open)[:i], (*open)[i+1:]...)
	}
}

func assertSums(t *testing.T, p *poolTest, seed uint64) {
	var bytes, leaving int64
	shedding := 0
	for _, h := range p.holdings {
		held := h.bytes + p.config.connectionBytes
		bytes += held
		if h.shed {
			leaving += held
			shedding++
		}
	}
	require.Equal(t, bytes, p.bytes, "seed %d", seed)
	require.Equal(t, leaving, p.leaving, "seed %d", seed)
	require.Equal(t, shedding, p.shedding, "seed %d", seed)
	require.LessOrEqual(t, len(p.holdings)-shedding, p.config.connections, "seed %d", seed)
	var claimed int64
	for _, c := range p.claims {
		claimed += c.bytes
	}
	require.Equal(t, claimed, p.claimed, "seed %d", seed)
	require.LessOrEqual(t, p.bytes-p.leaving+p.claimed, p.config.bytes, "seed %d", seed)
	require.False(t, len(p.claims) > 0 && p.bytes+p.claims[0].bytes <= p.config.bytes, "a claim that fits is granted, seed %d", seed)
}
