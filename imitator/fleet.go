package imitator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// FleetFaults are the faults that can be injected between callers and the
// workers of a Fleet.
type FleetFaults struct {
	Latency      time.Duration // Before a call reaches the worker.
	LoseAnswers  float64       // Share of calls that are carried out and whose answer is lost.
	CutWorkers   []string      // Workers that no caller reaches.
	CutCallers   []string      // Callers that reach no worker.
	DelayedCalls float64       // Share of calls that arrive after Delay, when the caller has given up.
	Delay        time.Duration // How late delayed calls arrive.
}

// Fleet is a group of workers that share one control port.
type Fleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	workers map[string]*Worker
	faults  FleetFaults
}

// NewFleet returns a group without workers.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{random: rand.New(rand.NewPCG(seed, seed)), workers: map[string]*Worker{}}
}

// Put adds a worker or replaces the one of that name.
func (f *Fleet) Put(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[w.Name()] = w
}

// Remove removes a worker, as if its host had disappeared.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, name)
}

// Worker returns the worker of that name, or nil.
func (f *Fleet) Worker(name string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name]
}

// Names returns the sorted names of all workers.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// SetFaults replaces the injected faults.
func (f *Fleet) SetFaults(faults FleetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Faults returns the injected faults.
func (f *Fleet) Faults() FleetFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Exchange sends commands to a worker as the named caller and returns its report.
func (f *Fleet) Exchange(ctx context.Context, caller string, e briarspring.Exchange) (briarspring.WorkerReport, error) {
	f.mu.Lock()
	faults := f.faults
	delayed := f.random.Float64() < faults.DelayedCalls
	lost := f.random.Float64() < faults.LoseAnswers
	f.mu.Unlock()
	if delayed {
		time.AfterFunc(faults.Delay, func() {
			if w := f.Worker(e.Worker); w != nil {
				e.Wait = 0
				w.Exchange(context.Background(), e)
			}
		})
		<-ctx.Done()
		return briarspring.WorkerReport{}, ctx.Err()
	}
	if err := sleeper.For(ctx, faults.Latency); err != nil {
		return briarspring.WorkerReport{}, err
	}
	if slices.Contains(faults.CutWorkers, e.Worker) || slices.Contains(faults.CutCallers, caller) {
		<-ctx.Done()
		return briarspring.WorkerReport{}, ctx.Err()
	}
	w := f.Worker(e.Worker)
	if w == nil {
		return briarspring.WorkerReport{}, fmt.Errorf("worker %s does not exist", e.Worker)
	}
	report := w.Exchange(ctx, e)
	if lost {
		return briarspring.WorkerReport{}, &LostAnswerError{Part: "worker " + e.Worker}
	}
	return report, nil
}

// FleetClient is one caller's access to the workers of a Fleet.
type FleetClient struct {
	fleet  *Fleet
	caller string
}

// Client returns the named caller's access to the workers.
func (f *Fleet) Client(caller string) *FleetClient { return &FleetClient{fleet: f, caller: caller} }

// Exchange sends commands to a worker and returns its report. The address is
// not used.
func (c *FleetClient) Exchange(ctx context.Context, _ string, e briarspring.Exchange) (briarspring.WorkerReport, error) {
	return c.fleet.Exchange(ctx, c.caller, e)
}

// LogClient is one caller's access to a Log.
type LogClient struct {
	log    *Log
	caller string
}

// Client returns the named caller's access to the log.
func (l *Log) Client(caller string) *LogClient { return &LogClient{log: l, caller: caller} }

func (c *LogClient) checkConnection() error {
	if slices.Contains(c.log.Faults().CutCallers, c.caller) {
		return &OutageError{Part: "the connection from " + c.caller + " to the log"}
	}
	return nil
}

// Append appends a record and returns its offset.
func (c *LogClient) Append(ctx context.Context, name string, record []byte) (uint64, error) {
	if err := c.checkConnection(); err != nil {
		return 0, err
	}
	return c.log.Append(ctx, name, record)
}

// Read returns up to limit records starting at an offset. It waits up to wait
// for the first one.
func (c *LogClient) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	if err := c.checkConnection(); err != nil {
		return briarspring.LogPage{}, err
	}
	return c.log.Read(ctx, name, from, limit, wait)
}
