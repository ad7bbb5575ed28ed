package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// NoConnectionError is returned when all of this gateway's connections to an
// executor are in use.
type NoConnectionError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *NoConnectionError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Address)
}

// connLimit limits this gateway's connections to one executor. A connection
// counts until the executor has closed its side too.
type connLimit struct {
	mu    sync.Mutex
	limit int
	used  int
}

func (b *connLimit) tryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used >= b.limit {
		return false
	}
	b.used++
	return true
}

func (b *connLimit) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
}

func (b *connLimit) setLimit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = n
}

// dial connects to an executor within this gateway's connection limit.
func (f *Forwarder) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	b := f.connLimits[address]
	f.mu.Unlock()
	if b == nil {
		return nil, &NoConnectionError{Address: address}
	}
	if !b.tryAcquire() {
		return nil, &NoConnectionError{Address: address, Limit: b.limit}
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		b.release()
		return nil, err
	}
	lc := &lingerConn{TCPConn: c.(*net.TCPConn), peerClosed: make(chan struct{})}
	lc.onPeerClose(b.release)
	return lc, nil
}

// lingerConn closes its own side first and then waits for the peer to close. An
// executor closes its side when it has finished the request, so the gateway
// learns when an abandoned request has ended.
type lingerConn struct {
	*net.TCPConn
	once       sync.Once
	peerClosed chan struct{}
}

// Close closes the write side. The connection is closed fully once the executor
// has closed its side.
func (c *lingerConn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.CloseWrite()
		go c.awaitPeerClose()
	})
	return err
}

// lingerKeepAlive detects that the executor's host has died.
var lingerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 2 * time.Second, Count: 3}

func (c *lingerConn) awaitPeerClose() {
	defer close(c.peerClosed)
	_ = c.SetKeepAliveConfig(lingerKeepAlive)
	_ = c.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.TCPConn)
	c.TCPConn.Close()
}

// onPeerClose calls f once both sides of the connection are closed. The caller
// has called Close or will do so.
func (c *lingerConn) onPeerClose(f func()) {
	go func() {
		<-c.peerClosed
		f()
	}()
}
