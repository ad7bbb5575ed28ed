package limiter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// doorTest is a server behind a door. It echoes bodies.
type doorTest struct {
	limiter *Limiter
	address string
	ran     atomic.Int64 // Requests that were carried out.
}

func newDoorTest(t *testing.T, c DoorConfig) *doorTest {
	d := &doorTest{limiter: New(Config{Grace: 50 * time.Millisecond, Stall: 200 * time.Millisecond, Request: 10 * time.Second})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(d.echo)}
	c.Name, c.ConnectionBytes = "test", kB
	door := d.limiter.NewDoor(c)
	door.Attach(server)
	go server.Serve(door.Listen(listener)) //nolint:errcheck // Ends with the test.
	t.Cleanup(func() { server.Close() })
	go d.limiter.Run(t.Context())
	return d
}

func (d *doorTest) echo(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/large" {
		_, _ = rw.Write(make([]byte, 64<<20)) // Fails when the client is shed.
		return
	}
	if req.URL.Path == "/unread" {
		_, _ = rw.Write(make([]byte, 16*kB)) // Fails when the client is shed.
		return
	}
	if req.URL.Path == "/slow" {
		time.Sleep(slowTime)
		return
	}
	body, err := ReadBody(rw, req, 256*kB)
	var refused *RefusedError
	if errors.As(err, &refused) {
		WriteRefusal(rw, refused)
		return
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	d.ran.Add(1)
	_, _ = rw.Write(body) // The client may have disconnected.
}

// slowTime is how long a slow request is carried out.
const slowTime = 20 * time.Millisecond

// send opens a connection and sends bytes.
func (d *doorTest) send(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", d.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// post returns a request of which a part of the body is sent.
func post(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", sent))
}

func (d *doorTest) count(event string) uint64 { return d.limiter.Snapshot()["test/"+event] }

// assertRefused checks that a request is answered as refused.
func assertRefused(t *testing.T, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// testClient opens a connection for each request.
var testClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func assertServed(t *testing.T, d *doorTest) {
	resp, err := testClient.Post("http://"+d.address, "", strings.NewReader("ordinary"))
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, "ordinary", string(body))
}

func TestDoor(t *testing.T) {
	t.Run("a request that stalls is refused and has not run", func(t *testing.T) {
		d := newDoorTest(t, DoorConfig{Bytes: 1000 * kB, Connections: 10})
		assertRefused(t, d.send(t, post(1000, 999)))
		assert.Zero(t, d.ran.Load())
		assert.Equal(t, uint64(1), d.count("shed-body"))
	})
	t.Run("a request without room is refused and has not run", func(t *testing.T) {
		d := newDoorTest(t, DoorConfig{Bytes: 100 * kB, Connections: 10})
		assertRefused(t, d.send(t, post(200*kB, 10)))
		assert.Zero(t, d.ran.Load())
		assertServed(t, d)
	})
	t.Run("a connection without room makes the oldest leave", func(t *testing.T) {
		d := newDoorTest(t, DoorConfig{Bytes: 100 * kB, Connections: 4})
		var silent []net.Conn
		for range 4 {
			silent = append(silent, d.send(t, ""))
		}
		require.Eventually(t, func() bool { return d.count("connections") == 4 }, 5*time.Second, time.Millisecond)
		assertServed(t, d)
		assertRefused(t, silent[0])
	})
	t.Run("a response that is not read ends", func(t *testing.T) {
		d := newDoorTest(t, DoorConfig{Bytes: 100 * kB, Connections: 4})
		d.send(t, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
		require.Eventually(t, func() bool { return d.count("bytes") > 100*kB }, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return d.count("connections") == 0 }, 10*time.Second, 10*time.Millisecond)
		assertServed(t, d)
	})
	t.Run("everything is released", func(t *testing.T) {
		d := newDoorTest(t, DoorConfig{Bytes: 1000 * kB, Connections: 10})
		for range 20 {
			assertServed(t, d)
		}
		d.send(t, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n"+strings.Repeat("a", 8<<10)+"\r\n0\r\n\r\n").Close()
		require.Eventually(t, func() bool { return d.count("connections") == 0 && d.count("bytes") == 0 }, 5*time.Second, time.Millisecond)
	})
}

// Guards against a body whose length is unknown and is cut or refused below its limit.
func TestReadBodyOfUnknownLength(t *testing.T) {
	d := newDoorTest(t, DoorConfig{Bytes: 1000 * kB, Connections: 10})
	for _, size := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, firstPieceBytes + 1, 256 * kB} {
		resp, err := testClient.Post("http://"+d.address, "", io.MultiReader(strings.NewReader(strings.Repeat("a", size))))
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode, size)
		assert.Len(t, body, size)
	}
	resp, err := testClient.Post("http://"+d.address, "", io.MultiReader(strings.NewReader(strings.Repeat("a", 256*kB+1))))
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// Guards against carrying out a request whose client was told that it has not run.
func TestShedRequestDoesNotRun(t *testing.T) {
	limits := New(Config{Grace: time.Second, Stall: time.Second, Request: time.Second})
	door := limits.NewDoor(DoorConfig{Name: "test", Bytes: 100 * kB, Connections: 4, ConnectionBytes: kB})
	near, far := net.Pipe()
	defer far.Close()
	conn := door.admit(near)
	defer conn.Close()
	limits.mu.Lock()
	door.pool.mark(conn.holding)
	limits.mu.Unlock()
	ran := false
	h := door.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("a"))
	req = req.WithContext(context.WithValue(req.Context(), connKey{}, conn))
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { h.ServeHTTP(httptest.NewRecorder(), req) })
	assert.False(t, ran)
	_, err := ReadBody(httptest.NewRecorder(), req, kB)
	var refused *RefusedError
	assert.ErrorAs(t, err, &refused, "its body is complete")
}

// Guards against clients that hold connections for good by bodies that the handler
// doesn't read: the server waits for them before it sends a large response.
func TestUnreadBody(t *testing.T) {
	const connections = 4
	for _, header := range []string{"Content-Length: 1000\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"} {
		d := newDoorTest(t, DoorConfig{Bytes: 1024 * kB, Connections: connections})
		for range connections {
			c, err := net.Dial("tcp", d.address)
			require.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			_, err = io.WriteString(c, "GET /unread HTTP/1.1\r\nHost: a\r\n"+header)
			require.NoError(t, err)
		}
		require.Eventually(t, func() bool { return d.limiter.Snapshot()["test/connections"] == connections }, 5*time.Second, time.Millisecond)
		time.Sleep(2 * d.limiter.config.Grace)
		require.Eventually(t, func() bool {
			resp, err := http.Get("http://" + d.address + "/unread")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, 5*time.Second, 10*time.Millisecond)
	}
}

// Guards against clients that keep all connections of a door by requests that follow each other
// without a pause, so that none is ever idle.
func TestPipelinedRequests(t *testing.T) {
	const connections, requests = 4, 500
	d := newDoorTest(t, DoorConfig{Bytes: 1024 * kB, Connections: connections})
	for range connections {
		d.send(t, strings.Repeat("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", requests))
	}
	require.Eventually(t, func() bool { return d.limiter.Snapshot()["test/connections"] == connections }, 5*time.Second, time.Millisecond)
	served := false
	for range 5 {
		resp, err := http.Get("http://" + d.address + "/unread")
		require.NoError(t, err)
		resp.Body.Close()
		served = served || resp.StatusCode == http.StatusOK
		time.Sleep(10 * slowTime)
	}
	assert.True(t, served)
}
