package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// zones are the data centres of the small deployment.
var zones = []string{"tartu", "viljandi", "voru"}

const (
	queueHost    = "nony24.example"
	serviceName  = "huvo11a"
	readyTimeout = 20 * time.Second
	// clientTimeout is how long clients wait, from the sheet.
	clientTimeout = 3 * time.Second
)

// Queues of the configuration, by path prefix.
const (
	urgentPrefix = "/lohu930/"
	seasonPrefix = "/pufi791/"
)

// host is a process of the system.
type host struct {
	name, zone   string
	front, ready string
	settings     string
	process      *exec.Cmd
}

// system is the platform with its executors, and the hosts of the system.
type system struct {
	binary    string
	dir       string
	record    *record
	ledger    *ledger
	store     *store
	down      atomic.Bool // The store answers every call with 503.
	executors []*executor
	hosts     []*host
	addresses int
}

func newSystem(binary, dir string, r *record) *system {
	s := &system{binary: binary, dir: dir, record: r, ledger: newLedger(r), store: newStore()}
	s.store.fault = func(_ string, rw http.ResponseWriter, _ *http.Request, _ func()) bool {
		if s.down.Load() {
			reply(rw, http.StatusServiceUnavailable, struct{}{})
			return true
		}
		return false
	}
	return s
}

// newIP returns a loopback address that this run has not used.
func (s *system) newIP() string {
	s.addresses++
	return fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()/200%160, os.Getpid()%200, s.addresses)
}

// addExecutors starts executors in every zone, all on one rack.
func (s *system) addExecutors(perZone int, behave func(task string) behaviour) error {
	return s.addRack(0, perZone, behave)
}

// addRack starts a rack of executors in every zone.
func (s *system) addRack(rack, perRack int, behave func(task string) behaviour) error {
	for _, zone := range zones {
		for i := range perRack {
			if _, err := s.addExecutor(zone, commonLabel, rack, rack*perRack+i, behave); err != nil {
				return err
			}
		}
	}
	return nil
}

// addExecutor starts an executor.
func (s *system) addExecutor(zone, label string, rack, number int, behave func(task string) behaviour) (*executor, error) {
	x := &executor{
		id: fmt.Sprintf("i-%s-%d", zone, number), zone: zone, rack: rackName(zone, rack), label: label, service: serviceName,
		store: s.store, ledger: s.ledger, behave: behave, storeDown: s.down.Load,
	}
	if err := x.serve(s.newIP() + ":0"); err != nil {
		return nil, err
	}
	s.executors = append(s.executors, x)
	return x, nil
}

func rackName(zone string, rack int) string { return fmt.Sprintf("r-%s-%d", zone, rack) }

// loseRack loses the executors of a rack for good.
func (s *system) loseRack(zone string, rack int) {
	for _, x := range s.executors {
		if x.rack == rackName(zone, rack) {
			x.lose()
		}
	}
}

// start starts the store and one host in each zone, and waits until they are
// ready.
func (s *system) start() error {
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-urgent", "host": queueHost, "pathPrefix": urgentPrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250, "priority": 0, "service": serviceName, "maxAttempts": 3, "stretch": 1.5},
			{"name": "r-season", "host": queueHost, "pathPrefix": seasonPrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 2, "service": serviceName, "maxAttempts": 4, "stretch": 2.0},
		},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "connectionLimit": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false}},
		"limits":   map[string]int{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	s.store.put("keyed.op", "config", config)
	for _, zone := range zones {
		h, err := s.newHost(zone, 1)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := s.run(h); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyTimeout)
	for _, h := range s.hosts {
		for !s.isReady(h) {
			if time.Now().After(until) {
				return fmt.Errorf("host %s is not ready after %s", h.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	s.record.printf("all hosts are ready")
	return nil
}

func (s *system) isReady(h *host) bool {
	resp, err := http.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newHost serves the store to a new host and writes the host's settings, as in
// DEPLOY.md.
func (s *system) newHost(zone string, number int) (*host, error) {
	listener, err := net.Listen("tcp", s.newIP()+":0")
	if err != nil {
		return nil, err
	}
	ip := s.newIP()
	var ports [4]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	h := &host{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(s.dir, fmt.Sprintf("%s-%d.conf", zone, number)),
	}
	go func() { _ = http.Serve(listener, s.store.handler(h.name)) }()
	lines := []string{
		"node=" + h.name, "role=host", "machineClass=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=louna-eesti",
		"listen.front=" + h.front, "listen.ready=" + h.ready, fmt.Sprintf("listen.control=%s:%d", ip, ports[2]),
		fmt.Sprintf("internalPorts=%d,%d", ports[3], ports[3]), "seeds=", "bootstrap=true", "countsTowardTolerance=false",
		"limits.cpuShare=0.16", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=virtual_ip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0", "bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configurationMs=2000", "bounds.evacuationMs=5000", "bounds.recoveryS=12", "bounds.holdMaxMs=6000",
		"bounds.stopMs=200", "bounds.gangMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.farMultiplier=3", "bounds.checkpointS=1", "bounds.restoreMs=600", "orders=request", "platform.address=" + listener.Addr().String(), "platform.form=log",
		"platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=16", "platform.appendMs=3.0", "platform.recordBytes=262144", "platform.requestBytes=2097152",
		"platform.keep_s=300", "platform.partitionMb=200",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=louna-eesti")
	}
	return h, os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// run starts the process of a host with the command of the deploy file.
func (s *system) run(h *host) error {
	logs, err := os.Create(filepath.Join(s.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.process = exec.Command(s.binary, "host")
	h.process.Env = []string{"BRIARSPRING_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.process.Stdout, h.process.Stderr = logs, logs
	if err := h.process.Start(); err != nil {
		return err
	}
	s.record.printf("host %s runs", h.name)
	return nil
}

// close ends the processes of all hosts.
func (s *system) close() {
	for _, h := range s.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
		}
	}
}

// call sends a client's request and returns the status and the body. The status is
// zero if there was no answer.
func (s *system) call(h *host, method, path string, body any, timeout time.Duration) (int, string) {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		data = encoded
	}
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Milliseconds", "3000")
	client := http.Client{Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		s.record.printf("%s %s at %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	s.record.printf("%s %s at %s: %d %s", method, path, h.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// state returns the state of a job, or the empty string if there is no answer.
func (s *system) state(h *host, path string) string {
	status, text := s.call(h, http.MethodGet, path, nil, clientTimeout)
	var m struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &m) != nil {
		return ""
	}
	return m.State
}
