package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	"briarspring/imitator"
	"briarspring/placer"
	"briarspring/router"
	"briarspring/scheduler"
)

type capacityCmd struct {
	Starts      time.Duration `help:"Duration of the measurement of task starts through a rate-limited log." default:"8s"`
	DataCentres int           `help:"Data centres in that measurement." default:"11"`
	Workers     int           `help:"Workers of each data centre in that measurement." default:"27"`
	Profile     bool          `help:"Only measure task starts, for profiling." hidden:""`
}

// Sizes that docs/CAPACITY.md is calculated for.
const (
	sizeWorkers  = 3200
	sizeTasks    = 80400
	batchEvents  = 100
	applyRecords = 20000
	reportTasks  = 25
)

// Run prints the inputs of docs/CAPACITY.md as measured on this machine.
func (c *capacityCmd) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "machine\t%s, %d cores, %s\n", runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	steps := []func(*tabwriter.Writer) error{
		measureApply, measureState, measureSnapshot, measureBytes, measurePlacer, measureRouter, c.measureStarts,
	}
	if c.Profile {
		steps = steps[len(steps)-1:]
	}
	for _, step := range steps {
		if err := step(w); err != nil {
			return err
		}
		w.Flush()
	}
	return nil
}

// placementStream applies batches to a placement state.
type placementStream struct {
	place    *applier.Placement
	sequence uint64
	writer   briarspring.Writer
}

func newStream(workers int) *placementStream {
	s := &placementStream{place: applier.NewPlacement(), writer: briarspring.Writer{Name: "host0", Incarnation: 1}}
	s.apply(briarspring.Claim{})
	for i := range workers {
		s.apply(briarspring.WorkerJoin{
			Name: fmt.Sprintf("tartu-w%04d", i), Incarnation: 1, Rack: fmt.Sprintf("r%d", i/8), Capacity: resourcesForCores(64),
		})
	}
	return s
}

func resourcesForCores(cores int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: cores * 1000, MemoryMiB: cores * 3840})
}

func (s *placementStream) record(events ...briarspring.Event) briarspring.Record {
	s.sequence++
	return briarspring.Record{Writer: s.writer, Sequence: s.sequence, Body: briarspring.Batch{Epoch: 1, Events: events}}
}

func (s *placementStream) apply(events ...briarspring.Event) {
	s.place.Apply(s.place.Applied()+1, s.record(events...))
}

func (s *placementStream) adopt(workload briarspring.WorkloadID, tasks uint32, cores int64) {
	s.apply(briarspring.Adopt{
		Workload: workload, Offset: uint64(workload), Resources: resourcesForCores(cores), MaxTries: 3, End: tasks, Seen: uint64(workload),
	})
}

func attempt(workload briarspring.WorkloadID, index, n uint32) briarspring.AttemptID {
	return briarspring.AttemptID{Task: briarspring.TaskID{Workload: workload, Index: index}, Attempt: n}
}

// measureApply measures how fast one core decodes and applies start and end
// records.
func measureApply(w *tabwriter.Writer) error {
	s := newStream(300)
	s.adopt(7, applyRecords*2, 1)
	var encoded [][]byte
	for i := range uint32(applyRecords) {
		start := briarspring.Start{Attempt: attempt(7, i, 1), Worker: 1 + i%300}
		end := briarspring.End{Attempt: attempt(7, i, 1), Reason: briarspring.EndDone}
		for _, e := range []briarspring.Event{start, end} {
			data, err := encoder.EncodeRecord(s.record(e))
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
		}
	}
	begin := time.Now()
	for _, data := range encoded {
		r, err := encoder.DecodeRecord(data)
		if err != nil {
			return err
		}
		s.place.Apply(s.place.Applied()+1, r)
	}
	took := time.Since(begin)
	if s.place.Counts().Ends != applyRecords {
		return fmt.Errorf("%d of %d attempts ended", s.place.Counts().Ends, applyRecords)
	}
	fmt.Fprintf(w, "records decoded and applied on one core\t%.0f/s\n", float64(len(encoded))/took.Seconds())
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newLoadedStream returns a stream with tasks spread evenly over the workers.
func newLoadedStream(workers, tasks int) *placementStream {
	s := newStream(workers)
	s.adopt(7, uint32(tasks), 1)
	for i := 0; i < tasks; i += batchEvents {
		var events []briarspring.Event
		for k := i; k < min(i+batchEvents, tasks); k++ {
			events = append(events, briarspring.Start{Attempt: attempt(7, uint32(k), 1), Worker: uint32(1 + k%workers)})
		}
		s.apply(events...)
	}
	return s
}

// measureState measures the memory of the state at two sizes; the difference
// gives the cost of each worker and task.
func measureState(w *tabwriter.Writer) error {
	for _, n := range []struct{ workers, tasks int }{{300, 7500}, {sizeWorkers, sizeTasks}} {
		before := heapBytes()
		idle := newLoadedStream(n.workers, 0)
		empty := heapBytes()
		busy := newLoadedStream(n.workers, n.tasks)
		full := heapBytes()
		runtime.KeepAlive(idle)
		runtime.KeepAlive(busy)
		perWorker := (empty - before) / int64(n.workers)
		perTask := (full - empty - (empty - before)) / int64(n.tasks)
		fmt.Fprintf(w, "state of %d workers, %d tasks\t%.1f MB, %d B a worker, %d B a task\n", n.workers, n.tasks,
			float64(full-empty)/1e6, perWorker, perTask)
	}
	return nil
}

func measureSnapshot(w *tabwriter.Writer) error {
	s := newLoadedStream(sizeWorkers, sizeTasks)
	begin := time.Now()
	data, err := s.place.Snapshot()
	if err != nil {
		return err
	}
	took := time.Since(begin)
	begin = time.Now()
	if _, err := applier.RestorePlacement(data); err != nil {
		return err
	}
	fmt.Fprintf(w, "snapshot of %d tasks\t%.2f MB, made in %s, restored in %s\n", sizeTasks,
		float64(len(data))/1e6, took.Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
	return nil
}

// measureBytes measures the size of the messages that grow with the fleet.
func measureBytes(w *tabwriter.Writer) error {
	s := newStream(1)
	events := map[string]func(i uint32) briarspring.Event{
		"start": func(i uint32) briarspring.Event {
			return briarspring.Start{Attempt: attempt(5000000, 50000+i, 2), Worker: 200}
		},
		"end": func(i uint32) briarspring.Event {
			return briarspring.End{Attempt: attempt(5000000, 50000+i, 2), Reason: briarspring.EndDone}
		},
	}
	for _, name := range []string{"start", "end"} {
		var batch []briarspring.Event
		for i := range uint32(batchEvents) {
			batch = append(batch, events[name](i))
		}
		data, err := encoder.EncodeRecord(s.record(batch...))
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "bytes of a %s in a batch of %d\t%.1f\n", name, batchEvents, float64(len(data))/batchEvents)
	}
	var tasks []briarspring.TaskReport
	var usage []briarspring.Usage
	for i := range uint32(reportTasks) {
		a := attempt(5000000, 50000+i, 2)
		tasks = append(tasks, briarspring.TaskReport{Attempt: a, Phase: briarspring.TaskRunning})
		usage = append(usage, briarspring.Usage{Attempt: a, Taken: 90 * 24 * time.Hour, MilliCPU: 1500, MemoryMiB: 2000})
	}
	full := briarspring.WorkerReport{
		Clock: 90 * 24 * time.Hour, Incarnation: 1 << 60, Epoch: 99, LeaseUntil: 90 * 24 * time.Hour, Rack: "tartu-r3",
		Capacity: resourcesForCores(16), Tasks: tasks, Usage: usage, Version: 1 << 20,
	}
	change := full
	change.Tasks = tasks[:1]
	idle := change
	idle.Tasks, idle.Usage = nil, nil
	request := encoder.EncodeExchange(briarspring.Exchange{
		Worker: "tartu-w0123", Epoch: 99, LeaseUntil: 90 * 24 * time.Hour, Incarnation: 1 << 60, Wait: time.Second, Seen: 1 << 20,
	})
	fmt.Fprintf(w, "bytes of an exchange with a worker of %d tasks\trequest %d, whole report %d, a change %d, no change and no usage %d (without HTTP headers)\n",
		reportTasks, proto.Size(request), proto.Size(encoder.EncodeWorkerReport(full)),
		proto.Size(encoder.EncodeWorkerReport(change)), proto.Size(encoder.EncodeWorkerReport(idle)))
	return nil
}

// measurePlacer measures placement decisions per second on one core.
func measurePlacer(w *tabwriter.Writer) error {
	for _, workers := range []int{300, sizeWorkers} {
		p := placer.New(placer.Config{MaxRejected: 3, MaxSlowdown: 0.2})
		decisions := 0
		begin := time.Now()
		for time.Since(begin) < time.Second {
			round := p.NewRound(placerWorkers(workers))
			for i := range uint32(500) {
				round.Place(placer.Task{
					State: briarspring.TaskState{Index: i}, Workload: 9, Name: "index", Class: "index", Resources: resourcesForCores(1), Weight: 5,
				})
			}
			decisions += 500
		}
		fmt.Fprintf(w, "placement decisions at %d workers on one core\t%.0f/s\n", workers,
			float64(decisions)/time.Since(begin).Seconds())
	}
	return nil
}

func placerWorkers(workers int) []*placer.Worker {
	list := make([]*placer.Worker, 0, workers)
	for i := range workers {
		v := &placer.Worker{
			Number: uint32(i + 1), Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8),
			Free: resourcesForCores(int64(4 + i%5)), FreeAfterEvictions: resourcesForCores(8), Size: resourcesForCores(16), Usable: true,
		}
		for k := range uint32(2) {
			v.Running = append(v.Running, placer.Running{Attempt: attempt(3, uint32(i)*2+k, 1), Service: "ledger", Resources: resourcesForCores(2)})
		}
		list = append(list, v)
	}
	return list
}

// measureRouter measures routing decisions per second on one core.
func measureRouter(w *tabwriter.Writer) error {
	r := router.New(router.Config{GatewayCount: 3, QueueLength: 100})
	for i := range 65 {
		r.Put(router.Executor{
			ID: fmt.Sprintf("prices/%d#1", i), Service: "prices", Address: "127.0.0.1:1", Number: uint32(i), Slots: 8, Connections: 64,
		})
	}
	now := time.Now()
	decisions := 0
	begin := time.Now()
	for time.Since(begin) < time.Second {
		for range 1000 {
			a, _ := r.Submit(router.Request{ID: "r", Service: "prices", Deadline: now.Add(time.Hour)}, now)
			r.RecordResult(*a, router.ResultServed, now.Add(10*time.Millisecond))
			r.Release(*a, now.Add(10*time.Millisecond))
			decisions++
		}
	}
	fmt.Fprintf(w, "routing decisions over 65 executors on one core\t%.0f/s\n", float64(decisions)/time.Since(begin).Seconds())
	return nil
}

// measureStarts measures task starts per second. The schedulers of all data
// centres run short tasks through one log that accepts 300 appends/s with a
// latency of 5 ms.
func (c *capacityCmd) measureStarts(w *tabwriter.Writer) error {
	log := imitator.NewLog(imitator.LogConfig{AppendsPerSecond: 300})
	log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond})
	hosts := imitator.NewHosts(0)
	journal := &imitator.Journal{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var schedulers []*scheduler.Scheduler
	for d := range c.DataCentres {
		name := fmt.Sprintf("dc%02d", d)
		fleet := imitator.NewFleet(1)
		for i := range c.Workers {
			worker := fmt.Sprintf("%s-w%02d", name, i)
			fleet.Put(imitator.NewWorker(imitator.WorkerConfig{Name: worker, Incarnation: 1, Capacity: resourcesForCores(16), Journal: journal}))
			hosts.Put(briarspring.Host{Name: worker, DataCentre: name, Address: worker})
		}
		s := scheduler.New(scheduler.Config{
			Name: name + "-s0", DataCentre: name, Log: log, Workers: fleet.Client(name), Hosts: hosts,
		})
		schedulers = append(schedulers, s)
		go s.Run(ctx)
	}
	defer func() {
		cancel()
		for _, s := range schedulers {
			<-s.Done()
		}
	}()
	if err := c.submitShortJobs(ctx, schedulers); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // Wait for a steady state.
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	begin, appends, cpu := time.Now(), log.Appends(), processorTime()
	first := briarspring.PlacementStream("dc00")
	confBytes, placeBytes := log.Bytes(briarspring.ConfigStream), log.Bytes(first)
	time.Sleep(c.Starts)
	took := time.Since(begin)
	starts, waits := c.countStarts(journal, begin)
	fmt.Fprintf(w, "starts through a log of 300 appends/s, 5 ms, %d data centres, %d workers\t%.0f/s with %.0f appends/s, %.2f cores\n",
		c.DataCentres, c.DataCentres*c.Workers, float64(starts)/took.Seconds(), float64(log.Appends()-appends)/took.Seconds(),
		(processorTime()-cpu).Seconds()/took.Seconds())
	fmt.Fprintf(w, "bytes appended meanwhile\tconfig %.0f/s, one data centre's placement %.0f/s\n",
		float64(log.Bytes(briarspring.ConfigStream)-confBytes)/took.Seconds(), float64(log.Bytes(first)-placeBytes)/took.Seconds())
	if len(waits) > 0 {
		slices.Sort(waits)
		fmt.Fprintf(w, "time from a worker's slot being free to its next start\tp50 %s, p99 %s\n",
			waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond))
	}
	return nil
}

const shortJobTasks = 40000

// submitShortJobs creates jobs of short tasks once every data centre has all its
// workers.
func (c *capacityCmd) submitShortJobs(ctx context.Context, schedulers []*scheduler.Scheduler) error {
	s := schedulers[0]
	for ready := false; !ready; time.Sleep(100 * time.Millisecond) {
		s.ReadStates(func(conf *applier.Config, _ *applier.Placement) {
			ready = len(conf.DataCentres()) == c.DataCentres
			for _, d := range conf.DataCentres() {
				ready = ready && int(d.Summary().Workers) == c.Workers
			}
		})
	}
	for i := range 2 {
		j, err := briarspring.NewJob(briarspring.JobConfig{
			Name: fmt.Sprintf("short-%d", i), Team: "load", Class: "short", Tasks: shortJobTasks, Resources: resourcesForCores(2), Weight: 1,
			RunTime: time.Second, Command: "time=900ms", MaxTries: 3,
		})
		if err != nil {
			return err
		}
		a, err := s.Submit(ctx, briarspring.Command{RequestID: fmt.Sprint(i), Change: briarspring.PutJob{Job: j}})
		if err != nil {
			return err
		}
		if a.Err != nil {
			return a.Err
		}
	}
	return nil
}

// countStarts returns the number of starts since a time, and how long each freed
// slot stayed empty until its next start.
func (c *capacityCmd) countStarts(j *imitator.Journal, since time.Time) (starts int, waits []time.Duration) {
	free := map[string][]time.Time{}
	for _, e := range j.Entries() {
		switch e.Kind {
		case imitator.JournalDone:
			free[e.Worker] = append(free[e.Worker], e.Time)
		case imitator.JournalStart:
			if e.Time.Before(since) {
				if len(free[e.Worker]) > 0 {
					free[e.Worker] = free[e.Worker][1:]
				}
				continue
			}
			starts++
			if list := free[e.Worker]; len(list) > 0 {
				waits = append(waits, e.Time.Sub(list[0]))
				free[e.Worker] = list[1:]
			}
		}
	}
	return starts, waits
}
