package stressor

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// completeEvery is the distance of clients that send their whole request.
	completeEvery = 10
	// sendTimeout bounds connecting and sending, so that a process that hangs fails the
	// test instead of blocking it.
	sendTimeout = 30 * time.Second
)

// Sender sends on one connection; complete asks for the whole request. The connection
// stays open afterwards.
type Sender func(conn net.Conn, complete bool)

// CrowdConfig holds the settings of a Crowd.
type CrowdConfig struct {
	Address string
	Clients int
	Send    Sender
	Hold    time.Duration // For which the clients stay open after their last byte.
}

// Crowd is many clients of one kind.
type Crowd struct {
	config  CrowdConfig
	mu      sync.Mutex
	conns   []net.Conn
	senders sync.WaitGroup
}

// NewCrowd returns a crowd, which is closed when the test ends.
func NewCrowd(t testing.TB, c CrowdConfig) *Crowd {
	crowd := &Crowd{config: c}
	t.Cleanup(crowd.Close)
	return crowd
}

// Run connects all clients at once and returns when they have sent what they send
// and have stayed open for a while. The process may refuse or close any of them.
func (c *Crowd) Run() {
	for i := range c.config.Clients {
		c.senders.Go(func() {
			conn, err := net.DialTimeout("tcp", c.config.Address, sendTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			c.config.Send(conn, i%completeEvery == 0)
		})
	}
	c.senders.Wait()
	time.Sleep(c.config.Hold)
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// Ask sends a whole request and returns the status of the response.
func Ask(address string, send Sender) (int, error) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout)) // Reads and writes fail as well.
	send(conn, true)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
