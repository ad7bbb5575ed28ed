package replayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/applier"
	"briarspring/declarer"
	"briarspring/imitator"
	"briarspring/placer"
	"briarspring/scheduler"
)

const (
	schedulersPerPlace = 2
	appendsPerSecond   = 300
	logLatency         = 5 * time.Millisecond
	hostsLag           = 500 * time.Millisecond
	checkpointTime     = 100 * time.Millisecond
	reportInterval     = time.Second
	sampleInterval     = 100 * time.Millisecond
	upLimit            = 20 * time.Second
	submitLimit        = 10 * time.Second
	drainBound         = 3 * time.Second
	workerCores        = 16
	workerMemory       = 60 * 1024
)

// Replayer is one replay of a trace under one rule of placement.
type Replayer struct {
	trace      Trace
	rule       placer.Rule
	logger     hclog.Logger
	log        *imitator.Log
	hosts      *imitator.Hosts
	journal    *imitator.Journal
	fleets     map[string]*imitator.Fleet
	schedulers map[string]*scheduler.Scheduler
	stops      map[string]context.CancelFunc
	ctx        context.Context
	begin      time.Time
	requests   int
	jobs       map[string]uint32 // Tasks of jobs that must finish.
	cancelled  map[string]time.Time
	out        map[string][]interval
	sampler    sampler
}

type interval struct{ from, to time.Time }

// New returns a replay; Run makes it.
func New(t Trace, rule placer.Rule, logger hclog.Logger) *Replayer {
	r := &Replayer{
		trace: t, rule: rule, logger: logger,
		log:   imitator.NewLog(imitator.LogConfig{AppendsPerSecond: appendsPerSecond, Seed: t.Seed}),
		hosts: imitator.NewHosts(hostsLag), journal: &imitator.Journal{},
		fleets: map[string]*imitator.Fleet{}, schedulers: map[string]*scheduler.Scheduler{},
		stops: map[string]context.CancelFunc{}, jobs: map[string]uint32{},
		cancelled: map[string]time.Time{}, out: map[string][]interval{},
	}
	r.log.SetFaults(imitator.LogFaults{Latency: logLatency})
	return r
}

// Run replays the trace and returns what was measured.
func (r *Replayer) Run(ctx context.Context) (Measures, error) {
	ctx, cancel := context.WithCancel(ctx)
	r.ctx = ctx
	defer r.close(cancel)
	for _, d := range r.trace.DataCentres {
		r.addPlace(d)
	}
	if err := r.waitUntilUp(); err != nil {
		return Measures{}, err
	}
	r.begin = time.Now()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		r.sample()
	}()
	for _, e := range r.trace.Events {
		r.sleepUntil(time.Duration(e.At))
		if err := r.do(e); err != nil {
			cancel()
			<-sampled
			return Measures{}, fmt.Errorf("at %s: %s: %w", time.Duration(e.At), e.Kind, err)
		}
	}
	r.sleepUntil(time.Duration(r.trace.Length))
	<-sampled
	return r.measure(), nil
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

func (r *Replayer) sleepUntil(at time.Duration) { time.Sleep(time.Until(r.begin.Add(at))) }

func (r *Replayer) addPlace(d DataCentre) {
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
	for i := range schedulersPerPlace {
		r.startScheduler(d.Name, fmt.Sprintf("%s-s%d", d.Name, i))
	}
}

func (r *Replayer) startScheduler(place, name string) {
	s := scheduler.New(scheduler.Config{
		Name: name, DataCentre: place, Log: r.log.Client(name), Workers: r.fleets[place].Client(name),
		Hosts: r.hosts, Logger: r.logger, Rule: r.rule,
	})
	ctx, cancel := context.WithCancel(r.ctx)
	r.schedulers[name] = s
	r.stops[name] = cancel
	go s.Run(ctx)
}

// any returns a scheduler of a data centre.
func (r *Replayer) any() *scheduler.Scheduler {
	return r.schedulers[r.trace.DataCentres[0].Name+"-s0"]
}

func (r *Replayer) waitUntilUp() error {
	for end := time.Now().Add(upLimit); time.Now().Before(end); time.Sleep(sampleInterval) {
		up := true
		r.any().View(func(conf *applier.Config, _ *applier.Placement) {
			for _, d := range r.trace.DataCentres {
				c := conf.DataCentre(d.Name)
				up = up && c != nil && int(c.Summary().Workers) == d.Workers
			}
		})
		if up {
			return nil
		}
	}
	return fmt.Errorf("the data centres did not come up within %s", upLimit)
}

// sample looks at the workers while the trace measures.
func (r *Replayer) sample() {
	r.sleepUntil(time.Duration(r.trace.MeasureFrom))
	end := r.begin.Add(time.Duration(r.trace.MeasureTo))
	for time.Now().Before(end) && r.ctx.Err() == nil {
		out := map[string]bool{}
		r.any().View(func(conf *applier.Config, _ *applier.Placement) {
			for _, d := range conf.DataCentres() {
				out[d.Name()] = d.Out()
			}
		})
		for _, d := range r.trace.DataCentres {
			f := r.fleets[d.Name]
			for _, name := range f.Names() {
				if w := f.Worker(name); w != nil {
					r.sampler.take(w.GroundTruth(), !out[d.Name], sampleInterval)
				}
			}
		}
		time.Sleep(sampleInterval)
	}
}

func (r *Replayer) do(e Event) error {
	switch e.Kind {
	case KindObjects:
		return r.apply(e.Text)
	case KindCancel:
		for _, name := range e.Names {
			r.cancelled[name] = time.Now()
			delete(r.jobs, name)
		}
		return r.submit(0, briarspring.CancelJobs{Names: e.Names})
	case KindTakeOut:
		return r.setOut(e.Target, true)
	case KindReturn:
		return r.setOut(e.Target, false)
	case KindKillWorker:
		r.kill(func(name, _ string) bool { return name == e.Target })
	case KindKillRack:
		r.kill(func(_, rack string) bool { return rack == e.Target })
	case KindOutage:
		r.log.SetFaults(imitator.LogFaults{Latency: logLatency, Down: true})
		time.AfterFunc(time.Duration(e.Length), func() { r.log.SetFaults(imitator.LogFaults{Latency: logLatency}) })
	case KindKillOwner:
		r.killOwner(e.Target)
	}
	return nil
}

// kill ends the workers that match, as hosts that die.
func (r *Replayer) kill(match func(name, rack string) bool) {
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

func (r *Replayer) killOwner(place string) {
	for i := range schedulersPerPlace {
		name := fmt.Sprintf("%s-s%d", place, i)
		if r.schedulers[name].Owner() {
			r.stops[name]()
			<-r.schedulers[name].Done()
			r.startScheduler(place, name)
			return
		}
	}
}

func (r *Replayer) apply(text string) error {
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
				r.jobs[o.Job.Name()] = o.Job.Tasks()
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
	ctx, cancel := context.WithTimeout(r.ctx, submitLimit)
	defer cancel()
	a, err := r.any().Submit(ctx, briarspring.Command{
		RequestID: fmt.Sprintf("replay-%d", r.requests), ExpectedVersion: expected, Change: change,
	})
	if err != nil {
		return err
	}
	return a.Err
}

func (r *Replayer) setOut(place string, out bool) error {
	var version uint64
	r.any().View(func(conf *applier.Config, _ *applier.Placement) { version = conf.DataCentre(place).Version() })
	if !out {
		list := r.out[place]
		list[len(list)-1].to = time.Now()
		return r.submit(version, briarspring.Return{DataCentre: place})
	}
	if err := r.submit(version, briarspring.TakeOut{DataCentre: place}); err != nil {
		return err
	}
	r.out[place] = append(r.out[place], interval{from: time.Now(), to: r.begin.Add(time.Duration(r.trace.Length))})
	return nil
}

// measure goes through the workers' own account.
func (r *Replayer) measure() Measures {
	var m Measures
	r.sampler.fill(&m)
	a := newAccount()
	for _, e := range r.journal.Entries() {
		a.take(e, &m)
		if e.Kind == imitator.JournalStart {
			r.checkStart(e, &m)
		}
	}
	for name, tasks := range r.jobs {
		m.Unfinished += float64(max(int(tasks)-a.done[name], 0))
	}
	if total := a.workDone + a.workLost; total > 0 {
		m.LostShare = a.workLost.Seconds() / total.Seconds()
	}
	return m
}

func (r *Replayer) checkStart(e imitator.JournalEntry, m *Measures) {
	place, _, _ := strings.Cut(e.Worker, "-w")
	for _, i := range r.out[place] {
		if e.Time.After(i.from.Add(drainBound)) && e.Time.Before(i.to) {
			m.LateStarts++
		}
	}
	if at, ok := r.cancelled[e.Name]; ok && e.Time.After(at.Add(drainBound)) {
		m.StartsAfterCut++
	}
}
