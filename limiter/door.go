package limiter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Door limits the clients of one listening address.
type Door struct {
	limiter  *Limiter
	config   DoorConfig
	pool     *pool              // Guarded by limiter.mu.
	conns    map[*holding]*Conn // Guarded by limiter.mu.
	refusing bool               // The last connection was refused. Guarded by limiter.mu.
}

// Listen returns a listener that admits connections within the door's limits.
func (d *Door) Listen(l net.Listener) net.Listener { return &listener{Listener: l, door: d} }

// Attach makes a server report to the door what its connections do. The server must
// serve on a listener that Listen returned, also if others wrap it and its
// connections. It must be called after all other hooks of the server are set.
func (d *Door) Attach(server *http.Server) {
	server.Handler = d.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	previous := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			connOf(c).endRequest()
		}
		if previous != nil {
			previous(c, state)
		}
	}
}

// connKey is the context key of a request's *Conn.
type connKey struct{}

// connOf returns the limited connection below others, which must have the method
// NetConn; nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// handler reports when a request is being carried out.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		c, _ := req.Context().Value(connKey{}).(*Conn)
		if !c.beginServing(req.ContentLength != 0) {
			// Shed while its header was being parsed: it was told that it has not run.
			panic(http.ErrAbortHandler)
		}
		if d.isRefusing() {
			// Requests may follow each other without a pause in which the connection is idle.
			rw.Header().Set("Connection", "close")
		}
		defer c.setPhase(phaseDraining)
		next.ServeHTTP(rw, req)
	})
}

// Where more than 1/abruptShare of a door's connections are shed and still open,
// others are closed without a response: the server keeps a connection for half a
// second after an early response.
const abruptShare = 8

// evict ends holdings that were shed. The limiter is locked.
func (d *Door) evict(victims []*holding, reason string, now time.Duration) {
	for _, h := range victims {
		c := d.conns[h]
		d.limiter.record("shed-"+h.phase.String(), d, "reason", reason, "client", c.RemoteAddr().String(),
			"age-ms", (now - h.since).Milliseconds(), "received", h.received, "reserved", h.bytes, "writing", h.writing)
		c.interrupt(h.phase, h.writing || d.pool.shedding > d.config.Connections/abruptShare)
	}
}

// listener admits connections.
type listener struct {
	net.Listener
	door *Door
}

// Accept waits for the next connection that is admitted. Others are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.door.admit(c); conn != nil {
			return conn, nil
		}
		l.door.refuse(c)
	}
}

// isRefusing reports whether the last connection was refused.
func (d *Door) isRefusing() bool {
	d.limiter.mu.Lock()
	defer d.limiter.mu.Unlock()
	return d.refusing
}

// admit returns the limited connection, or nil if there is no room for it.
func (d *Door) admit(c net.Conn) *Conn {
	l := d.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	h, victims := d.pool.connect(now)
	d.evict(victims, "room for a connection", now)
	d.refusing = h == nil
	if h == nil {
		l.record("refused-connection", d, "client", c.RemoteAddr().String())
		return nil
	}
	conn := &Conn{Conn: c, door: d, holding: h}
	d.conns[h] = conn
	return conn
}

const (
	// refusal is sent on connections whose request is not read.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n"
	// refusalTime bounds the write of a refusal, which fits into the buffer of a
	// connection on which nothing was sent.
	refusalTime = 10 * time.Millisecond
)

// refuse closes a connection on which no response is being written.
func (d *Door) refuse(c net.Conn) {
	further := d.config.RefusalHeader
	if further != "" {
		further += "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = fmt.Fprintf(c, refusal, int(retryAfter()/time.Second), further) // The client may have disconnected.
	c.Close()
}
