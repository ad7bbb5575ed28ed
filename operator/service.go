package operator

import (
	"context"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// CreateService creates a service.
func (s *Server) CreateService(ctx context.Context, r *connect.Request[pb.CreateServiceRequest]) (*connect.Response[pb.ChangeResponse], error) {
	sv, err := encoder.DecodeService(r.Msg.GetService())
	if err != nil {
		return nil, rpcError(err)
	}
	return s.submit(ctx, r.Msg.GetRequestId(), 0, briarspring.PutService{Service: sv})
}

// ChangeService changes the number of a service's executors.
func (s *Server) ChangeService(ctx context.Context, r *connect.Request[pb.ChangeServiceRequest]) (*connect.Response[pb.ChangeResponse], error) {
	sv, err := encoder.DecodeService(r.Msg.GetService())
	if err != nil {
		return nil, rpcError(err)
	}
	if err := requireVersion("service/"+sv.Name(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.PutService{Service: sv})
}

// DeleteService ends a service.
func (s *Server) DeleteService(ctx context.Context, r *connect.Request[pb.DeleteRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if err := requireVersion("service/"+r.Msg.GetName(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.DeleteService{Name: r.Msg.GetName()})
}

// DescribeService returns a service's version and progress.
func (s *Server) DescribeService(_ context.Context, r *connect.Request[pb.DescribeRequest]) (*connect.Response[pb.ServiceDescription], error) {
	var m *pb.ServiceDescription
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		if w := conf.Service(r.Msg.GetName()); w != nil {
			m = describeService(conf, w)
		}
	})
	if err != nil {
		return nil, err
	}
	if m == nil {
		return nil, rpcError(&briarspring.NotFoundError{Object: "service/" + r.Msg.GetName()})
	}
	return connect.NewResponse(m), nil
}

// ListServices lists all services, sorted by name.
func (s *Server) ListServices(context.Context, *connect.Request[pb.ListServicesRequest]) (*connect.Response[pb.ListServicesResponse], error) {
	m := &pb.ListServicesResponse{}
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		for _, w := range conf.Services() {
			m.Services = append(m.Services, describeService(conf, w))
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func describeService(conf *applier.Config, w *applier.Workload) *pb.ServiceDescription {
	return &pb.ServiceDescription{
		Service: encoder.EncodeService(*w.Service()), Version: w.Version(),
		Progress: progress(w), Problem: conf.InfeasibleReason(w.Resources()),
	}
}

// progress returns the assigned, running and ended tasks of a workload for each
// data centre.
func progress(w *applier.Workload) []*pb.Progress {
	byName := map[string]*pb.Progress{}
	var out []*pb.Progress
	add := func(name string) *pb.Progress {
		if byName[name] == nil {
			byName[name] = &pb.Progress{DataCentre: name}
			out = append(out, byName[name])
		}
		return byName[name]
	}
	for _, p := range w.Progress() {
		m := add(p.DataCentre)
		m.Running, m.Done, m.Failed = p.Progress.Running, p.Progress.Done, p.Progress.Failed
		m.Evictions = p.Progress.Evictions
	}
	for _, share := range w.Shares() {
		add(share.DataCentre).Assigned = w.Assigned(share.DataCentre)
	}
	return out
}
