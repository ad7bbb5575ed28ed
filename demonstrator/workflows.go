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
	storeLatency = 5 * time.Millisecond
	orderLatency = time.Millisecond
	poolLease    = 6 * time.Second // The longest that the stand-in's workers grant.
	hostMilliCPU = 500
	hostStop     = 3 * time.Second
	keepFinal    = 2 * time.Minute
	// pressRise is the rise of a tail for each core of the image that presses.
	pressRise = 0.45
)

// workflows is the part of a system that runs workflows: hosts that meet in
// keyed streams, and workers of their own.
type workflows struct {
	store   *imitator.KeyedStore
	pool    *imitator.Pool
	listing *imitator.Listing
	logger  hclog.Logger
	hosts   []*launcher.Launcher
	intakes []*admitter.Admitter
}

// newWorkflows builds the hosts of all data centres.
func newWorkflows(c Config, places []*Place) (*workflows, error) {
	s := &workflows{
		store:  imitator.NewKeyedStore(1),
		logger: hclog.New(&hclog.LoggerOptions{Name: "workflows", Level: hclog.LevelFromString(c.LogLevel), Output: c.Logs}),
	}
	s.pool = imitator.NewPool(imitator.PoolConfig{Seed: 1, Latency: orderLatency, Plan: s.plan, Spec: s.spec, Interference: s.press})
	s.store.SetFaults(imitator.KeyedFaults{Latency: storeLatency})
	s.listing = imitator.NewListing(imitator.ListingConfig{Pool: s.pool, Store: s.store, Logger: s.logger})
	directory, err := imitator.DirectoryRecord(briarspring.Directory{Version: 1, Queues: c.Firm.queues()})
	if err != nil {
		return nil, err
	}
	s.store.Put(briarspring.DirectoryStream, directory)
	for _, p := range places {
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

func (s *workflows) addHost(c Config, p *Place, number int) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	p.Hosts = append(p.Hosts, address)
	name := fmt.Sprintf("%s-host%d", p.Name, number)
	began := time.Now()
	l, intake := assembler.NewCore(assembler.HostConfig{
		Host: name, DataCentre: p.Name, DataCentres: c.Firm.DataCentres, MilliCPU: hostMilliCPU, MaxLease: poolLease,
		StopTime: hostStop, KeepFinal: keepFinal, OperatorsAddr: address,
		Store: s.store.For(name), Workers: s.pool.For(name), Decoder: imitator.Decoder{},
		Now: func() time.Duration { return time.Since(began) }, Logger: s.logger.Named(name),
	})
	s.hosts = append(s.hosts, l)
	s.intakes = append(s.intakes, intake)
	return nil
}

// spec returns the step of a task, as the first host knows it that does.
func (s *workflows) spec(t briarspring.TaskRef) (w *briarspring.Workflow, step *briarspring.Step) {
	for _, intake := range s.intakes {
		intake.View(func(r *registrar.Registry) {
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

// plan has runs take as long as their step declares.
func (s *workflows) plan(r briarspring.RunRef) (time.Duration, briarspring.RunEnd) {
	_, step := s.spec(r.Task)
	if step == nil || step.Lasting {
		return 0, briarspring.RunDone
	}
	return step.Estimate, briarspring.RunDone
}

// press returns how much an image really presses another one.
func (s *workflows) press(serving, filling string) float64 {
	if serving == imageServing && filling == imagePressing {
		return pressRise
	}
	return 0
}

// setOut takes a data centre out of service, or brings it back.
func (s *workflows) setOut(dataCentre string, out bool) {
	s.store.Put(briarspring.DirectoryStream, imitator.OutRecord(dataCentre, out))
}

// run works until the context ends.
func (s *workflows) run(ctx context.Context) {
	var parts sync.WaitGroup
	listingCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go s.listing.Run(listingCtx)
	for _, l := range s.hosts {
		parts.Go(func() { l.Run(ctx) })
	}
	parts.Wait()
	cancel()
	<-s.listing.Done()
}
