package assembler

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPollInterval is the time between two checks of the connections of a server
// that stops.
const drainPollInterval = 20 * time.Millisecond

// connGuard lets a server stop without losing a request that it has read.
// http.Server.Shutdown closes connections that it considers idle even when bytes
// of a request were read but not parsed yet, and drops requests that it parses
// later. Both happen on a host with little processor time. So connections are
// closed one by one before the shutdown.
type connGuard struct {
	net.Listener

	mu   sync.Mutex
	open map[*guardedConn]bool
}

// guardConnections returns a listener that guards the server's connections. The
// server must serve on it.
func guardConnections(server *http.Server, l net.Listener) *connGuard {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*guardedConn); ok {
			conn.setState(state)
		}
	}
	return &connGuard{Listener: l, open: map[*guardedConn]bool{}}
}

// Accept waits for the next connection.
func (g *connGuard) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &guardedConn{Conn: c, guard: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[conn] = true
	return conn, nil
}

// drain stops accepting connections. It returns when every open connection has
// closed after its last response, or when giveUp is closed.
func (g *connGuard) drain(server *http.Server, giveUp <-chan struct{}) error {
	err := g.Listener.Close()
	server.SetKeepAlivesEnabled(false)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for g.endReads() > 0 {
		select {
		case <-giveUp:
			return err
		case <-poll.C:
		}
	}
	return err
}

// endReads interrupts the reads that wait for a request, and returns the number
// of open connections.
func (g *connGuard) endReads() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.endRead()
	}
	return len(g.open)
}

func (g *connGuard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// guardedConn is a connection that stays open between requests while bytes of
// the next one arrive.
type guardedConn struct {
	net.Conn
	guard *connGuard

	mu      sync.Mutex
	active  bool // A request is being served.
	reading bool
	arrived bool // Bytes of the next request were read.
}

// setState records the server's state of the connection.
func (c *guardedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateActive || state == http.StateIdle {
		c.arrived = false
	}
}

// Read reads from the connection and records whether bytes of a request arrived.
func (c *guardedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case err != nil:
		c.arrived = false // No request follows.
	case n > 0 && !c.active:
		c.arrived = true
	}
	return n, err
}

// endRead interrupts a read that waits for a request, and reports whether the
// server still has to handle the read: it closes the connection if nothing
// arrived, and serves the request otherwise.
func (c *guardedConn) endRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active && c.reading && !c.arrived {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // The connection is closed when this fails.
		return true
	}
	return !c.active && c.arrived
}

// NetConn returns the connection that is guarded.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection, unless it waits for a request or has received one
// that is not being served yet. The server closes it later in that case.
func (c *guardedConn) Close() error {
	if c.endRead() {
		return nil
	}
	c.guard.remove(c)
	return c.Conn.Close()
}
