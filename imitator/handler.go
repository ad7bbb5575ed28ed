package imitator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"briarspring/encoder"
	ppb "briarspring/gen/platform/v1"
	"briarspring/gen/platform/v1/platformv1connect"
)

// headerCaller names the calling process, so that faults can cut off single
// callers.
const headerCaller = "Platform-Caller"

// LogHandler returns the path and handler that serve a log.
func LogHandler(l *Log) (string, http.Handler) {
	return platformv1connect.NewLogHandler(&logServer{log: l})
}

type logServer struct{ log *Log }

func (s *logServer) Append(ctx context.Context, r *connect.Request[ppb.AppendRequest]) (*connect.Response[ppb.AppendResponse], error) {
	client := s.log.Client(r.Header().Get(headerCaller))
	offset, err := client.Append(ctx, r.Msg.GetStream(), r.Msg.GetRecord())
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(&ppb.AppendResponse{Offset: offset}), nil
}

func (s *logServer) Read(ctx context.Context, r *connect.Request[ppb.ReadRequest]) (*connect.Response[ppb.ReadResponse], error) {
	client := s.log.Client(r.Header().Get(headerCaller))
	wait := time.Duration(r.Msg.GetWaitMs()) * time.Millisecond
	page, err := client.Read(ctx, r.Msg.GetStream(), r.Msg.GetFrom(), int(r.Msg.GetLimit()), wait)
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(encoder.EncodeLogPage(page)), nil
}

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// HostsHandler returns the path and handler that serve a list of hosts.
func HostsHandler(h *Hosts) (string, http.Handler) {
	return platformv1connect.NewHostsHandler(&hostsServer{hosts: h})
}

type hostsServer struct{ hosts *Hosts }

func (s *hostsServer) List(ctx context.Context, r *connect.Request[ppb.ListRequest]) (*connect.Response[ppb.ListResponse], error) {
	hosts, err := s.hosts.Hosts(ctx, r.Msg.GetDataCentre())
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(encoder.EncodeHosts(hosts)), nil
}

// WorkersHandler returns the path and handler that serve a group of workers.
func WorkersHandler(f *Fleet) (string, http.Handler) {
	return platformv1connect.NewWorkersHandler(&workersServer{fleet: f})
}

type workersServer struct{ fleet *Fleet }

func (s *workersServer) Exchange(ctx context.Context, r *connect.Request[ppb.ExchangeRequest]) (*connect.Response[ppb.ExchangeResponse], error) {
	report, err := s.fleet.Exchange(ctx, r.Header().Get(headerCaller), encoder.DecodeExchange(r.Msg))
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(encoder.EncodeWorkerReport(report)), nil
}
