package main

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/stressor"
)

// limitsBounds are those of the processes under test: the memory of a node, and fewer
// descriptors than there are clients.
var limitsBounds = stressor.Bounds{MemoryMiB: 128, Descriptors: 384}

const (
	limitsHoldTime = time.Second // For which clients stay open after their last byte, before the checks.
	limitsAttempts = 4           // Of an ordinary request that is refused.
	limitsTimeout  = 30 * time.Second
	// gatewayLimits are settings of the gateway under test.
	gatewayLimits = "max-buffered = 16MiB\nmax-connections = 200\n"
)

// limitsDoor is an address of a process under test.
type limitsDoor struct {
	name    string
	address string
	kinds   []limitsKind
	calm    []stressor.Sender
}

// TestGatewayClientLimits guards against clients of a gateway that terminate it, or
// stop it from answering others, by taking its memory or its file descriptors.
func TestGatewayClientLimits(t *testing.T) {
	s := startSystem(t, []string{"tartu"}, 1, 1)
	applyObjects(t, s)
	p := s.dataCentres["tartu"]
	s.kill("tartu-gateway0")
	s.addSettings(p, "[gateway]\n", gatewayLimits)
	l := &limitsSystem{system: s, role: "gateway", dataCentre: p, doors: []limitsDoor{
		{"callers", p.gateways[0], callersKinds(), calmRequests(callersHeader, bytes.Repeat([]byte("a"), limitsBodyBytes))},
		{"admin", p.gatewayAdmin[0], adminKinds(), nil},
	}, requests: []ordinaryRequest{
		{"a caller's request", http.MethodPost, p.gateways[0], "/ledger/read"},
		{"the readiness check", http.MethodGet, p.gatewayAdmin[0], "/readyz"},
		{"the metrics", http.MethodGet, p.gatewayAdmin[0], "/debug/vars"},
	}}
	l.run(t)
}

// TestSchedulerClientLimits does the same with a scheduler.
func TestSchedulerClientLimits(t *testing.T) {
	s := startSystem(t, []string{"tartu"}, 1, 1)
	p := s.dataCentres["tartu"]
	s.kill("tartu-scheduler0")
	l := &limitsSystem{system: s, role: "scheduler", dataCentre: p, doors: []limitsDoor{
		{"admin", p.schedAdmin[0], adminKinds(), nil},
		{"operators", p.operators[0], operatorsKinds(), append(calmRequests(jsonHeader, jsonMessage(limitsBodyBytes)),
			stressor.Body(compressedHeader, stressor.Compressed(jsonMessage(limitsBodyBytes))))},
	}, requests: []ordinaryRequest{
		{"an operators' call", http.MethodPost, p.operators[0], "/briarspring.v1.Operators/ListJobs"},
		{"the readiness check", http.MethodGet, p.schedAdmin[0], "/readyz"},
		{"the metrics", http.MethodGet, p.schedAdmin[0], "/debug/vars"},
	}}
	l.run(t)
	t.Run("peers-without-certificate", l.runPeers)
}

// kill kills a process.
func (s *system) kill(name string) {
	cmd := s.processes[name]
	require.NoError(s.t, cmd.Process.Kill())
	delete(s.processes, name)
	_ = cmd.Wait() // Reports the kill.
}

// addSettings inserts lines into the settings of a data centre's first host.
func (s *system) addSettings(p *dataCentre, after, lines string) {
	path := s.path(p, 0, "settings.ini")
	text, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(path, []byte(strings.Replace(string(text), after, after+lines, 1)), 0o600))
}

// ordinaryRequest is a request of a client that behaves.
type ordinaryRequest struct {
	name, method, address, path string
}

// send returns the status of the response; header is nil if there is none.
func (r ordinaryRequest) send() (status int, header http.Header) {
	req, err := http.NewRequest(r.method, "http://"+r.address+r.path, strings.NewReader("{}"))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limitsTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// assertAnswered checks that a request is answered. A refused one is repeated, as
// clients do.
func (r ordinaryRequest) assertAnswered(t *testing.T) {
	var status int
	for range limitsAttempts {
		var header http.Header
		status, header = r.send()
		if status == http.StatusOK {
			return
		}
		if status == http.StatusServiceUnavailable {
			assert.NotEmpty(t, header.Get("Retry-After"), r.name)
		}
		time.Sleep(time.Second)
	}
	assert.Equal(t, http.StatusOK, status, r.name)
}

// limitsSystem is a system with a process under test.
type limitsSystem struct {
	*system
	role       string
	dataCentre *dataCentre
	doors      []limitsDoor
	requests   []ordinaryRequest
}

// run starts the process anew for each kind of client.
func (l *limitsSystem) run(t *testing.T) {
	t.Run("calm", l.runCalm)
	for _, d := range l.doors {
		for _, k := range d.kinds {
			t.Run(d.name+"-"+k.name, func(t *testing.T) {
				p := l.startProcess(t)
				crowd := stressor.NewCrowd(t, stressor.CrowdConfig{
					Address: d.address, Clients: k.clients, Send: k.send, Hold: limitsHoldTime,
				})
				crowd.Run()
				p.AssertAlive(t)
				for _, r := range l.requests {
					r.assertAnswered(t)
				}
				p.AssertBounds(t, limitsBounds)
				crowd.Close()
			})
		}
	}
}

// runCalm sends one request at a time, as large as is legal. Each is served.
func (l *limitsSystem) runCalm(t *testing.T) {
	p := l.startProcess(t)
	for _, d := range l.doors {
		for i, send := range d.calm {
			status, err := stressor.Ask(d.address, send)
			assert.NoError(t, err, "%s %d", d.name, i)
			assert.Equal(t, http.StatusOK, status, "%s %d", d.name, i)
		}
	}
	p.AssertAlive(t)
	p.AssertBounds(t, limitsBounds)
}

// startProcess starts the process under test and waits until it serves.
func (l *limitsSystem) startProcess(t *testing.T) *stressor.Process {
	cmd := exec.Command(filepath.Join(l.folder, "briarspring"), l.role, l.path(l.dataCentre, 0, "settings.ini"))
	p := stressor.Start(t, cmd, filepath.Join(t.TempDir(), l.role+".log"))
	for _, r := range l.requests {
		require.Eventually(t, func() bool {
			status, _ := r.send()
			return status == http.StatusOK
		}, limitsTimeout, 50*time.Millisecond, r.name)
	}
	return p
}
