package scheduler

import (
	"fmt"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Feed returns the services, quotas and executors for the gateways of the data
// centre. Both the owner and followers can serve it, since executors' addresses
// are in the stream. It returns nil until the log has been read to its end or
// the states were restored, since the state is out of date until then.
func (s *Scheduler) Feed() *pb.Feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placementCommitter == nil && !s.restored {
		return nil
	}
	m := &pb.Feed{ConfigOffset: s.conf.Applied(), PlacementOffset: s.placement.Applied()}
	for _, w := range s.conf.Services() {
		m.Services = append(m.Services, &pb.FeedService{
			Name: w.Name(), Team: w.Team(), Prefix: w.Service().Prefix(),
		})
	}
	for _, q := range s.conf.Quotas() {
		m.Quotas = append(m.Quotas, encoder.EncodeQuota(q.Quota))
	}
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		w := s.conf.Workload(id)
		if w == nil || w.Service() == nil {
			continue
		}
		for _, t := range l.Tasks() {
			if t.Phase() == applier.PhasePlaced && t.Address() != "" {
				m.Executors = append(m.Executors, s.feedExecutor(w, t))
			}
		}
	}
	return m
}

func (s *Scheduler) feedExecutor(w *applier.Workload, t *applier.Task) *pb.FeedExecutor {
	a := s.agents[s.workerName(t.Worker())]
	return &pb.FeedExecutor{
		Id:          fmt.Sprintf("%s/%d#%d", w.Name(), t.Index(), t.Attempt()),
		Service:     w.Name(),
		Address:     t.Address(),
		Slots:       w.Service().Slots(),
		Connections: w.Service().Connections(),
		Leaving:     t.Evicting() || t.Cancelled() || a != nil && a.host.Leaving,
		Number:      t.Index(),
	}
}

// Snapshot returns the encoded state of a stream and the offset it covers.
func (s *Scheduler) Snapshot(stream string) (applied uint64, data []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch stream {
	case briarspring.ConfigStream:
		data, err = s.conf.Snapshot()
		return s.conf.Applied(), data, err
	case briarspring.PlacementStream(s.config.DataCentre):
		data, err = s.placement.Snapshot()
		return s.placement.Applied(), data, err
	}
	return 0, nil, &briarspring.NotFoundError{Object: "stream/" + stream}
}

// Restore loads states received from a peer. It must be called before Run. A
// state that is not newer than the current one is ignored.
func (s *Scheduler) Restore(conf, placement []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(conf) > 0 {
		c, err := applier.RestoreConfig(conf)
		if err != nil {
			return err
		}
		if c.Applied() > s.conf.Applied() {
			s.conf = c
		}
	}
	if len(placement) > 0 {
		p, err := applier.RestorePlacement(placement)
		if err != nil {
			return err
		}
		if p.Applied() > s.placement.Applied() {
			s.placement = p
		}
	}
	s.restored = s.restored || len(conf) > 0 && len(placement) > 0
	s.notify()
	return nil
}
