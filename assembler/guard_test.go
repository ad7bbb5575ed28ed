package assembler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowListener accepts connections whose reads return late, as on a host with a
// busy processor.
type slowListener struct {
	net.Listener
	read chan struct{} // Signalled when bytes were read but not returned yet.
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, read: l.read}, err
}

type slowConn struct {
	net.Conn
	read chan struct{}
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		select {
		case c.read <- struct{}{}:
		default:
		}
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

// ask sends a request on a kept-alive connection and returns the status of the
// response, or zero if there is none.
func ask(conn net.Conn, r *bufio.Reader) int {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A stopping host closed a kept-alive connection as idle after it had read a
// request on it but before it had parsed the request. The caller got no response.
func TestStopWithARequestJustRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: inner, read: make(chan struct{}, 1)}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNoContent) })}
	guard := guardConnections(server, slow)
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
	_, err = answers.ReadByte()
	assert.Error(t, err, "the other one is closed after its response")
}
