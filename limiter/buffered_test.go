package limiter

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bodies that are small until they are expanded, and against messages
// that take more than the door has.
func TestBuffered(t *testing.T) {
	limits := New(Config{Grace: time.Second, Stall: time.Minute, Request: time.Minute})
	door := limits.NewDoor(DoorConfig{Name: "test", Bytes: 1024 * kB, Connections: 8})
	server := httptest.NewUnstartedServer(Buffered(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		assert.NoError(t, err)
		assert.Empty(t, req.Header.Get("Content-Encoding"))
		fmt.Fprint(rw, len(body), " ", limits.Snapshot()["test/bytes"])
	}), BufferedConfig{
		Limit: 256 * kB, MaxNeeds: 512 * kB,
		Needs: func(_ http.Header, body []byte) int64 { return 4 * int64(len(body)) },
	}))
	door.Attach(server.Config)
	server.Listener = door.Listen(server.Listener)
	server.Start()
	defer server.Close()
	compress := func(body []byte) []byte {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, err := z.Write(body)
		require.NoError(t, err)
		require.NoError(t, z.Close())
		return b.Bytes()
	}
	for _, c := range []struct {
		name, encoding string
		body           []byte
		status         int
		want           string // Bytes of the body, and those reserved while it is handled.
	}{
		{"plain", "", make([]byte, 64*kB), http.StatusOK, fmt.Sprint(64*kB, " ", 5*64*kB)},
		{"compressed", "gzip", compress(make([]byte, 64*kB-1)), http.StatusOK, fmt.Sprint(64*kB-1, " ", 64*kB+4*(64*kB-1))},
		{"too large when expanded", "gzip", compress(make([]byte, 1024*kB)), http.StatusRequestEntityTooLarge, ""},
		{"too large as messages", "", make([]byte, 200*kB), http.StatusRequestEntityTooLarge, ""},
		{"not compressed", "gzip", []byte("a"), http.StatusBadRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader(c.body))
			require.NoError(t, err)
			req.Header.Set("Content-Encoding", c.encoding)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			assert.Equal(t, c.status, resp.StatusCode)
			if c.want != "" {
				assert.Equal(t, c.want, string(answer))
			}
		})
	}
}
