package forwarder

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"briarspring"
	"briarspring/router"
)

// Update is a scheduler's update of services, executors and quotas.
type Update struct {
	ConfigOffset    uint64
	PlacementOffset uint64
	Snapshot        bool // Executors that are not listed are removed.
	Services        []Service
	Executors       []router.Executor // New or changed.
	Removed         []string
	Quotas          []briarspring.Quota
}

// Apply applies an update and reports whether it did. It ignores an update with
// older offsets than the current state, whichever scheduler sent it.
func (f *Forwarder) Apply(u Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.ConfigOffset < f.state.ConfigOffset || u.PlacementOffset < f.state.PlacementOffset {
		return false
	}
	f.state = State{ConfigOffset: u.ConfigOffset, PlacementOffset: u.PlacementOffset, Updated: time.Now()}
	f.setServices(u.Services)
	f.setQuotas(u.Quotas)
	if u.Snapshot {
		f.removeExcept(u.Executors)
	}
	for _, e := range u.Executors {
		f.putExecutor(e)
	}
	for _, id := range u.Removed {
		f.removeExecutor(id)
	}
	now := time.Now()
	for _, s := range f.services {
		f.wake(f.router.Drain(s.Name, now))
	}
	return true
}

// State returns the current state.
func (f *Forwarder) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Executors returns all known executors.
func (f *Forwarder) Executors() []router.Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Executors()
}

func (f *Forwarder) setServices(services []Service) {
	f.services = slices.Clone(services)
	slices.SortFunc(f.services, func(a, b Service) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
	})
}

func (f *Forwarder) setQuotas(quotas []briarspring.Quota) {
	old := f.teamLimiters
	f.teamLimiters = map[string]*rate.Limiter{}
	for _, q := range quotas {
		if q.RequestsPerSecond() == 0 {
			continue
		}
		limit := rate.Limit(q.RequestsPerSecond())
		if l := old[q.Team()]; l != nil && l.Limit() == limit {
			f.teamLimiters[q.Team()] = l
			continue
		}
		f.teamLimiters[q.Team()] = rate.NewLimiter(limit, int(q.RequestsPerSecond()))
	}
}

func (f *Forwarder) putExecutor(e router.Executor) {
	f.router.Put(e)
	share := router.Share(e.Connections, e.Number, f.config.Router.GatewayIndex, max(f.config.Router.GatewayCount, 1))
	b := f.connLimits[e.Address]
	if b == nil {
		f.connLimits[e.Address] = &connLimit{limit: share}
		return
	}
	b.setLimit(share)
}

func (f *Forwarder) removeExecutor(id string) {
	for _, e := range f.router.Executors() {
		if e.ID == id {
			delete(f.connLimits, e.Address)
		}
	}
	f.router.Remove(id)
}

func (f *Forwarder) removeExcept(keep []router.Executor) {
	kept := map[string]bool{}
	for _, e := range keep {
		kept[e.ID] = true
	}
	for _, e := range f.router.Executors() {
		if !kept[e.ID] {
			f.removeExecutor(e.ID)
		}
	}
}
