package limiter

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendChunked sends a body in chunks of 4 bytes and returns the status of the response.
func (d *doorTest) sendChunked(n int) (int, error) {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	request := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		string(bytes.Repeat([]byte("4\r\naaaa\r\n"), n/4)) + "0\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && len(body) != n {
		err = fmt.Errorf("%d bytes of %d", len(body), n)
	}
	return resp.StatusCode, err
}

// Guards against small chunks that take the processors from other requests: these are
// answered while no chunk may be decoded.
func TestLane(t *testing.T) {
	d := newDoorTest(t, DoorConfig{Bytes: 1024 * kB, Connections: 8})
	for range cap(d.limiter.lane.turns) {
		d.limiter.lane.enter()
	}
	chunked := make(chan error, 1)
	go func() {
		_, err := d.sendChunked(16 * kB)
		chunked <- err
	}()
	require.Eventually(t, func() bool { return d.limiter.Snapshot()["test/connections"] == 1 }, 5*time.Second, time.Millisecond)
	resp, err := http.Post("http://"+d.address, "text/plain", bytes.NewReader(make([]byte, 64)))
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	for range cap(d.limiter.lane.turns) {
		d.limiter.lane.leave(0)
	}
	assert.NoError(t, <-chunked)
}

// Guards against turns that are not returned, and against bodies that wait for each
// other.
func TestLaneOfManyBodies(t *testing.T) {
	d := newDoorTest(t, DoorConfig{Bytes: 16 << 20, Connections: 64})
	var clients sync.WaitGroup
	for range 32 {
		clients.Go(func() {
			status, err := d.sendChunked(64 * kB)
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	}
	clients.Wait()
	assert.Eventually(t, func() bool { return len(d.limiter.lane.turns) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a lane that rests for as long as the process was suspended.
func TestRest(t *testing.T) {
	l := newLane()
	assert.Zero(t, l.restAfter(minRest/2))
	assert.Equal(t, minRest, l.restAfter(minRest/2), "rests add up")
	assert.Zero(t, l.restAfter(minRest/2))
	assert.Equal(t, maxRest, l.restAfter(time.Hour))
}
