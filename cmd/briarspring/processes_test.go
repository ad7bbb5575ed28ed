package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarspring/certifier"
	"briarspring/demonstrator"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
)

// system is a set of real processes that listen on loopback addresses.
type system struct {
	t           *testing.T
	folder      string
	log         string
	logAdmin    string
	hosts       string
	hostAdmin   string
	dataCentres map[string]*dataCentre
	processes   map[string]*exec.Cmd
}

// dataCentre holds the addresses of a data centre; slices are indexed by entry
// host.
type dataCentre struct {
	name         string
	workers      string
	workersAdmin string
	gateways     []string
	gatewayAdmin []string
	operators    []string
	schedAdmin   []string
	peers        []string
}

func freeAddress(t *testing.T) string {
	address, err := demonstrator.FreeAddress()
	require.NoError(t, err)
	return address
}

// startSystem builds the programs and starts all processes of the given data
// centres, each with the given number of entry hosts and workers.
func startSystem(t *testing.T, dataCentres []string, entryHosts, workers int, logArgs ...string) *system {
	s := &system{
		t: t, folder: t.TempDir(), dataCentres: map[string]*dataCentre{}, processes: map[string]*exec.Cmd{},
		log: freeAddress(t), logAdmin: freeAddress(t), hosts: freeAddress(t), hostAdmin: freeAddress(t),
	}
	t.Cleanup(s.stopAll)
	for _, program := range []string{"briarspring", "briarstand"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(s.folder, program), "briarspring/cmd/"+program).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	s.start("log", "briarstand", append([]string{"log", "--address", s.log, "--admin", s.logAdmin}, logArgs...)...)
	s.start("hosts", "briarstand", "hosts", "--address", s.hosts, "--admin", s.hostAdmin)
	for _, name := range dataCentres {
		s.addDataCentre(name, entryHosts)
	}
	authority, err := certifier.NewAuthority()
	require.NoError(t, err)
	for _, name := range dataCentres {
		p := s.dataCentres[name]
		s.start(name+"-workers", "briarstand", "workers", "--address", p.workers, "--admin", p.workersAdmin,
			"--data-centre", name, "--hosts-admin", s.hostAdmin, "--count", fmt.Sprint(workers))
		for i := range entryHosts {
			pair, err := authority.Issue(time.Hour)
			require.NoError(t, err)
			require.NoError(t, pair.Write(s.path(p, i, "tls")))
			s.writeSettings(p, i)
			s.startScheduler(p, i)
			s.startGateway(p, i)
		}
	}
	return s
}

func (s *system) addDataCentre(name string, entryHosts int) {
	p := &dataCentre{name: name, workers: freeAddress(s.t), workersAdmin: freeAddress(s.t)}
	for range entryHosts {
		p.gateways = append(p.gateways, freeAddress(s.t))
		p.gatewayAdmin = append(p.gatewayAdmin, freeAddress(s.t))
		p.operators = append(p.operators, freeAddress(s.t))
		p.schedAdmin = append(p.schedAdmin, freeAddress(s.t))
		p.peers = append(p.peers, freeAddress(s.t))
	}
	s.dataCentres[name] = p
}

func (s *system) path(p *dataCentre, i int, name string) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s-%d", p.name, i), name)
}

func (s *system) writeSettings(p *dataCentre, i int) {
	var others, elsewhere, gateways []string
	for j, peer := range p.peers {
		if j != i {
			others = append(others, peer)
		}
	}
	for _, o := range s.dataCentres {
		if o != p {
			elsewhere = append(elsewhere, o.peers...)
			gateways = append(gateways, o.name+"="+o.gateways[0])
		}
	}
	tls := s.path(p, i, "tls")
	text := fmt.Sprintf(`[process]
name = %s-host%d
data-centre = %s
[platform]
log-address = %s
hosts-address = %s
[tls]
certificate = %s
key = %s
authority = %s
[scheduler]
admin-address = %s
operators-address = %s
peer-address = %s
peers = %s
elsewhere = %s
[gateway]
admin-address = %s
address = %s
schedulers = %s
seat = %d
seats = %d
notice-time = 300ms
elsewhere = %s
`, p.name, i, p.name, s.log, s.hosts,
		filepath.Join(tls, certifier.CertificateFile), filepath.Join(tls, certifier.KeyFile),
		filepath.Join(tls, certifier.AuthorityFile),
		p.schedAdmin[i], p.operators[i], p.peers[i], strings.Join(others, ","), strings.Join(elsewhere, ","),
		p.gatewayAdmin[i], p.gateways[i], strings.Join(p.peers, ","), i, len(p.gateways), strings.Join(gateways, ","))
	require.NoError(s.t, os.WriteFile(s.path(p, i, "settings.ini"), []byte(text), 0o600))
}

func (s *system) startScheduler(p *dataCentre, i int) {
	s.start(fmt.Sprintf("%s-scheduler%d", p.name, i), "briarspring", "scheduler", s.path(p, i, "settings.ini"))
}

func (s *system) startGateway(p *dataCentre, i int) {
	s.start(fmt.Sprintf("%s-gateway%d", p.name, i), "briarspring", "gateway", s.path(p, i, "settings.ini"))
}

func (s *system) start(name, program string, args ...string) {
	logs, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	cmd := exec.Command(filepath.Join(s.folder, program), args...)
	cmd.Stdout, cmd.Stderr = logs, logs
	require.NoError(s.t, cmd.Start())
	logs.Close()
	s.processes[name] = cmd
}

// signal sends a signal to a process. After SIGKILL or SIGTERM it waits until the
// process has exited and returns the exit error.
func (s *system) signal(name string, sig syscall.Signal) error {
	cmd := s.processes[name]
	require.NoError(s.t, cmd.Process.Signal(sig))
	if sig != syscall.SIGKILL && sig != syscall.SIGTERM {
		return nil
	}
	delete(s.processes, name)
	return cmd.Wait()
}

func (s *system) stopAll() {
	for _, cmd := range s.processes {
		cmd.Process.Signal(syscall.SIGCONT) //nolint:errcheck // May have ended.
		cmd.Process.Kill()                  //nolint:errcheck // May have ended.
		cmd.Wait()                          //nolint:errcheck // Was killed.
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

const logTailBytes = 1500

func (s *system) printLogs() {
	files, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		s.t.Logf("--- %s\n%s", filepath.Base(f), data[max(0, len(data)-logTailBytes):])
	}
}

func (s *system) client(address string) briarspringv1connect.OperatorsClient {
	return briarspringv1connect.NewOperatorsClient(http.DefaultClient, "http://"+address)
}

// ctl runs the command line and returns what it printed.
func (s *system) ctl(address string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.folder, "briarspring"), append([]string{"ctl", "--address", address}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// put sends JSON to an admin port.
func (s *system) put(address, path string, v any) {
	body, err := json.Marshal(v)
	require.NoError(s.t, err)
	r, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	require.NoError(s.t, err)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(s.t, err)
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	require.Equal(s.t, http.StatusOK, answer.StatusCode, string(text))
}

// get reads JSON from an admin port.
func (s *system) get(address, path string, v any) {
	answer, err := http.Get("http://" + address + path)
	require.NoError(s.t, err)
	defer answer.Body.Close()
	require.NoError(s.t, json.NewDecoder(answer.Body).Decode(v))
}

// waitFor waits until a condition holds, and fails the test after limit.
func (s *system) waitFor(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	start := time.Now()
	for !condition() {
		require.Less(s.t, time.Since(start), limit, "timed out waiting for: %s", what)
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *system) ready(address string) bool {
	answer, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
