package scheduler

import "time"

// Metrics holds the metrics of a scheduler that operators see.
type Metrics struct {
	DataCentre         string  `json:"data-centre"`
	Owner              bool    `json:"owner"`
	OwnerName          string  `json:"owner-name"`
	Epoch              uint64  `json:"epoch"`
	ConfigOffset       uint64  `json:"config-offset"`
	PlacementOffset    uint64  `json:"placement-offset"`
	ConfigAgeSeconds   float64 `json:"config-age-seconds"`
	WorkersLive        int     `json:"workers-live"`
	WorkersUnreachable int     `json:"workers-unreachable"`
	TasksPlaced        uint32  `json:"tasks-placed"`
	TasksWaiting       uint32  `json:"tasks-waiting"`
	Starts             uint64  `json:"starts"`
	Ends               uint64  `json:"ends"`
	Evictions          uint64  `json:"evictions"`
	VoidEvents         uint64  `json:"void-events"`
	Batches            uint64  `json:"batches"`
	Events             uint64  `json:"events"`
	Exchanges          uint64  `json:"exchanges"`
	ExchangeErrors     uint64  `json:"exchange-errors"`
	Rounds             uint64  `json:"rounds"`
	RoundSeconds       float64 `json:"round-seconds"`
}

// Metrics returns the scheduler's current metrics.
func (s *Scheduler) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.placement.Counts()
	m := Metrics{
		DataCentre: s.config.DataCentre, Owner: s.owns(), OwnerName: s.placement.Owner().Name, Epoch: s.placement.Epoch(),
		ConfigOffset: s.conf.Applied(), PlacementOffset: s.placement.Applied(),
		ConfigAgeSeconds: time.Since(s.configReadAt).Seconds(),
		Starts:           counts.Starts, Ends: counts.Ends, Evictions: counts.Evictions, VoidEvents: counts.Void,
		Batches: s.counters.Batches, Events: s.counters.Events,
		Exchanges: s.counters.Exchanges, ExchangeErrors: s.counters.ExchangeErrors,
		Rounds: s.counters.Rounds, RoundSeconds: s.counters.RoundTime.Seconds(),
	}
	for _, w := range s.placement.Workers() {
		if w.Gone() {
			continue
		}
		m.WorkersLive++
		if a := s.agents[w.Name()]; a != nil && a.failures > 0 {
			m.WorkersUnreachable++
		}
	}
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		m.TasksPlaced += l.Placed()
		m.TasksWaiting += l.Waiting()
	}
	return m
}
