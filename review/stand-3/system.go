package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName  = "pearaamat"
	frontHost    = "review.example"
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	internalPort = 7720
	metricsPort  = 9464    // The default of the host's command.
	standPort    = 8703    // Of the store and the executors.
	storeIP      = 250     // Last byte of the store's address.
	executorsIP  = 100     // The same of the first executor.
	relaysIP     = 180     // The same of the first relay.
	entryLag     = "800ms" // Of the list of executors, as in the site file.
	workersARack = 2
	callTimeout  = 3 * time.Second
	readyTimeout = 20 * time.Second
)

var zones = []string{"tartu", "viljandi", "voru"}

// process is a process that the driver has started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// host is an entry host.
type host struct {
	name, zone, ip, settings string
	process                  *process
}

// executor is a machine on which executors live one after the other.
type executor struct {
	zone, rack, address string
	relay               *relay // Between the hosts and the executor; nil for none.
	cpu                 int64
	id                  string // Of its present life.
	process             *process
	lives               int
}

// run is one run of a task on an executor.
type run struct {
	task           string
	number         uint32
	worker         string
	started, ended time.Time // ended is zero for a run that goes on, or that died with its executor.
	how            string
	died           bool // Its executor was killed under it.
	seen           bool // Its end was acknowledged.
}

// system is a small deployment: the store, the hosts and the executors.
type system struct {
	dir       string
	subnet    string
	storeAddr string
	store     *process
	hosts     []*host
	executors []*executor
	client    *http.Client
	began     time.Time
	fills     int  // Jobs that fill zones so far.
	relayed   bool // Hosts reach the executors through relays.

	mu     sync.Mutex
	record *os.File
	runs   []*run
	all    []*process
}

func newSystem(recordPath string) (*system, error) {
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &system{dir: dir, record: record, began: time.Now(), client: &http.Client{Timeout: callTimeout}}, nil
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) { s.noteAt(time.Now(), format, args...) }

// noteAt writes a line about a moment to the record.
func (s *system) noteAt(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", at.Sub(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// findSubnet chooses loopback addresses on which the fixed ports are free.
func (s *system) findSubnet() error {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= storeIP && free; i++ {
			for _, port := range []int{frontPort, readyPort, controlPort, metricsPort, internalPort, standPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			s.subnet = subnet
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// spawn starts a process and passes its output line by line.
func (s *system) spawn(env []string, line func(string), name string, args ...string) (*process, error) {
	p := &process{command: exec.Command(name, args...), done: make(chan struct{})}
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}, env...)
	p.command.Stderr = os.Stderr
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
		_, _ = io.Copy(io.Discard, out)
		_ = p.command.Wait()
	}()
	return p, nil
}

// end sends a signal and waits for the process to end.
func (p *process) end(sig syscall.Signal) {
	_ = p.command.Process.Signal(sig)
	<-p.done
}

// close ends all processes that were started.
func (s *system) close() {
	s.mu.Lock()
	all := slices.Clone(s.all)
	s.mu.Unlock()
	for _, p := range all {
		_ = p.command.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
	s.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// start starts the store, the executors and the hosts, and waits until the hosts are
// ready.
func (s *system) start(hostsPerZone, workersPerZone int, cpu int64, routes []map[string]any) error {
	if err := s.findSubnet(); err != nil {
		return err
	}
	s.storeAddr = fmt.Sprintf("%s.%d:%d", s.subnet, storeIP, standPort)
	var err error
	if s.store, err = s.spawn(nil, func(string) {}, os.Args[0], "store", "-address", s.storeAddr); err != nil {
		return err
	}
	if err := s.waitFor(func() bool { return s.operate("config", configuration(routes)) == nil }, readyTimeout); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	for i, zone := range zones {
		for n := range workersPerZone {
			address := fmt.Sprintf("%s.%d:%d", s.subnet, executorsIP+len(s.executors), standPort)
			x := &executor{zone: zone, rack: fmt.Sprintf("r%d-%d", i+1, n/workersARack+1), address: address, cpu: cpu}
			if s.relayed {
				if x.relay, err = newRelay(fmt.Sprintf("%s.%d:%d", s.subnet, relaysIP+len(s.executors), standPort), address); err != nil {
					return err
				}
			}
			s.executors = append(s.executors, x)
		}
	}
	for _, x := range s.executors {
		if err := s.startExecutor(x); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		for n := range hostsPerZone {
			h := &host{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s.%d", s.subnet, 1+i*hostsPerZone+n)}
			h.settings = filepath.Join(s.dir, h.name+".conf")
			if err := os.WriteFile(h.settings, []byte(s.settings(h)), 0o600); err != nil {
				return err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	return s.startHosts()
}

// startHosts starts the hosts that don't run and waits until all are ready.
func (s *system) startHosts() error {
	for _, h := range s.hosts {
		if h.process != nil {
			continue
		}
		logs, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		h.process, err = s.spawn([]string{"BRIARSPRING_BOOT=" + h.settings}, func(line string) { fmt.Fprintln(logs, line) }, "target/briarspring", "host")
		if err != nil {
			return err
		}
	}
	ready := func() bool {
		for _, h := range s.hosts {
			resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", h.ip, readyPort))
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	}
	if err := s.waitFor(ready, readyTimeout); err != nil {
		return fmt.Errorf("hosts: %w", err)
	}
	s.note("all %d hosts are ready", len(s.hosts))
	return nil
}

// killHosts kills all hosts at once.
func (s *system) killHosts() {
	s.note("SIGKILL to all hosts")
	for _, h := range s.hosts {
		_ = h.process.command.Process.Kill()
	}
	for _, h := range s.hosts {
		<-h.process.done
		h.process = nil
	}
}

// settings returns a host's settings file, with the values of a small deployment.
func (s *system) settings(h *host) string {
	text := fmt.Sprintf("node=%s\nrole=host\nmachineClass=front\nserves=front\nip=%s\nzone=%s\nregion=louna-eesti\n", h.name, h.ip, h.zone)
	for _, z := range zones {
		text += "zones." + z + "=louna-eesti\n"
	}
	text += fmt.Sprintf("listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\n", h.ip, frontPort, h.ip, readyPort, h.ip, controlPort)
	text += "internalPorts=7720,7735\nbootstrap=true\nplatform.address=" + s.storeAddr + "\n"
	return text + strings.Join([]string{
		"limits.cpuShare=0.16", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "discovery=platform",
		"heartbeatMs=1500", "bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configurationMs=2000",
		"bounds.evacuationMs=5000", "bounds.holdMaxMs=6000", "bounds.stopMs=200", "bounds.gangMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.farMultiplier=3", "bounds.leaseMs=3000", "orders=request",
		"platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=16", "platform.recordBytes=262144",
		"platform.requestBytes=2097152", "platform.keep_s=300", "",
	}, "\n")
}

// startExecutor starts the next life of an executor, under a new ID.
func (s *system) startExecutor(x *executor) error {
	x.lives++
	x.id = fmt.Sprintf("i-%08x%02x", rand.Uint32(), x.lives)
	return s.startAgain(x)
}

// startAgain starts the next life of an executor under the ID that it had.
func (s *system) startAgain(x *executor) error {
	entry, lag := x.address, "0s"
	if x.relay != nil {
		// The port of the relay, on an address of its own.
		entry, lag = fmt.Sprintf("%s.%d:%d", s.subnet, relaysIP+slices.Index(s.executors, x), standPort), entryLag
	}
	var err error
	x.process, err = s.spawn(nil, s.handleEvent, os.Args[0], "worker", "-id", x.id, "-address", x.address, "-entry", entry, "-lag", lag,
		"-store", s.storeAddr, "-zone", x.zone, "-rack", x.rack, "-service", serviceName, "-cpu", fmt.Sprint(x.cpu))
	return err
}

// crashExecutor kills an executor; it sends nothing more.
func (s *system) crashExecutor(x *executor) {
	s.note("SIGKILL to executor %s in %s", x.id, x.zone)
	x.process.end(syscall.SIGKILL)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.worker == x.id && r.ended.IsZero() {
			r.ended, r.how, r.died = time.Now(), "crashed", true
		}
	}
}

// handleEvent records a line of an executor's output.
func (s *system) handleEvent(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		return
	}
	s.noteAt(time.UnixMilli(e.At), "executor %s: %s %s run %d %s token %d", e.Worker, e.Event, e.Task, e.Run, e.How, e.Token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Event == "start" {
		s.runs = append(s.runs, &run{task: e.Task, number: e.Run, worker: e.Worker, started: time.UnixMilli(e.At)})
		return
	}
	for _, r := range s.runs {
		if r.worker == e.Worker && r.task == e.Task && r.number == e.Run {
			switch e.Event {
			case "end":
				r.ended, r.how = time.UnixMilli(e.At), e.How
			case "seen":
				r.seen = true
			}
		}
	}
}

// runsOf returns copies of the runs of a job, in the order of their starts.
func (s *system) runsOf(job string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []run
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, job+".") {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b run) int { return a.started.Compare(b.started) })
	return list
}

// executorOf returns the executor whose present life has an ID.
func (s *system) executorOf(id string) *executor {
	for _, x := range s.executors {
		if x.id == id {
			return x
		}
	}
	return nil
}

// waitFor polls a condition until it holds.
func (s *system) waitFor(condition func() bool, most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", most)
}

// configuration returns the operator's configuration.
func configuration(routes []map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": 3, "routes": routes, "services": []map[string]any{{"name": serviceName, "rejectsOverload": false}}, "limits": map[string]any{},
	})
	return body
}

// route returns a queue of the configuration.
func route(name string, priority, attempts int, stretch float64, targetMs int) map[string]any {
	return map[string]any{
		"name": name, "host": frontHost, "pathPrefix": "/" + name + "/", "service": serviceName, "priority": priority, "maxAttempts": attempts,
		"stretch": stretch, "targetLatencyMs": targetMs,
	}
}

// operate writes a key of the operator; an empty body drops it.
func (s *system) operate(key string, body []byte) error {
	resp, err := s.client.Post("http://"+s.storeAddr+"/stand/op?key="+key, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp.Body.Close()
	s.note("operator writes op/%s: %s", key, body)
	return nil
}

// call sends a client's request to a host. The status is 0 without an answer.
func (s *system) call(h *host, method, path string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, frontPort, path), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = frontHost
	req.Header.Set("X-Deadline-Milliseconds", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		s.note("client %s %s to %s: no answer: %v", method, path, h.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	s.note("client %s %s to %s: %s -> %d %s", method, path, h.name, data, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit hands a job in, again after no answer, 502, 503 or 504, at the next host.
func (s *system) submit(path string, body any) error {
	for i := range 40 {
		status, _ := s.call(s.hosts[i%len(s.hosts)], http.MethodPost, path, body)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}

// state asks all hosts in turn for a job's state until one answers.
func (s *system) state(path string) string {
	for i := range 20 {
		status, answer := s.call(s.hosts[i%len(s.hosts)], http.MethodGet, path, nil)
		var m struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &m) == nil {
			return m.State
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "unanswered"
}
