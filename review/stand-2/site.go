package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program     = "target/briarspring" // As in the deploy file, with the argument "host".
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	service     = "pearaamat"
	clientHost  = "nony24.example"
	leadTime    = 10 * time.Second // From the start of the machines to that of traffic.
)

// site is a small deployment: hosts and executors as processes, the store in this one.
type site struct {
	started   time.Time
	dir       string
	subnet    string
	addresses int
	zones     []string
	store     *store
	storeAddr string
	relay     *relay // Between hosts and executors; nil for none.
	done      chan struct{}
	hosts     []*process
	executors []*executorProcess

	mu     sync.Mutex
	record *os.File
	events []event
}

// process is a process that the site started.
type process struct {
	name string
	ip   string
	cmd  *exec.Cmd
	wait chan struct{} // Closed when it has ended.
}

// executorProcess is an executor and its present life.
type executorProcess struct {
	*process
	id, zone, rack, kind, address, entry string
}

// queue is a route of the operator's configuration.
type queue struct {
	name, prefix string
	priority     int
	maxAttempts  int
}

var queues = []queue{
	{name: "r-urgent", prefix: "/lohu930/", maxAttempts: 3},
	{name: "r-season", prefix: "/pufi791/", priority: 2, maxAttempts: 4},
	{name: "r-lasting", prefix: "/pule252/", maxAttempts: 2},
}

func newSite(recordPath string, zones ...string) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file comes first: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		started: time.Now(), dir: dir, zones: zones, store: newStore(), done: make(chan struct{}), record: record,
		subnet: fmt.Sprintf("127.%d.%d", 60+rand.IntN(180), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", s.newIP()+":0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	go s.store.expireEntries(s.done)
	s.putConfig()
	go s.endOnSignal()
	return s, nil
}

func (s *site) newIP() string {
	s.addresses++
	return fmt.Sprintf("%s.%d", s.subnet, s.addresses)
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%7.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) putConfig() {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": clientHost, "pathPrefix": q.prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": q.priority, "service": service, "maxAttempts": q.maxAttempts, "stretch": 2.0,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "connectionLimit": 64, "protocol": "h1", "tls": false,
			"coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": false, "spare": false}},
		"limits": map[string]int{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put(topicOperator, "config", value)
}

// settings returns the settings file of a host, as the deploy page describes it.
func (s *site) settings(name, zone, ip string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node=%s\nrole=host\nmachineClass=front\nserves=front\nip=%s\nzone=%s\nregion=louna-eesti", name, ip, zone)
	for _, z := range s.zones {
		line("zones.%s=louna-eesti", z)
	}
	line("listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d", ip, frontPort, ip, readyPort, ip, controlPort)
	line("internalPorts=7720,7735\nseeds=%s:%d\nbootstrap=true\nlimits.cpuShare=0.16\nlimits.cores=1\nlimits.memoryMb=284", ip, controlPort)
	line("limits.fileDescriptors=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeatMs=1500")
	line("contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing")
	line("tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.contactMs=3000\nbounds.acknowledgeMs=4000\nbounds.drainMs=2000")
	line("bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configurationMs=2000\nbounds.outerMs=5000\nbounds.evacuationMs=5000")
	line("bounds.recoveryS=12\nbounds.holdMaxMs=6000\nbounds.stopMs=200\nbounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000")
	line("bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.farMultiplier=3\nbounds.checkpointS=1\nbounds.restoreMs=600")
	line("orders=request\nplatform.address=%s\nplatform.form=log\nplatform.writesPerS=600\nplatform.readsPerS=2000\nplatform.parts=16", s.storeAddr)
	line("platform.appendMs=3.0\nplatform.recordBytes=262144\nplatform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partitionMb=200")
	return b.String()
}

// start starts a process whose standard output goes to a function, line by line, or to
// a file of the temporary folder.
func (s *site) start(p *process, env []string, lines func([]byte), args ...string) error {
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C"}, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.wait = make(chan struct{})
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd.Stderr = log
	if lines == nil {
		p.cmd.Stdout = log
	} else {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		go func() {
			scanner := bufio.NewScanner(out)
			for scanner.Scan() {
				lines(scanner.Bytes())
			}
		}()
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, wait chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(wait)
	}(p.cmd, p.wait)
	s.logf("process %s started, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// kill sends SIGKILL to a process and waits for its end.
func (s *site) kill(p *process) {
	select {
	case <-p.wait:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.wait
	s.logf("process %s killed", p.name)
}

// addHost starts an entry host.
func (s *site) addHost(zone string) error {
	p := &process{name: fmt.Sprintf("front-%s-%d", zone, len(s.hosts)+1), ip: s.newIP()}
	path := filepath.Join(s.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(s.settings(p.name, zone, p.ip)), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, p)
	return s.startHost(p)
}

func (s *site) startHost(p *process) error {
	return s.start(p, []string{"BRIARSPRING_BOOT=" + filepath.Join(s.dir, p.name+".conf")}, nil, program, "host")
}

// addExecutor starts an executor.
func (s *site) addExecutor(id, zone, kind, rack string) error {
	e := &executorProcess{process: &process{name: id, ip: s.newIP()}, id: id, zone: zone, rack: rack, kind: kind}
	listener, err := net.Listen("tcp", e.ip+":0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.entry = e.address
	listener.Close()
	if s.relay != nil {
		if e.entry, err = s.relay.serve(e.ip, e.address); err != nil {
			return err
		}
	}
	s.executors = append(s.executors, e)
	return s.startExecutor(e)
}

// startExecutor starts a life of an executor, at the same address each time.
func (s *site) startExecutor(e *executorProcess) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return s.start(e.process, nil, s.addEvent, self, "executor", "-id", e.id, "-address", e.address, "-entry", e.entry, "-store", s.storeAddr,
		"-zone", e.zone, "-service", service, "-labels", e.kind+","+e.rack)
}

// addEvent takes a line of an executor.
func (s *site) addEvent(line []byte) {
	var v event
	if json.Unmarshal(line, &v) != nil {
		return
	}
	s.mu.Lock()
	s.events = append(s.events, v)
	s.mu.Unlock()
	if v.Event != "seen" {
		s.logf("executor %s (kind %s, born %d): %s %s run %d %s", v.Executor, v.Kind, v.Born, v.Event, v.Task, v.Run, v.How)
	}
}

// eventsOf returns the events of the tasks whose names begin with a prefix.
func (s *site) eventsOf(prefix string) []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []event
	for _, v := range s.events {
		if v.Task != "" && strings.HasPrefix(v.Task, prefix) {
			list = append(list, v)
		}
	}
	return list
}

// awaitReady waits until all hosts are ready, and until traffic may start.
func (s *site) awaitReady() error {
	deadline := s.started.Add(3 * leadTime)
	for _, h := range s.hosts {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/ready", h.ip, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(s.started.Add(leadTime)))
	return nil
}

// endOnSignal ends all processes when the driver is told to end.
func (s *site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.close()
	os.Exit(exitCannotRun)
}

// close ends all processes.
func (s *site) close() {
	for _, h := range s.hosts {
		s.kill(h)
	}
	for _, e := range s.executors {
		s.kill(e.process)
	}
	close(s.done)
	if keep := os.Getenv("KEEP"); keep == "" {
		os.RemoveAll(s.dir)
	} else {
		s.logf("logs of the processes: %s", filepath.Base(s.dir))
	}
	s.record.Close()
}

// call sends a client's request to a host and returns the status and the body, or 0 if
// there was no answer.
func (s *site) call(host *process, method, path string, body any) (int, map[string]any) {
	return s.callWithin(3*time.Second, host, method, path, body)
}

// callWithin is call for a client that leaves after a time.
func (s *site) callWithin(patience time.Duration, host *process, method, path string, body any) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", host.ip, frontPort, path), strings.NewReader(string(data)))
	if err != nil {
		return 0, nil
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Milliseconds", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.logf("client: %s %s to %s: no answer", method, path, host.name)
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	s.logf("client: %s %s %s to %s: %d %v", method, path, data, host.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// newID returns an ID for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at other hosts after a refusal or no answer, and returns its ID.
func (s *site) submit(first int, prefix string, job map[string]any) (string, error) {
	id := newID()
	for i := range 4 {
		host := s.hosts[(first+i)%len(s.hosts)]
		if status, _ := s.call(host, http.MethodPost, prefix+id, job); status/100 == 2 {
			return id, nil
		}
		time.Sleep(time.Second)
	}
	return "", fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job that some host tells, or "".
func (s *site) state(prefix, id string) string {
	for _, h := range s.hosts {
		if status, body := s.call(h, http.MethodGet, prefix+id, nil); status == http.StatusOK {
			state, _ := body["state"].(string)
			return state
		}
	}
	return ""
}
