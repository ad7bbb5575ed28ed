package scheduler_test

import (
	"fmt"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/imitator"
)

// perform carries out one action of a history.
func (h *history) perform(a action) {
	names := h.schedulerNames()
	name := names[a.Target%len(names)]
	dataCentre := historyDataCentres[a.Target%len(historyDataCentres)]
	fleet := h.fleets[dataCentre]
	workers := fleet.Names()
	switch a.Kind {
	case "kill-scheduler":
		h.gates[name].unblock()
		h.kill(name)
		h.startScheduler(name)
	case "stop-scheduler":
		go h.schedulers[name].Stop(h.schedulers[name].Done())
		h.advance(time.Second)
		h.gates[name].unblock()
		h.kill(name)
		h.startScheduler(name)
	case "freeze-scheduler":
		g := h.gates[name]
		g.block()
		h.after(a.Length, g.unblock)
	case "cut-log":
		h.injectLogFault(a.Length, func(f *imitator.LogFaults) { f.CutCallers = with(f.CutCallers, name) },
			func(f *imitator.LogFaults) { f.CutCallers = without(f.CutCallers, name) })
	case "log-outage":
		h.injectLogFault(a.Length, func(f *imitator.LogFaults) { f.Down = true }, func(f *imitator.LogFaults) { f.Down = false })
	case "log-slow":
		h.injectLogFault(a.Length, func(f *imitator.LogFaults) { f.Latency = 1500 * time.Millisecond },
			func(f *imitator.LogFaults) { f.Latency = 5 * time.Millisecond })
	case "lose-answers":
		h.injectLogFault(a.Length, func(f *imitator.LogFaults) { f.LoseAnswers = 0.5 }, func(f *imitator.LogFaults) { f.LoseAnswers = 0 })
	case "cut-workers":
		own := h.fleets[dataCentreOf(name)]
		injectFleetFault(h, own, a.Length, func(f *imitator.FleetFaults) { f.CutCallers = with(f.CutCallers, name) },
			func(f *imitator.FleetFaults) { f.CutCallers = without(f.CutCallers, name) })
	case "lose-worker-answers":
		injectFleetFault(h, fleet, a.Length, func(f *imitator.FleetFaults) { f.LoseAnswers = 0.4 },
			func(f *imitator.FleetFaults) { f.LoseAnswers = 0 })
	case "delay-calls":
		injectFleetFault(h, fleet, a.Length, func(f *imitator.FleetFaults) { f.DelayedCalls, f.Delay = 0.3, a.Length },
			func(f *imitator.FleetFaults) { f.DelayedCalls = 0 })
	case "cut-worker":
		w := workers[a.Target%len(workers)]
		injectFleetFault(h, fleet, a.Length, func(f *imitator.FleetFaults) { f.CutWorkers = with(f.CutWorkers, w) },
			func(f *imitator.FleetFaults) { f.CutWorkers = without(f.CutWorkers, w) })
	case "kill-worker":
		h.killWorker(dataCentre, workers[a.Target%len(workers)])
	case "restart-worker":
		w := workers[a.Target%len(workers)]
		fleet.Worker(w).Close()
		h.putWorker(dataCentre, w, dataCentre+"-r0", uint64(time.Now().UnixNano()))
	case "leave-worker":
		w := workers[a.Target%len(workers)]
		h.hosts.SetLeaving(w, true)
		h.after(a.Length, func() { h.hosts.SetLeaving(w, false) })
	case "take-out":
		h.takeOut(dataCentre, a.Length)
	case "cut-place-take-out":
		h.createJob(uint32(8 + a.Target))
		for _, name := range h.schedulersOf(dataCentre) {
			h.injectLogFault(a.Length, func(f *imitator.LogFaults) { f.CutCallers = with(f.CutCallers, name) },
				func(f *imitator.LogFaults) { f.CutCallers = without(f.CutCallers, name) })
		}
		h.takeOut(dataCentre, a.Length)
	case "freeze-place-take-out":
		h.createJob(uint32(8 + a.Target))
		for _, name := range h.schedulersOf(dataCentre) {
			g := h.gates[name]
			g.block()
			h.after(a.Length/2, g.unblock)
		}
		h.takeOut(dataCentre, a.Length)
	case "cancel-job":
		job := h.jobs[a.Target%len(h.jobs)]
		if _, ok := h.submitAny(0, briarspring.CancelJobs{Names: []string{job}}); ok {
			h.accepted[job] = false
		}
		h.accepted[job] = false
	case "create-job":
		h.createJob(uint32(1 + a.Target))
	case "resize-service":
		h.resize(uint32(1 + a.Target%8))
	case "urgent-service":
		h.services++
		s, _ := briarspring.NewService(briarspring.ServiceConfig{
			Name: fmt.Sprintf("urgent-%d", h.services), Team: "counter", Prefix: fmt.Sprintf("/urgent-%d/", h.services),
			Resources: cpu(12), Executors: 1, Slots: 8, Connections: 64, Command: "time=5ms",
		})
		h.submitAny(0, briarspring.PutService{Service: s})
	}
}

func (h *history) injectLogFault(d time.Duration, inject, remove func(*imitator.LogFaults)) {
	apply := func(f func(*imitator.LogFaults)) {
		faults := h.log.Faults()
		f(&faults)
		h.log.SetFaults(faults)
	}
	apply(inject)
	h.after(d, func() { apply(remove) })
}

func injectFleetFault(h *history, fleet *imitator.Fleet, d time.Duration, inject, remove func(*imitator.FleetFaults)) {
	apply := func(f func(*imitator.FleetFaults)) {
		faults := fleet.Faults()
		f(&faults)
		fleet.SetFaults(faults)
	}
	apply(inject)
	h.after(d, func() { apply(remove) })
}

// killWorker removes a worker for good; healFaults declares it lost at the end.
func (h *history) killWorker(dataCentre, name string) {
	fleet := h.fleets[dataCentre]
	if len(fleet.Names()) < 3 {
		return
	}
	fleet.Worker(name).Close()
	fleet.Remove(name)
	h.hosts.Remove(name)
	h.dead[name] = true
}

func (h *history) version(object func(conf *applier.Config) uint64) uint64 {
	var v uint64
	h.schedulers["tartu-s0"].ReadStates(func(conf *applier.Config, _ *applier.Placement) { v = object(conf) })
	return v
}

func (h *history) resize(executors uint32) {
	v := h.version(func(conf *applier.Config) uint64 {
		if w := conf.Service("ledger"); w != nil {
			return w.Version()
		}
		return 0
	})
	h.submitAny(v, ledger(h.t, executors))
}

func (h *history) dataCentreVersion(dataCentre string) uint64 {
	return h.version(func(conf *applier.Config) uint64 {
		if d := conf.DataCentre(dataCentre); d != nil {
			return d.Version()
		}
		return 0
	})
}

func (h *history) takeOut(dataCentre string, d time.Duration) {
	a, ok := h.submitAny(h.dataCentreVersion(dataCentre), briarspring.TakeOut{DataCentre: dataCentre})
	if !ok || a.Err != nil {
		return
	}
	out := span{from: time.Now()}
	h.advance(d)
	out.to = time.Now()
	h.takenOut[dataCentre] = append(h.takenOut[dataCentre], out)
	h.returnToService(dataCentre)
}

func (h *history) returnToService(dataCentre string) {
	for range 20 {
		a, ok := h.submitAny(h.dataCentreVersion(dataCentre), briarspring.Return{DataCentre: dataCentre})
		if ok && a.Err == nil {
			return
		}
		h.advance(time.Second)
	}
}
