package limiter

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// headerFree is the part of a header that a connection's own bytes cover: the
	// buffer of the server.
	headerFree = 4 << 10
	// writePieceBytes is written at a time, so that a client has to read that much
	// within the stall time.
	writePieceBytes = 16 << 10
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	door    *Door
	holding *holding    // Guarded by limiter.mu.
	chunked bool        // A body in chunks is being read. Guarded by limiter.mu.
	turn    time.Time   // Start of the turn in the lane; zero for none. Guarded by limiter.mu.
	shed    atomic.Bool // Reads fail from now on.
}

// Read reads from the connection. A header is reserved before it is read; bodies are
// reserved by ReadBody.
func (c *Conn) Read(b []byte) (int, error) {
	if c.shed.Load() {
		return 0, net.ErrClosed
	}
	reserved, err := c.reserveHeader(len(b))
	if err != nil {
		c.door.refuse(c.Conn)
		return 0, err
	}
	c.leaveLane()
	discards := c.beginDiscard()
	n, err := c.Conn.Read(b)
	c.arrived(n, reserved)
	if discards {
		c.endDiscard()
	}
	c.enterLane()
	if c.shed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// reserveHeader reserves n bytes if the connection is receiving a header that
// exceeds what is free. It returns how many it has reserved.
func (c *Conn) reserveHeader(n int) (int64, error) {
	l := c.door.limiter
	l.mu.Lock()
	needed := c.holding.phase == phaseHeader && c.holding.received+int64(n) > headerFree
	l.mu.Unlock()
	if !needed {
		return 0, nil
	}
	return int64(n), c.reserve(int64(n))
}

// arrived counts n bytes and returns what was reserved beyond them.
func (c *Conn) arrived(n int, reserved int64) {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	h := c.holding
	if unused := reserved - int64(n); reserved > 0 && unused > 0 {
		c.door.pool.release(h, unused)
	}
	if n == 0 {
		return
	}
	now := l.config.Now()
	if h.phase == phaseNew || h.phase == phaseIdle {
		h.phase, h.since = phaseHeader, now
	}
	h.received += int64(n)
	h.progress = now
}

// beginChunks records that a body in chunks is being read.
func (c *Conn) beginChunks() {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.chunked = true
}

// enterLane waits until what has arrived of a body in chunks may be decoded.
func (c *Conn) enterLane() {
	if !c.queue() {
		return
	}
	l := c.door.limiter
	l.lane.enter()
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.queued = false
	if !c.chunked || !c.turn.IsZero() {
		l.lane.leave(0) // The request has ended meanwhile.
		return
	}
	c.turn = time.Now()
	c.holding.progress = l.config.Now()
}

// queue records that the connection waits for a turn. It returns false if it needs
// none.
func (c *Conn) queue() bool {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.queued = c.chunked && !c.holding.shed
	return c.holding.queued
}

// leaveLane lets another body be decoded.
func (c *Conn) leaveLane() {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.endTurn()
}

// endTurn ends the turn in the lane, if there is one. The limiter is locked.
func (c *Conn) endTurn() {
	if c.turn.IsZero() {
		return
	}
	c.door.limiter.lane.leave(time.Since(c.turn))
	c.turn = time.Time{}
}

// beginDiscard reports whether a read is for the rest of a body that the handler has
// not read. The server discards it before it sends the response, also while the
// handler runs, which waits for the client then.
func (c *Conn) beginDiscard() bool {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	h := c.holding
	if h.phase != phaseServing || !h.unread {
		return false
	}
	h.phase, h.progress = phaseDraining, l.config.Now()
	return true
}

// endDiscard records that the read has ended and the handler goes on, unless it has
// returned.
func (c *Conn) endDiscard() {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.holding.phase == phaseDraining && c.holding.unread {
		c.holding.phase = phaseServing
	}
}

// Write writes to the connection. It fails if the client reads nothing for the stall
// time.
func (c *Conn) Write(b []byte) (int, error) {
	c.beginWrite(len(b))
	defer c.endWrite(len(b))
	written := 0
	for {
		piece := b[written:min(len(b), written+writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(c.door.limiter.config.Stall)) // The write fails as well.
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.progress()
	}
}

func (c *Conn) beginWrite(n int) {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	c.holding.writing, c.holding.progress = true, now
	c.door.evict(c.door.pool.charge(c.holding, int64(n), now), "room for a response", now)
}

func (c *Conn) endWrite(n int) {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.writing = false
	c.door.pool.release(c.holding, int64(n))
}

// progress notes that the client has read a piece.
func (c *Conn) progress() {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.progress = l.config.Now()
}

// Close closes the connection and releases all that it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.chunked = false
	c.endTurn()
	c.door.pool.disconnect(c.holding)
	delete(c.door.conns, c.holding)
	return err
}

// interrupt ends a connection that was shed. Where a handler is reading a body, it
// ends the read, so that the handler refuses the request, unless it is to be abrupt.
// The limiter is locked.
func (c *Conn) interrupt(at phase, abrupt bool) {
	c.shed.Store(true)
	switch {
	case at == phaseBody && !abrupt:
		_ = c.SetReadDeadline(longAgo) // The connection is closed when this fails.
	case at == phaseNew || at == phaseHeader:
		// The refusal fits into the buffer of the connection. It is written elsewhere, as
		// the limiter is locked.
		go c.door.refuse(c.Conn)
	default:
		c.Conn.Close()
	}
}

// setPhase records what the connection does. Where the request has been carried out,
// the bytes of its body are no longer held. It returns false if the connection was
// shed; a connection that serves a request is not, until it writes.
func (c *Conn) setPhase(p phase) bool {
	if c == nil {
		return true
	}
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.phase = p
	c.chunked = false
	c.endTurn()
	switch p {
	case phaseBody:
		c.holding.unread = false
	case phaseDraining:
		c.holding.unread = false
		c.holding.since, c.holding.progress = l.config.Now(), l.config.Now()
		c.releaseAll()
	}
	return !c.holding.shed
}

// beginServing records that a handler carries out a request. It returns false if the
// connection was shed.
func (c *Conn) beginServing(hasBody bool) bool {
	if c == nil {
		return true
	}
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.holding.phase, c.holding.unread = phaseServing, hasBody
	return !c.holding.shed
}

// endRequest records that the connection waits for the next request.
func (c *Conn) endRequest() {
	if c == nil {
		return
	}
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	h := c.holding
	h.phase, h.received, h.since = phaseIdle, 0, l.config.Now()
	c.releaseAll()
}

// releaseAll releases the bytes of the request. The limiter is locked.
func (c *Conn) releaseAll() {
	c.door.pool.release(c.holding, c.holding.bytes)
}

// reserve reserves n bytes for the request. It waits for the bytes of requests that
// were shed for it. The error is a *RefusedError.
func (c *Conn) reserve(n int64) error {
	claim := c.claim(n)
	if claim == nil {
		return c.refuse("no room for its bytes")
	}
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	select {
	case <-claim.done:
	case <-timeout.C:
	}
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if claim.granted {
		return nil
	}
	c.door.pool.withdraw(claim)
	c.recordRefusal(n, "no room in time")
	return c.refuse("no room for its bytes in time")
}

// claim asks the pool for n bytes; nil if there is no room.
func (c *Conn) claim(n int64) *claim {
	l := c.door.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	claim, victims := c.door.pool.reserve(c.holding, n, now)
	c.door.evict(victims, "room for a request", now)
	if claim == nil {
		c.recordRefusal(n, "no room")
	}
	return claim
}

// recordRefusal counts a refused request, unless it is counted as shed. The limiter
// is locked.
func (c *Conn) recordRefusal(n int64, reason string) {
	if !c.holding.shed {
		c.door.limiter.record("refused-request", c.door, "client", c.RemoteAddr().String(), "bytes", n, "reason", reason)
	}
}

// refuse returns the error of a refused request. Its time to wait differs between
// clients, so that they don't come back together.
func (c *Conn) refuse(reason string) error {
	return &RefusedError{Reason: reason, RetryAfter: retryAfter()}
}
