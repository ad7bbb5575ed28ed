package scheduler

import (
	"context"
	"slices"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

const hostsCallTimeout = 2 * time.Second

// pollHosts polls the platform's list of hosts until the context ends.
func (s *Scheduler) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, hostsCallTimeout)
		hosts, err := s.config.Hosts.Hosts(callCtx, s.config.DataCentre)
		cancel()
		s.locked(func() { s.updateHosts(hosts, err) })
		_ = sleeper.For(ctx, s.config.HostsInterval)
	}
}

// updateHosts applies a new list of hosts. A host missing from it is kept while
// its worker may still run tasks.
func (s *Scheduler) updateHosts(hosts []briarspring.Host, err error) {
	if err != nil {
		if !s.hostsFailing {
			s.logger.Warn("list of hosts can't be read", "error", err)
		}
		s.hostsFailing = true
		return
	}
	s.hostsFailing = false
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		s.updateHost(h)
	}
	for _, w := range s.placement.Workers() {
		if !w.Gone() && s.agents[w.Name()] == nil {
			s.updateHost(briarspring.Host{Name: w.Name(), DataCentre: s.config.DataCentre, Rack: w.Rack()})
		}
	}
	for name, a := range s.agents {
		w := s.placement.WorkerByName(name)
		if listed[name] || w != nil && !w.Gone() {
			continue
		}
		if a.cancel != nil {
			a.cancel()
		}
		delete(s.agents, name)
	}
}

func (s *Scheduler) updateHost(h briarspring.Host) {
	a := s.agents[h.Name]
	if a == nil {
		s.agents[h.Name] = newAgent(h)
		return
	}
	if h.Leaving != a.host.Leaving {
		s.logger.Info("host changed", "worker", h.Name, "leaving", h.Leaving)
		s.notify()
		s.Wake()
	}
	a.host = h
}

func (s *Scheduler) agentNames() []string {
	names := make([]string, 0, len(s.agents))
	for name := range s.agents {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
