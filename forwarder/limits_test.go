package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/forwarder"
	"briarspring/limiter"
)

// Guards against a caller that holds the room for bodies, and against a refusal that
// says anything but that the request has not run.
func TestStalledBody(t *testing.T) {
	f := forwarder.New(forwarder.Config{DefaultTimeout: 10 * time.Second, MaxTimeout: 10 * time.Second, MaxBody: 1 << 20})
	f.Apply(forwarder.Update{Snapshot: true, Services: []forwarder.Service{{Name: "ledger", Prefix: "/ledger/"}}})
	limits := limiter.New(limiter.Config{Grace: time.Millisecond, Stall: time.Minute, Request: time.Minute})
	door := limits.NewDoor(limiter.DoorConfig{Name: "callers", Bytes: 1 << 20, Connections: 8})
	server := httptest.NewUnstartedServer(f)
	door.Attach(server.Config)
	server.Listener = door.Listen(server.Listener)
	server.Start()
	defer server.Close()
	send := func(body string) *bufio.Reader {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, "POST /ledger/ HTTP/1.1\r\nHost: a\r\nContent-Length: 800000\r\n\r\n"+body)
		require.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		return bufio.NewReader(c)
	}
	stalled := send("a")
	require.Eventually(t, func() bool { return limits.Snapshot()["callers/bytes"] == 800000 }, 5*time.Second, time.Millisecond)
	time.Sleep(5 * time.Millisecond) // Beyond the grace time.
	send("b")
	resp, err := http.ReadResponse(stalled, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	reason, _ := io.ReadAll(resp.Body)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Equal(t, string(briarspring.OutcomeNotRun), resp.Header.Get(briarspring.HeaderOutcome))
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Contains(t, strings.TrimSpace(string(reason)), "progress")
}
