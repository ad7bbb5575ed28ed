package assembler

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPoll is the time between two looks at the connections of a server that
// stops.
const drainPoll = 20 * time.Millisecond

// connGuard lets a server stop without losing a request that it has read.
// http.Server.Shutdown closes connections that it takes for idle, also while the
// bytes of a request have been read and not been looked at yet, and drops
// requests that it parses later; on a host with little processor time both
// happen. So connections are ended one by one before the shutdown.
type connGuard struct {
	net.Listener

	mu   sync.Mutex
	open map[*guardedConn]bool
}

// guardConnections has the server's connections guarded. The server must serve
// the guard, which is a listener.
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

// drain takes no new connections, and returns when every open one has ended
// after its last answer, or the channel closes.
func (g *connGuard) drain(server *http.Server, giveUp <-chan struct{}) error {
	err := g.Listener.Close()
	server.SetKeepAlivesEnabled(false)
	poll := time.NewTicker(drainPoll)
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

// endReads ends the reads that wait for a request, and returns the number of
// open connections.
func (g *connGuard) endReads() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.endRead()
	}
	return len(g.open)
}

func (g *connGuard) forget(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// guardedConn is a connection that is not closed between requests while bytes
// of the next one arrive.
type guardedConn struct {
	net.Conn
	guard *connGuard

	mu      sync.Mutex
	active  bool // A request is being served.
	reading bool
	arrived bool // Bytes of the next request were read.
}

// setState follows what the server makes of the connection.
func (c *guardedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateActive || state == http.StateIdle {
		c.arrived = false
	}
}

// Read reads and notes that bytes have arrived.
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

// endRead ends a read that waits for a request. The server closes the connection
// when that has brought nothing, and serves the request otherwise.
func (c *guardedConn) endRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active && c.reading && !c.arrived {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // The connection is closed when this fails.
		return true
	}
	return !c.active && c.arrived
}

// Close closes the connection, unless it waits for a request or has got one that
// is not being served yet: the server closes it later then.
func (c *guardedConn) Close() error {
	if c.endRead() {
		return nil
	}
	c.guard.forget(c)
	return c.Conn.Close()
}
