package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/admitter"
	"briarspring/assembler"
	"briarspring/imitator"
	"briarspring/launcher"
	"briarspring/registrar"
)

const (
	storeLatency   = 5 * time.Millisecond
	orderLatency   = time.Millisecond
	poolLease      = 6 * time.Second // Longest lease that the stand-in's workers grant.
	hostMilliCPU   = 500
	hostStop       = 3 * time.Second
	finalRetention = 2 * time.Minute
	// interferenceRise is the rise of the tail latency for each core of
	// imageInterfering, as a fraction of the target.
	interferenceRise = 0.45
)

// workflows is the part of a system that runs workflows: hosts that coordinate
// through keyed streams, and their own pool of workers.
type workflows struct {
	store     *imitator.KeyedStore
	pool      *imitator.Pool
	publisher *imitator.EntryPublisher
	logger    hclog.Logger
	hosts     []*launcher.Launcher
	admitters []*admitter.Admitter
}

// newWorkflows builds the hosts of all data centres.
func newWorkflows(c Config, dataCentres []*DataCentre) (*workflows, error) {
	s := &workflows{
		store:  imitator.NewKeyedStore(1),
		logger: hclog.New(&hclog.LoggerOptions{Name: "workflows", Level: hclog.LevelFromString(c.LogLevel), Output: c.Logs}),
	}
	s.pool = imitator.NewPool(imitator.PoolConfig{Seed: 1, Latency: orderLatency, SimulateRun: s.planRun, Spec: s.findStep, Interference: s.interference})
	s.store.SetFaults(imitator.KeyedFaults{Latency: storeLatency})
	s.publisher = imitator.NewEntryPublisher(imitator.EntryPublisherConfig{Pool: s.pool, Store: s.store, Logger: s.logger})
	directory, err := imitator.DirectoryRecord(briarspring.Directory{Version: 1, Queues: c.Organisation.queues()})
	if err != nil {
		return nil, err
	}
	s.store.Put(briarspring.DirectoryStream, directory)
	for _, p := range dataCentres {
		for i := range c.Workers {
			s.pool.Add(poolWorker(p.Name, i))
		}
		for i := range c.EntryHosts {
			if err := s.addHost(c, p, i); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func poolWorker(dataCentre string, number int) briarspring.WorkerEntry {
	return briarspring.WorkerEntry{
		ID: fmt.Sprintf("%s-p%02d", dataCentre, number), Service: poolService, DataCentre: dataCentre,
		Rack: fmt.Sprintf("%s-r%d", dataCentre, number/workersPerRack),
		Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU: workerCores * briarspring.MilliCPUPerCore, MemoryMiB: workerMemory,
		}),
	}
}

func (s *workflows) addHost(c Config, p *DataCentre, number int) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	p.Hosts = append(p.Hosts, address)
	name := fmt.Sprintf("%s-host%d", p.Name, number)
	startedAt := time.Now()
	l, hostAdmitter := assembler.NewHostCore(assembler.HostConfig{
		Host: name, DataCentre: p.Name, DataCentres: c.Organisation.DataCentres, MilliCPU: hostMilliCPU, MaxLease: poolLease,
		StopTime: hostStop, FinalRetention: finalRetention, OperatorsAddr: address,
		Store: s.store.Client(name), Workers: s.pool.Client(name), Decoder: imitator.Decoder{},
		Now: func() time.Duration { return time.Since(startedAt) }, Logger: s.logger.Named(name),
	})
	s.hosts = append(s.hosts, l)
	s.admitters = append(s.admitters, hostAdmitter)
	return nil
}

// findStep returns the workflow and step of a task from the first host that knows
// the workflow.
func (s *workflows) findStep(t briarspring.TaskRef) (w *briarspring.Workflow, step *briarspring.Step) {
	for _, a := range s.admitters {
		a.ReadRegistry(func(r *registrar.Registry) {
			if e := r.Workflow(t.Workflow); e != nil {
				w = e.Workflow()
				step = &w.Steps[t.Step]
			}
		})
		if step != nil {
			return w, step
		}
	}
	return nil, nil
}

// planRun makes runs take as long as their step declares.
func (s *workflows) planRun(r briarspring.RunRef) (time.Duration, briarspring.RunEnd) {
	_, step := s.findStep(r.Task)
	if step == nil || step.LongRunning {
		return 0, briarspring.RunDone
	}
	return step.Estimate, briarspring.RunDone
}

// interference returns by how much one core of a best-effort image raises the tail
// latency of a serving image, as a fraction of the latter's target.
func (s *workflows) interference(serving, bestEffort string) float64 {
	if serving == imageServing && bestEffort == imageInterfering {
		return interferenceRise
	}
	return 0
}

// setOut takes a data centre out of service or returns it.
func (s *workflows) setOut(dataCentre string, out bool) {
	s.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(dataCentre, out))
}

// run runs the hosts until the context ends, and the publisher until they have
// stopped.
func (s *workflows) run(ctx context.Context) {
	var parts sync.WaitGroup
	publisherCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go s.publisher.Run(publisherCtx)
	for _, l := range s.hosts {
		parts.Go(func() { l.Run(ctx) })
	}
	parts.Wait()
	cancel()
	<-s.publisher.Done()
}
