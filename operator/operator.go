// Package operator implements the operators' RPCs of schema/briarspring/v1.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/applier"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/scheduler"
)

// Scheduler is the scheduler that the RPCs read and change.
type Scheduler interface {
	Submit(ctx context.Context, cmd briarspring.Command) (applier.Answer, error)
	ReadStates(f func(conf *applier.Config, place *applier.Placement))
	Explain(id briarspring.TaskID) scheduler.Explanation
	WatchDecisions(ctx context.Context) <-chan scheduler.Decision
	HostLeaving(worker string) bool
	Ready() bool
	Name() string
}

// Server implements the RPCs on services, jobs, tasks, quotas, workers and data
// centres.
type Server struct {
	scheduler Scheduler
}

// New returns a server for a scheduler.
func New(s Scheduler) *Server { return &Server{scheduler: s} }

// view calls f with the current states. It fails until they are up to date,
// since a client must not see an older state after a newer one.
func (s *Server) view(f func(conf *applier.Config, place *applier.Placement)) error {
	if !s.scheduler.Ready() {
		return rpcError(&scheduler.NotReadyError{Name: s.scheduler.Name()})
	}
	s.scheduler.ReadStates(f)
	return nil
}

// submit appends a command to the log and maps the result to a response or an
// RPC error.
func (s *Server) submit(ctx context.Context, requestID string, expected uint64, change briarspring.Change) (*connect.Response[pb.ChangeResponse], error) {
	if requestID == "" {
		requestID = newRequestID()
	}
	a, err := s.scheduler.Submit(ctx, briarspring.Command{RequestID: requestID, ExpectedVersion: expected, Change: change})
	if err != nil {
		return nil, rpcError(err)
	}
	if a.Err != nil {
		return nil, rpcError(a.Err)
	}
	return connect.NewResponse(&pb.ChangeResponse{Version: a.Version, Offset: a.Offset}), nil
}

func newRequestID() string {
	b := make([]byte, 12)
	rand.Read(b) //nolint:errcheck // Never fails.
	return "server-" + hex.EncodeToString(b)
}

// rpcError maps an error to a Connect error code.
func rpcError(err error) error {
	var invalid *briarspring.InvalidError
	var conflict *briarspring.ConflictError
	var notFound *briarspring.NotFoundError
	var unknown *scheduler.UnknownOutcomeError
	var notReady *scheduler.NotReadyError
	switch {
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &conflict):
		return conflictError(conflict)
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &unknown):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.As(err, &notReady):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func conflictError(c *briarspring.ConflictError) error {
	code := connect.CodeAborted
	if c.Expected == 0 {
		code = connect.CodeAlreadyExists
	}
	e := connect.NewError(code, c)
	detail, err := connect.NewErrorDetail(&pb.ConflictDetail{
		Object: c.Object, ExpectedVersion: c.Expected, VersionInForce: c.InForce,
	})
	if err == nil {
		e.AddDetail(detail)
	}
	return e
}

// requireVersion rejects a change without an expected version.
func requireVersion(object string, expected uint64) error {
	if expected == 0 {
		return rpcError(&briarspring.InvalidError{Object: object, Reason: "expected version must be above zero"})
	}
	return nil
}
