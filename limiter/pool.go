// Package limiter bounds what clients can take of a process: connections, bytes of
// unfinished requests, and responses that are not read. When there is no room, what
// has made the least progress for its age is shed.
package limiter

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	phaseNew      phase = iota // Nothing was received yet.
	phaseIdle                  // Between two requests.
	phaseHeader                // A header is being received.
	phaseBody                  // A body is being received.
	phaseServing               // The request is being carried out.
	phaseDraining              // The handler has returned; the rest of the request is discarded.
)

var phaseNames = map[phase]string{
	phaseNew: "new", phaseIdle: "idle", phaseHeader: "header", phaseBody: "body",
	phaseServing: "serving", phaseDraining: "draining",
}

// String returns the name of the phase for logs and metrics.
func (p phase) String() string { return phaseNames[p] }

// holding is what one connection holds of a pool.
type holding struct {
	number   uint64 // In the order of admission.
	index    int    // In the pool's list; negative when disconnected.
	phase    phase
	since    time.Duration // Start of the request, or of the phase between requests.
	progress time.Duration // Last time at which bytes arrived, or a write began.
	received int64         // Bytes of this request that have arrived.
	bytes    int64         // Reserved for this request, without the connection's own.
	writing  bool          // A write waits for the client to read.
	queued   bool          // Waits for a turn to be decoded, and not for its client.
	unread   bool          // The handler that runs has not read the request's body.
	shed     bool
}

// poolConfig holds the limits of a pool.
type poolConfig struct {
	bytes           int64 // For connections, unfinished requests and unread responses together.
	connections     int
	connectionBytes int64         // Reserved for each connection.
	grace           time.Duration // Age below which a holding is shed only if there is no older one.
}

// pool decides who is admitted and who is shed. It has no clock and does no I/O.
type pool struct {
	config   poolConfig
	holdings []*holding // In no order.
	admitted uint64
	bytes    int64    // Reserved in total.
	leaving  int64    // Part of bytes that shed holdings have not released yet.
	shedding int      // Shed holdings that are still connected.
	claims   []*claim // Reservations that wait for leaving, oldest first.
	claimed  int64    // Bytes of claims.
}

// claim is a reservation that waits for bytes of holdings that were shed.
type claim struct {
	holding *holding
	bytes   int64
	granted bool
	done    chan struct{} // Closed when the claim is granted or can't be any more.
}

func newPool(c poolConfig) *pool { return &pool{config: c} }

// connect admits a connection, or returns nil. The caller must end the victims in both
// cases.
func (p *pool) connect(now time.Duration) (*holding, []*holding) {
	// Shed connections are closed within moments, but each occupies a descriptor until
	// then, so their number is bounded too.
	if p.shedding > p.config.connections/4 {
		return nil, nil
	}
	var victims []*holding
	if len(p.holdings)-p.shedding >= p.config.connections {
		victims = p.shed(now, nil, func() bool { return len(p.holdings)-p.shedding < p.config.connections })
	}
	more, ok := p.makeRoom(p.config.connectionBytes, now, nil)
	victims = append(victims, more...)
	if !ok || len(p.holdings)-p.shedding >= p.config.connections {
		return nil, victims
	}
	p.admitted++
	h := &holding{number: p.admitted, index: len(p.holdings), since: now, progress: now}
	p.holdings = append(p.holdings, h)
	p.bytes += p.config.connectionBytes
	return h, victims
}

// disconnect releases all that a connection holds.
func (p *pool) disconnect(h *holding) {
	if h.index < 0 {
		return
	}
	p.dropClaims(func(c *claim) bool { return c.holding == h })
	p.bytes -= h.bytes + p.config.connectionBytes
	if h.shed {
		p.leaving -= h.bytes + p.config.connectionBytes
		p.shedding--
	}
	h.bytes = 0
	last := p.holdings[len(p.holdings)-1]
	p.holdings[h.index], last.index = last, h.index
	p.holdings = p.holdings[:len(p.holdings)-1]
	h.index = -1
	p.grantClaims()
}

// reserve reserves bytes for a request before they are read. A claim that is not
// granted yet will be when the victims have released theirs. It returns nil if there
// is no room.
func (p *pool) reserve(h *holding, n int64, now time.Duration) (*claim, []*holding) {
	if h.shed || h.index < 0 {
		return nil, nil
	}
	victims, ok := p.makeRoom(n, now, h)
	if !ok {
		return nil, victims
	}
	c := &claim{holding: h, bytes: n, done: make(chan struct{})}
	p.claims = append(p.claims, c)
	p.claimed += n
	p.grantClaims()
	return c, victims
}

// grantClaims grants the oldest claims that fit.
func (p *pool) grantClaims() {
	for len(p.claims) > 0 && p.bytes+p.claims[0].bytes <= p.config.bytes {
		c := p.claims[0]
		p.claims = p.claims[1:]
		p.claimed -= c.bytes
		p.bytes += c.bytes
		c.holding.bytes += c.bytes
		c.granted = true
		close(c.done)
	}
}

// dropClaims ends claims that can't be granted any more.
func (p *pool) dropClaims(which func(*claim) bool) {
	p.claims = slices.DeleteFunc(p.claims, func(c *claim) bool {
		if !which(c) {
			return false
		}
		p.claimed -= c.bytes
		close(c.done)
		return true
	})
	p.grantClaims() // Those behind may fit.
}

// withdraw ends a claim that was not granted in time.
func (p *pool) withdraw(c *claim) {
	p.dropClaims(func(other *claim) bool { return other == c })
}

// charge adds bytes that exist already, such as those of a response, and sheds
// others if there is no room.
func (p *pool) charge(h *holding, n int64, now time.Duration) []*holding {
	victims, _ := p.makeRoom(n, now, h)
	p.bytes += n
	h.bytes += n
	if h.shed {
		p.leaving += n
	}
	return victims
}

// release returns bytes of a request.
func (p *pool) release(h *holding, n int64) {
	n = min(n, h.bytes)
	h.bytes -= n
	p.bytes -= n
	if h.shed {
		p.leaving -= n
	}
	p.grantClaims()
}

// makeRoom sheds holdings until n bytes are free or will be when the victims have
// released theirs. It sheds none if that can't be reached.
func (p *pool) makeRoom(n int64, now time.Duration, requester *holding) ([]*holding, bool) {
	fits := func() bool { return p.bytes-p.leaving+p.claimed+n <= p.config.bytes }
	if fits() {
		return nil, true
	}
	var available int64
	for _, h := range p.holdings {
		if h != requester && sheddable(h, now, p.config.grace) {
			available += h.bytes + p.config.connectionBytes
		}
	}
	if p.bytes-p.leaving-available+p.claimed+n > p.config.bytes {
		return nil, false
	}
	return p.shed(now, requester, fits), true
}

// shed sheds holdings in order until enough returns true or none is left. There are
// few victims, so each is searched for without sorting all holdings.
func (p *pool) shed(now time.Duration, requester *holding, enough func() bool) []*holding {
	var victims []*holding
	for !enough() {
		var first *holding
		for _, h := range p.holdings {
			if h != requester && sheddable(h, now, p.config.grace) && (first == nil || p.compare(h, first, now) < 0) {
				first = h
			}
		}
		if first == nil {
			break
		}
		p.mark(first)
		victims = append(victims, first)
	}
	return victims
}

func (p *pool) mark(h *holding) {
	h.shed = true
	p.leaving += h.bytes + p.config.connectionBytes
	p.shedding++
	p.dropClaims(func(c *claim) bool { return c.holding == h })
}

// sheddable reports whether a holding may be shed. A request that is being carried
// out is not, unless its client doesn't read the response.
func sheddable(h *holding, now, grace time.Duration) bool {
	if h.shed {
		return false
	}
	return h.phase != phaseServing || h.writing && now-h.progress > grace
}

// compare orders holdings: unfinished requests first, then idle connections, then
// what is younger than the grace time. Within the first class, the least progress
// for its age comes first; in the others the oldest.
func (p *pool) compare(a, b *holding, now time.Duration) int {
	classOf := func(h *holding) int {
		switch {
		case now-h.since <= p.config.grace:
			return 2
		case h.phase == phaseIdle:
			return 1
		}
		return 0
	}
	ca, cb := classOf(a), classOf(b)
	if ca != cb {
		return ca - cb
	}
	if ca == 0 {
		if order := cmp.Compare(slowness(b, now), slowness(a, now)); order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.number, b.number))
}

// slowness is the age of a request divided by its progress, the share of what is
// reserved for it that has arrived. Requests of any size compare by it: a small one
// that arrives quickly stays below a large one that stops before its end.
func slowness(h *holding, now time.Duration) float64 {
	progress := 1.0
	if h.writing || h.phase == phaseDraining {
		progress = 0 // The client doesn't read, or sends what nobody reads.
	} else if h.bytes > 0 || h.received == 0 {
		progress = min(1, float64(h.received)/float64(max(1, h.bytes)))
	}
	const least = 1e-6 // Keeps ages comparable where nothing has arrived.
	return float64(now-h.since) / max(progress, least)
}

// expired sheds requests that don't progress: nothing arrived for the stall time, or
// the whole request did not arrive within the request time.
func (p *pool) expired(now, stall, request time.Duration) []*holding {
	var victims []*holding
	for _, h := range p.holdings {
		receives := h.phase == phaseBody || h.phase == phaseDraining
		if !h.shed && !h.queued && receives && (now-h.progress > stall || now-h.since > request) {
			p.mark(h)
			victims = append(victims, h)
		}
	}
	return victims
}
