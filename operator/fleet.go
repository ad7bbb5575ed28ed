package operator

import (
	"context"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// CreateQuota creates a team's quota.
func (s *Server) CreateQuota(ctx context.Context, r *connect.Request[pb.CreateQuotaRequest]) (*connect.Response[pb.ChangeResponse], error) {
	q, err := encoder.DecodeQuota(r.Msg.GetQuota())
	if err != nil {
		return nil, rpcError(err)
	}
	return s.submit(ctx, r.Msg.GetRequestId(), 0, briarspring.PutQuota{Quota: q})
}

// ChangeQuota changes a team's quota.
func (s *Server) ChangeQuota(ctx context.Context, r *connect.Request[pb.ChangeQuotaRequest]) (*connect.Response[pb.ChangeResponse], error) {
	q, err := encoder.DecodeQuota(r.Msg.GetQuota())
	if err != nil {
		return nil, rpcError(err)
	}
	if err := requireVersion("quota/"+q.Team(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.PutQuota{Quota: q})
}

// DeleteQuota removes a team's quota.
func (s *Server) DeleteQuota(ctx context.Context, r *connect.Request[pb.DeleteRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if err := requireVersion("quota/"+r.Msg.GetName(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.DeleteQuota{Team: r.Msg.GetName()})
}

// DescribeQuota returns a team's quota and its version.
func (s *Server) DescribeQuota(_ context.Context, r *connect.Request[pb.DescribeRequest]) (*connect.Response[pb.QuotaDescription], error) {
	var m *pb.QuotaDescription
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		if q := conf.Quota(r.Msg.GetName()); q != nil {
			m = describeQuota(q)
		}
	})
	if err != nil {
		return nil, err
	}
	if m == nil {
		return nil, rpcError(&briarspring.NotFoundError{Object: "quota/" + r.Msg.GetName()})
	}
	return connect.NewResponse(m), nil
}

// ListQuotas lists all quotas, sorted by team.
func (s *Server) ListQuotas(context.Context, *connect.Request[pb.ListQuotasRequest]) (*connect.Response[pb.ListQuotasResponse], error) {
	m := &pb.ListQuotasResponse{}
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		for _, q := range conf.Quotas() {
			m.Quotas = append(m.Quotas, describeQuota(q))
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func describeQuota(q *applier.VersionedQuota) *pb.QuotaDescription {
	return &pb.QuotaDescription{Quota: encoder.EncodeQuota(q.Quota), Version: q.Version}
}

// TakeOutDataCentre takes a data centre out of service.
func (s *Server) TakeOutDataCentre(ctx context.Context, r *connect.Request[pb.DataCentreRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if err := requireVersion("data-centre/"+r.Msg.GetDataCentre(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.TakeOut{DataCentre: r.Msg.GetDataCentre()})
}

// ReturnDataCentre returns a data centre to service.
func (s *Server) ReturnDataCentre(ctx context.Context, r *connect.Request[pb.DataCentreRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if err := requireVersion("data-centre/"+r.Msg.GetDataCentre(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.Return{DataCentre: r.Msg.GetDataCentre()})
}

// ListDataCentres lists all data centres, sorted by name.
func (s *Server) ListDataCentres(context.Context, *connect.Request[pb.ListDataCentresRequest]) (*connect.Response[pb.ListDataCentresResponse], error) {
	m := &pb.ListDataCentresResponse{}
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		m.ConfigOffset = conf.Applied()
		for _, d := range conf.DataCentres() {
			sum := d.Summary()
			m.DataCentres = append(m.DataCentres, &pb.DataCentreDescription{
				Name: d.Name(), Out: d.Out(), Version: d.Version(),
				Capacity:  encoder.EncodeResources(sum.Capacity),
				Committed: encoder.EncodeResources(sum.Committed),
				Workers:   sum.Workers, Owner: sum.Owner,
			})
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// DeclareWorkerLost records that a worker will never run its tasks again.
func (s *Server) DeclareWorkerLost(ctx context.Context, r *connect.Request[pb.DeclareWorkerLostRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if r.Msg.GetWorker() == "" {
		return nil, rpcError(&briarspring.InvalidError{Object: "worker", Reason: "no name is given"})
	}
	return s.submit(ctx, r.Msg.GetRequestId(), 0, briarspring.DeclareLost{Worker: r.Msg.GetWorker()})
}

// ListWorkers lists the workers of this scheduler's data centre.
func (s *Server) ListWorkers(context.Context, *connect.Request[pb.ListWorkersRequest]) (*connect.Response[pb.ListWorkersResponse], error) {
	m := &pb.ListWorkersResponse{}
	err := s.view(func(_ *applier.Config, place *applier.Placement) {
		for _, w := range place.Workers() {
			m.Workers = append(m.Workers, &pb.WorkerDescription{
				Name: w.Name(), Rack: w.Rack(), State: workerState(w),
				Capacity:  encoder.EncodeResources(w.Capacity()),
				Committed: encoder.EncodeResources(w.Committed()),
				Tasks:     uint32(w.Len()),
			})
		}
	})
	if err != nil {
		return nil, err
	}
	for _, w := range m.Workers {
		if w.State == workerLive && s.scheduler.HostLeaving(w.Name) {
			w.State = workerLeaving
		}
	}
	return connect.NewResponse(m), nil
}

const (
	workerLive    = "live"
	workerGone    = "gone"
	workerLeaving = "leaving"
)

func workerState(w *applier.Worker) string {
	if w.Gone() {
		return workerGone
	}
	return workerLive
}
