package assembler

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against limits that break the graceful stop: the guard must see the reads of
// a connection that a door limits, and close it after its last response.
func TestStopWithLimits(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: inner, read: make(chan struct{}, 1)}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNoContent) })}
	guard := guardConnections(server, slow)
	d := newDoors(ClientLimits{Bytes: 1 << 20, Grace: time.Second, Stall: time.Second, Request: time.Minute}, hclog.NewNullLogger())
	guard.Listener = d.protect(callersDoor)(server, slow)
	go server.Serve(guard) //nolint:errcheck // Ends with the stop.
	busy, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer busy.Close()
	idle, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer idle.Close()
	answers, idleAnswers := bufio.NewReader(busy), bufio.NewReader(idle)
	require.Equal(t, http.StatusNoContent, ask(busy, answers))
	require.Equal(t, http.StatusNoContent, ask(idle, idleAnswers))
	for len(slow.read) > 0 {
		<-slow.read
	}
	status := make(chan int, 1)
	go func() { status <- ask(busy, answers) }()
	<-slow.read
	stopServer(server, guard, 0, make(chan struct{}), hclog.NewNullLogger())
	assert.Equal(t, http.StatusNoContent, <-status, "the request was read before the stop")
	_, err = idleAnswers.ReadByte()
	assert.Error(t, err, "the idle connection is closed")
	assert.Zero(t, d.limiter.Snapshot()["callers/connections"])
	assert.Zero(t, d.limiter.Snapshot()["callers/bytes"])
}

// Guards against doors that together exceed the limits, or have no room for one
// connection.
func TestDoorParts(t *testing.T) {
	var sum int64
	for _, part := range doorParts {
		sum += part
	}
	assert.Equal(t, int64(wholeParts), sum)
}
