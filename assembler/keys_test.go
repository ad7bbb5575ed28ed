package assembler_test

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/assembler"
	"briarspring/imitator"
	"briarspring/platform"
)

const (
	firstKey  = "zq-first-organisation-key"
	secondKey = "zq-second-organisation-key"
	newKey    = "zq-new-organisation-key"
)

// platformConfig returns the operators' record with the keys of two organisations.
func platformConfig(version int, first, second string) briarspring.KeyedRecord {
	return briarspring.KeyedRecord{Key: "config", Value: fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"closed","host":"ledger.example","pathPrefix":"/closed/","service":"ledger","maxAttempts":3},`+
		`{"name":"open","host":"ledger.example","pathPrefix":"/open/","service":"ledger","maxAttempts":3,"publicAccess":true}],`+
		`"tenants":[{"name":"acme","apiKeys":["%s"],"maximumCount":{"cpu":8000}},{"name":"birch","apiKeys":["%s"],"old":"%s"}]}`, version, first, second, second)}
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// platformHosts are hosts with the platform's decoder and handler of calls, on a stand-in
// of the log.
type platformHosts struct {
	store    *imitator.KeyedStore
	lines    *lockedBuffer
	handlers []http.Handler
	intakes  []*admitter.Admitter
	stop     func()
}

func startPlatformHosts(t *testing.T, revoke time.Duration) *platformHosts {
	ctx, cancel := context.WithCancel(t.Context())
	h := &platformHosts{store: imitator.NewKeyedStore(1), lines: &lockedBuffer{}}
	h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
	h.store.Put(briarspring.DirectoryStream, platformConfig(1, firstKey, secondKey))
	pool := imitator.NewPool(imitator.PoolConfig{Latency: time.Millisecond})
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: h.lines, JSONFormat: true})
	began := time.Now()
	var done []chan struct{}
	for i := range 2 {
		name := fmt.Sprintf("host-%d", i)
		l, intake := assembler.NewHostCore(assembler.HostConfig{
			Host: name, DataCentre: tartu, DataCentres: []string{tartu}, MilliCPU: 160, MaxLease: 6 * time.Second, StopTime: 3 * time.Second,
			FinalRetention: 120 * time.Second, MaxRecordBytes: imitator.MaxRecordBytes, RevokeTime: revoke,
			Store: h.store.Client(name), Workers: pool.Client(name), Decoder: platform.Decoder{},
			Now: func() time.Duration { return time.Since(began) }, Logger: logger,
		})
		h.intakes = append(h.intakes, intake)
		h.handlers = append(h.handlers, platform.NewJobHandler(intake, logger))
		ended := make(chan struct{})
		done = append(done, ended)
		go func() {
			defer close(ended)
			l.Run(ctx)
		}()
	}
	h.stop = func() {
		for i := range 2 {
			h.store.Cut(fmt.Sprintf("host-%d", i), true)
		}
		cancel()
		for _, ended := range done {
			<-ended
		}
		time.Sleep(20 * time.Second)
	}
	time.Sleep(3 * time.Second)
	return h
}

// call sends a call to a host and returns its response.
func (h *platformHosts) call(host int, method, path, key string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "http://ledger.example"+path, strings.NewReader(`{"steps":[{"count":1,"cpu":100,"estimatedMs":100}]}`))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	rw := httptest.NewRecorder()
	h.handlers[host].ServeHTTP(rw, req)
	return rw
}

// records returns all that the log holds in a stream, with copies of the directory
// decompressed.
func (h *platformHosts) records(t *testing.T, stream string) string {
	page, _, err := h.store.Client("test").Newest(t.Context(), stream, "")
	require.NoError(t, err)
	var text strings.Builder
	for _, r := range page.Records {
		fmt.Fprintf(&text, "%s %s\n", r.Key, r.Value)
		for start := range min(len(r.Value), 12) {
			plain, _ := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value[start:])), 1<<20))
			text.Write(plain)
		}
	}
	return text.String()
}

func onPlatformHosts(t *testing.T, name string, revoke time.Duration, test func(t *testing.T, h *platformHosts)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := startPlatformHosts(t, revoke)
			defer h.stop()
			test(t, h)
		})
	})
}

// Guards against keys in the shared stream, log lines, metrics or responses of whole
// hosts.
func TestNoKeyLeavesAHost(t *testing.T) {
	onPlatformHosts(t, "calls and changes of keys", 0, func(t *testing.T, h *platformHosts) {
		var responses strings.Builder
		all := func(first int) {
			for i, key := range []string{firstKey, secondKey, newKey, ""} {
				for n, path := range []string{"/closed/", "/open/", "/none/"} {
					id := fmt.Sprintf("%016x", first+10*i+n)
					for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
						rw := h.call(i%2, method, path+id, key)
						fmt.Fprintln(&responses, rw.Code, rw.Header(), rw.Body)
					}
				}
			}
		}
		all(0x100)
		h.store.Put(briarspring.DirectoryStream, platformConfig(2, newKey, secondKey))
		h.store.Put(briarspring.DirectoryStream, briarspring.KeyedRecord{Key: "config", Value: []byte(`{"version":3,"tenants":[{"apiKeys":"` + newKey + `"}]}`)})
		time.Sleep(3 * time.Second)
		all(0x200)
		time.Sleep(time.Second)
		shared := h.records(t, briarspring.SharedStream)
		assert.Contains(t, shared, "apiKeyDigests", "the directory was copied")
		assert.Contains(t, shared, "acme")
		everything := shared + h.lines.String() + responses.String() + fmt.Sprint(h.intakes[0].Outcomes(), h.intakes[1].Outcomes())
		for _, key := range []string{firstKey, secondKey, newKey} {
			assert.NotContains(t, everything, key)
		}
		assert.Contains(t, h.lines.String(), "call refused for its key")
		assert.Contains(t, h.lines.String(), "ignoring invalid directory")
	})
}

// Guards against answers of whole hosts that tell one organisation of another's workflows,
// or change those.
func TestWorkflowOfAnotherOrganisationAtAnyHost(t *testing.T) {
	onPlatformHosts(t, "is as one that doesn't exist", 0, func(t *testing.T, h *platformHosts) {
		const id, none = "/closed/00000000000000aa", "/closed/00000000000000bb"
		require.Equal(t, http.StatusOK, h.call(0, http.MethodPost, id, firstKey).Code)
		assert.Equal(t, http.StatusServiceUnavailable, h.call(1, http.MethodPost, id, secondKey).Code, "immediately, at another host")
		time.Sleep(time.Second)
		// The refused submission may have been stored, second, before its host read the first.
		stored := strings.Count(h.records(t, briarspring.SharedStream), "j/00000000000000aa/")
		for host := range 2 {
			for _, method := range []string{http.MethodGet, http.MethodDelete} {
				foreign, missing := h.call(host, method, id, secondKey), h.call(host, method, none, secondKey)
				assert.Equal(t, http.StatusGone, foreign.Code)
				assert.Equal(t, missing.Code, foreign.Code)
				assert.Equal(t, missing.Header(), foreign.Header())
				assert.Equal(t, missing.Body.String(), foreign.Body.String())
			}
			refused := h.call(host, http.MethodPost, id, secondKey)
			assert.Equal(t, http.StatusServiceUnavailable, refused.Code)
			assert.NotContains(t, refused.Body.String(), "acme")
			assert.Equal(t, http.StatusGone, h.call(host, http.MethodDelete, "/open/00000000000000aa", "").Code)
			assert.Equal(t, http.StatusUnauthorized, h.call(host, http.MethodDelete, id, "").Code)
			assert.Contains(t, h.call(host, http.MethodGet, id, firstKey).Body.String(), "queued")
		}
		h.store.Put(briarspring.DirectoryStream, platformConfig(2, newKey, secondKey))
		time.Sleep(3 * time.Second)
		for host := range 2 {
			assert.Equal(t, http.StatusUnauthorized, h.call(host, http.MethodGet, id, firstKey).Code)
			assert.Equal(t, http.StatusOK, h.call(host, http.MethodPost, id, newKey).Code, "repeated after the rotation")
			assert.Contains(t, h.call(host, http.MethodGet, id, newKey).Body.String(), "queued")
		}
		assert.Equal(t, stored, strings.Count(h.records(t, briarspring.SharedStream), "j/00000000000000aa/"), "nothing is stored again")
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodDelete, id, newKey).Code)
		time.Sleep(2 * time.Second)
		assert.Contains(t, h.call(0, http.MethodGet, id, newKey).Body.String(), "cancelled")
	})
}

// Guards against hosts without the directory that refuse keys which they know, accept
// revoked ones for longer than the settings allow, or call a new key unknown.
func TestKeysWithoutTheDirectory(t *testing.T) {
	lose := func(h *platformHosts) (end func()) {
		// The other host's copies of the directory come by the shared stream.
		ends := []func(){}
		for _, stream := range []string{briarspring.DirectoryStream, briarspring.SharedStream} {
			ends = append(ends, h.store.BeginOutage(imitator.StreamOutage{Stream: stream, Caller: "host-1", Silent: true}))
		}
		h.store.Put(briarspring.DirectoryStream, platformConfig(2, newKey, secondKey))
		time.Sleep(5 * time.Second)
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
	const path = "/closed/"
	onPlatformHosts(t, "not strict", 0, func(t *testing.T, h *platformHosts) {
		end := lose(h)
		assert.Equal(t, http.StatusUnauthorized, h.call(0, http.MethodGet, path, firstKey).Code)
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, path, firstKey).Code)
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, path, secondKey).Code)
		rw := h.call(1, http.MethodGet, path, newKey)
		assert.Equal(t, http.StatusServiceUnavailable, rw.Code)
		assert.NotEmpty(t, rw.Header().Get("Retry-After"))
		end()
		time.Sleep(3 * time.Second)
		assert.Equal(t, http.StatusUnauthorized, h.call(1, http.MethodGet, path, firstKey).Code)
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, path, newKey).Code)
	})
	onPlatformHosts(t, "strict", 3*time.Second, func(t *testing.T, h *platformHosts) {
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, path, firstKey).Code)
		end := lose(h)
		for _, key := range []string{firstKey, secondKey, newKey} {
			rw := h.call(1, http.MethodGet, path, key)
			assert.Equal(t, http.StatusServiceUnavailable, rw.Code)
			assert.NotEmpty(t, rw.Header().Get("Retry-After"))
		}
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, "/open/", "").Code)
		end()
		time.Sleep(3 * time.Second)
		assert.Equal(t, http.StatusUnauthorized, h.call(1, http.MethodGet, path, firstKey).Code)
		assert.Equal(t, http.StatusOK, h.call(1, http.MethodGet, path, secondKey).Code)
	})
}
