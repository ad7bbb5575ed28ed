package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"briarspring"
	"briarspring/forwarder"
	"briarspring/generator"
	"briarspring/imitator"
	"briarspring/router"
)

type routeCmd struct {
	Folder   string        `help:"Folder for the table and the plot." default:"docs/measurements"`
	Duration time.Duration `help:"Length of each case." default:"6s"`
}

const (
	routeExecutors = 10
	routeSlots     = 8
	routeWorkTime  = 100 * time.Millisecond
	routeCommand   = "time=100ms vary=0.5"
	routeTimeout   = 5 * time.Second
	routeSlowdown  = 5
	routeHangTime  = 1500 * time.Millisecond
	routeHangShare = 0.01
)

var routeRules = []router.Rule{router.RuleWeighted, router.RuleLeast, router.RuleRandom}

// routeCase is one condition under which the rules are compared.
type routeCase struct {
	name   string
	load   float64 // Fraction of the slots' capacity.
	slow   bool    // One of ten executors works five times slower.
	faults imitator.ExecutorFaults
}

// Run measures every rule in every case. The rules run concurrently, each in its
// own gateway with a third of the slots of the same executors.
func (c *routeCmd) Run() error {
	rig, err := newRouteRig()
	if err != nil {
		return err
	}
	defer rig.close()
	cases := []routeCase{
		{name: "30 percent", load: 0.3}, {name: "60 percent", load: 0.6}, {name: "85 percent", load: 0.85},
		{name: "60 percent, one slow", load: 0.6, slow: true},
		{name: "60 percent, 1 in 100 hangs", load: 0.6, faults: imitator.ExecutorFaults{Hang: routeHangTime, HangShare: routeHangShare}},
		{name: "capacity", load: 1}, {name: "twice capacity", load: 2},
	}
	var b strings.Builder
	b.WriteString("# Routing rules compared\n\nMade by `briarload route`: three gateways, one for each rule, share ten executors of 8 slots (100 ms of work,\n" +
		"half of it exponentially distributed) in one run, open loop, latency from the scheduled arrival.\n\n" +
		"| case | rule | sent | served | refused | p50 | p99 | p99.9 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	values := make([]plotter.Values, len(routeRules))
	var labels []string
	for i, k := range cases {
		results := rig.run(k, c.Duration, i)
		labels = append(labels, k.name)
		for n, r := range results {
			fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %s | %s | %s |\n", k.name, r.Name, r.Sent, r.Served, r.NotRun,
				round(r.Quantile(50)), round(r.Quantile(99)), round(r.Quantile(99.9)))
			values[n] = append(values[n], float64(r.Quantile(99).Milliseconds()))
		}
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Folder, "routing.md"), []byte(b.String()), 0o600); err != nil {
		return err
	}
	var series []string
	for _, rule := range routeRules {
		series = append(series, string(rule))
	}
	return drawBars(filepath.Join(c.Folder, "routing-p99.svg"), "p99 in ms", labels, series, values)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// routeRig holds the gateways and executors of the comparison.
type routeRig struct {
	worker    *imitator.Worker
	executors []string
	gateways  []*httptest.Server
}

func newRouteRig() (*routeRig, error) {
	rig := &routeRig{worker: imitator.NewWorker(imitator.WorkerConfig{
		Name: "w0", Incarnation: 1, Capacity: resourcesForCores(64), Serve: true, Address: "127.0.0.1",
	})}
	update, err := rig.startExecutors()
	if err != nil {
		return nil, err
	}
	for index, rule := range routeRules {
		f := forwarder.New(forwarder.Config{
			Router:         router.Config{Rule: rule, GatewayIndex: index, GatewayCount: len(routeRules), QueueLength: 256, Seed: 1},
			DefaultTimeout: routeTimeout, MaxTimeout: routeTimeout, MaxBody: 1 << 20, RetryShare: 0.1,
		})
		f.Apply(update)
		rig.gateways = append(rig.gateways, httptest.NewServer(f))
	}
	return rig, nil
}

// startExecutors starts the executors and returns the update that announces them
// to the gateways.
func (r *routeRig) startExecutors() (forwarder.Update, error) {
	const lease = time.Hour
	e := briarspring.Exchange{Worker: "w0", Epoch: 1, Incarnation: 1, LeaseUntil: lease}
	for i := range uint32(routeExecutors) {
		e.Starts = append(e.Starts, briarspring.StartTask{
			Attempt: attempt(1, i, 1), NotAfter: lease, Name: "ledger", Command: routeCommand, Resources: resourcesForCores(1),
			Service: true, Slots: routeSlots, Connections: 64,
		})
	}
	u := forwarder.Update{Snapshot: true, Services: []forwarder.Service{{Name: "ledger", Team: "t", Prefix: "/ledger/"}}}
	for _, t := range r.worker.Exchange(context.Background(), e).Tasks {
		if t.Address == "" {
			return u, fmt.Errorf("executor %s did not start", t.Attempt)
		}
		r.executors = append(r.executors, t.Address)
		u.Executors = append(u.Executors, router.Executor{
			ID: t.Attempt.String(), Service: "ledger", Address: t.Address, Number: t.Attempt.Task.Index,
			Slots: routeSlots, Connections: 64,
		})
	}
	return u, nil
}

func (r *routeRig) close() {
	for _, g := range r.gateways {
		g.CloseClientConnections()
		g.Close()
	}
	r.worker.Close()
}

// run measures one case.
func (r *routeRig) run(k routeCase, d time.Duration, seed int) []*generator.Result {
	imitator.SetExecutorFaults("", k.faults)
	if k.slow {
		imitator.SetExecutorFaults(r.executors[0], imitator.ExecutorFaults{SlowFactor: routeSlowdown})
	}
	var arms []generator.Arm
	for i, rule := range routeRules {
		arms = append(arms, generator.Arm{Name: string(rule), Addresses: []string{strings.TrimPrefix(r.gateways[i].URL, "http://")}})
	}
	capacity := float64(routeExecutors*routeSlots) / routeWorkTime.Seconds()
	return generator.Run(context.Background(), generator.Config{
		Arms: arms, Rate: k.load * capacity / float64(len(arms)), Duration: d, Path: "/ledger/read",
		Timeout: routeTimeout, Body: "x", Prefix: fmt.Sprintf("case-%d", seed), Seed: uint64(seed),
	})
}
