package replayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/applier"
	"briarspring/declarer"
	"briarspring/imitator"
	"briarspring/placer"
	"briarspring/scheduler"
	"briarspring/sleeper"
)

const (
	schedulersPerDataCentre = 2
	appendsPerSecond        = 300
	logLatency              = 5 * time.Millisecond
	hostsLag                = 500 * time.Millisecond
	checkpointTime          = 100 * time.Millisecond
	reportInterval          = time.Second
	sampleInterval          = 100 * time.Millisecond
	startupTimeout          = 20 * time.Second
	submitTimeout           = 10 * time.Second
	startGracePeriod        = 3 * time.Second
	workerCores             = 16
	workerMemory            = 60 * 1024
)

// Replayer replays one trace under one placement rule.
type Replayer struct {
	trace         Trace
	rule          placer.Rule
	logger        hclog.Logger
	log           *imitator.Log
	hosts         *imitator.Hosts
	journal       *imitator.Journal
	fleets        map[string]*imitator.Fleet
	schedulersMu  sync.Mutex // The load sampler reads schedulers too.
	schedulers    map[string]*scheduler.Scheduler
	cancels       map[string]context.CancelFunc
	delays        map[string]*delays
	ctx           context.Context
	start         time.Time
	requests      int
	expectedTasks map[string]uint32 // Number of tasks of each job that must finish.
	cancelled     map[string]time.Time
	outIntervals  map[string][]interval
	sampler       loadSampler
}

type interval struct{ from, to time.Time }

// New returns a Replayer whose Run replays the trace.
func New(t Trace, rule placer.Rule, logger hclog.Logger) *Replayer {
	r := &Replayer{
		trace: t, rule: rule, logger: logger,
		log:   imitator.NewLog(imitator.LogConfig{AppendsPerSecond: appendsPerSecond, Seed: t.Seed}),
		hosts: imitator.NewHosts(hostsLag), journal: &imitator.Journal{},
		fleets: map[string]*imitator.Fleet{}, schedulers: map[string]*scheduler.Scheduler{},
		cancels: map[string]context.CancelFunc{}, delays: map[string]*delays{}, expectedTasks: map[string]uint32{},
		cancelled: map[string]time.Time{}, outIntervals: map[string][]interval{},
	}
	r.log.SetFaults(imitator.LogFaults{Latency: logLatency})
	return r
}

// Run replays the trace and returns its measures.
func (r *Replayer) Run(ctx context.Context) (Measures, error) {
	ctx, cancel := context.WithCancel(ctx)
	r.ctx = ctx
	defer r.close(cancel)
	for _, d := range r.trace.DataCentres {
		r.addDataCentre(d)
	}
	if err := r.waitUntilUp(); err != nil {
		return Measures{}, err
	}
	r.start = time.Now()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		r.sampleLoad()
	}()
	for _, e := range r.trace.Events {
		r.sleepUntil(time.Duration(e.At))
		if err := r.applyEvent(e); err != nil {
			cancel()
			<-sampled
			return Measures{}, fmt.Errorf("at %s: %s: %w", time.Duration(e.At), e.Kind, err)
		}
	}
	r.sleepUntil(time.Duration(r.trace.Length))
	<-sampled
	return r.computeMeasures(), nil
}

func (r *Replayer) close(cancel context.CancelFunc) {
	cancel()
	for _, s := range r.schedulers {
		<-s.Done()
	}
	for _, f := range r.fleets {
		for _, name := range f.Names() {
			f.Worker(name).Close()
		}
	}
}

func (r *Replayer) sleepUntil(at time.Duration) { time.Sleep(time.Until(r.start.Add(at))) }

func (r *Replayer) addDataCentre(d DataCentre) {
	f := imitator.NewFleet(r.trace.Seed)
	r.fleets[d.Name] = f
	random := rand.New(rand.NewPCG(r.trace.Seed, uint64(len(r.fleets))))
	for i := range d.Workers {
		name := fmt.Sprintf("%s-w%02d", d.Name, i)
		rack := fmt.Sprintf("%s-r%d", d.Name, i/max(d.PerRack, 1))
		f.Put(imitator.NewWorker(imitator.WorkerConfig{
			Name: name, Rack: rack, Incarnation: 1, ClockOffset: time.Duration(random.IntN(1000)) * time.Second,
			Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
				MilliCPU: workerCores * briarspring.MilliCPUPerCore, MemoryMiB: workerMemory,
			}),
			CheckpointTime: checkpointTime, ReportInterval: reportInterval, ReportLag: time.Duration(r.trace.ReportLag),
			Journal: r.journal,
		}))
		r.hosts.Put(briarspring.Host{Name: name, DataCentre: d.Name, Rack: rack, Address: name})
	}
	for i := range schedulersPerDataCentre {
		r.startScheduler(d.Name, fmt.Sprintf("%s-s%d", d.Name, i))
	}
}

func (r *Replayer) startScheduler(dataCentre, name string) {
	d := r.delays[name]
	if d == nil {
		d = newDelays(r.trace.Seed, name)
		r.delays[name] = d
	}
	s := scheduler.New(scheduler.Config{
		Name: name, DataCentre: dataCentre, Logger: r.logger, PlacementRule: r.rule,
		Log:     delayedLog{Log: r.log.Client(name), delays: d},
		Workers: delayedWorkers{Workers: r.fleets[dataCentre].Client(name), delays: d},
		Hosts:   delayedHosts{list: r.hosts, delays: d},
	})
	ctx, cancel := context.WithCancel(r.ctx)
	r.schedulersMu.Lock()
	r.schedulers[name] = s
	r.schedulersMu.Unlock()
	r.cancels[name] = cancel
	delay := d.draw("start", maxStartDelay)
	go func() {
		_ = sleeper.For(ctx, delay)
		s.Run(ctx)
	}()
}

// anyScheduler returns the first scheduler of the first data centre; any
// scheduler would do.
func (r *Replayer) anyScheduler() *scheduler.Scheduler {
	r.schedulersMu.Lock()
	defer r.schedulersMu.Unlock()
	return r.schedulers[r.trace.DataCentres[0].Name+"-s0"]
}

func (r *Replayer) waitUntilUp() error {
	for end := time.Now().Add(startupTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		up := true
		r.anyScheduler().ReadStates(func(conf *applier.Config, _ *applier.Placement) {
			for _, d := range r.trace.DataCentres {
				c := conf.DataCentre(d.Name)
				up = up && c != nil && int(c.Summary().Workers) == d.Workers
			}
		})
		if up {
			return nil
		}
	}
	return fmt.Errorf("the data centres did not start within %s", startupTimeout)
}

// sampleLoad samples the load of all workers from MeasureFrom to MeasureTo. Its
// phase keeps samples and events from the same instant.
func (r *Replayer) sampleLoad() {
	phase := newDelays(r.trace.Seed, "sampler").draw("start", sampleInterval)
	r.sleepUntil(time.Duration(r.trace.MeasureFrom) + phase)
	end := r.start.Add(time.Duration(r.trace.MeasureTo))
	for time.Now().Before(end) && r.ctx.Err() == nil {
		out := map[string]bool{}
		r.anyScheduler().ReadStates(func(conf *applier.Config, _ *applier.Placement) {
			for _, d := range conf.DataCentres() {
				out[d.Name()] = d.Out()
			}
		})
		for _, d := range r.trace.DataCentres {
			f := r.fleets[d.Name]
			for _, name := range f.Names() {
				if w := f.Worker(name); w != nil {
					r.sampler.add(w.GroundTruth(), !out[d.Name], sampleInterval)
				}
			}
		}
		time.Sleep(sampleInterval)
	}
}

func (r *Replayer) applyEvent(e Event) error {
	switch e.Kind {
	case KindObjects:
		return r.applyObjects(e.Text)
	case KindCancel:
		for _, name := range e.Names {
			r.cancelled[name] = time.Now()
			delete(r.expectedTasks, name)
		}
		return r.submit(0, briarspring.CancelJobs{Names: e.Names})
	case KindTakeOut:
		return r.setOut(e.Target, true)
	case KindReturn:
		return r.setOut(e.Target, false)
	case KindKillWorker:
		r.killWorkers(func(name, _ string) bool { return name == e.Target })
	case KindKillRack:
		r.killWorkers(func(_, rack string) bool { return rack == e.Target })
	case KindOutage:
		r.log.SetFaults(imitator.LogFaults{Latency: logLatency, Down: true})
		time.AfterFunc(time.Duration(e.Length), func() { r.log.SetFaults(imitator.LogFaults{Latency: logLatency}) })
	case KindKillOwner:
		r.killOwner(e.Target)
	}
	return nil
}

// killWorkers removes the workers that match, as if their hosts had died.
func (r *Replayer) killWorkers(match func(name, rack string) bool) {
	for _, d := range r.trace.DataCentres {
		f := r.fleets[d.Name]
		for i, name := range f.Names() {
			if match(name, fmt.Sprintf("%s-r%d", d.Name, i/max(d.PerRack, 1))) {
				f.Worker(name).Close()
				f.Remove(name)
			}
		}
	}
}

func (r *Replayer) killOwner(dataCentre string) {
	for i := range schedulersPerDataCentre {
		name := fmt.Sprintf("%s-s%d", dataCentre, i)
		if r.schedulers[name].IsOwner() {
			r.cancels[name]()
			<-r.schedulers[name].Done()
			r.startScheduler(dataCentre, name)
			return
		}
	}
}

func (r *Replayer) applyObjects(text string) error {
	objects, err := declarer.Parse(r.trace.Name, []byte(text))
	if err != nil {
		return err
	}
	for _, o := range objects {
		var change briarspring.Change
		switch {
		case o.Service != nil:
			change = briarspring.PutService{Service: *o.Service}
		case o.Job != nil:
			change = briarspring.PutJob{Job: *o.Job}
			if !strings.Contains(o.Job.Command(), "open-ended") {
				r.expectedTasks[o.Job.Name()] = o.Job.Tasks()
			}
		default:
			change = briarspring.PutQuota{Quota: *o.Quota}
		}
		if err := r.submit(0, change); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replayer) submit(expected uint64, change briarspring.Change) error {
	r.requests++
	ctx, cancel := context.WithTimeout(r.ctx, submitTimeout)
	defer cancel()
	a, err := r.anyScheduler().Submit(ctx, briarspring.Command{
		RequestID: fmt.Sprintf("replay-%d", r.requests), ExpectedVersion: expected, Change: change,
	})
	if err != nil {
		return err
	}
	return a.Err
}

func (r *Replayer) setOut(dataCentre string, out bool) error {
	var version uint64
	r.anyScheduler().ReadStates(func(conf *applier.Config, _ *applier.Placement) { version = conf.DataCentre(dataCentre).Version() })
	if !out {
		list := r.outIntervals[dataCentre]
		list[len(list)-1].to = time.Now()
		return r.submit(version, briarspring.Return{DataCentre: dataCentre})
	}
	if err := r.submit(version, briarspring.TakeOut{DataCentre: dataCentre}); err != nil {
		return err
	}
	r.outIntervals[dataCentre] = append(r.outIntervals[dataCentre], interval{from: time.Now(), to: r.start.Add(time.Duration(r.trace.Length))})
	return nil
}

// computeMeasures computes the measures from the load samples and the workers'
// journal.
func (r *Replayer) computeMeasures() Measures {
	var m Measures
	r.sampler.setMeasures(&m)
	a := newJournalStats()
	for _, e := range r.journal.Entries() {
		a.add(e, &m)
		if e.Kind == imitator.JournalStart {
			r.checkStart(e, &m)
		}
	}
	for name, tasks := range r.expectedTasks {
		m.Unfinished += float64(max(int(tasks)-a.finished[name], 0))
	}
	if total := a.workDone + a.workLost; total > 0 {
		m.LostShare = a.workLost.Seconds() / total.Seconds()
	}
	return m
}

func (r *Replayer) checkStart(e imitator.JournalEntry, m *Measures) {
	dataCentre, _, _ := strings.Cut(e.Worker, "-w")
	for _, i := range r.outIntervals[dataCentre] {
		if e.Time.After(i.from.Add(startGracePeriod)) && e.Time.Before(i.to) {
			m.LateStarts++
		}
	}
	if at, ok := r.cancelled[e.Name]; ok && e.Time.After(at.Add(startGracePeriod)) {
		m.StartsAfterCancel++
	}
}
