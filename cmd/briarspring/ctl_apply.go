package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"briarspring/declarer"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

type applyCmd struct {
	File string `arg:"" help:"File of objects (INI)." type:"existingfile"`
}

type diffCmd struct {
	File string `arg:"" help:"File of objects (INI)." type:"existingfile"`
}

// plannedChange is what apply does with one object of a file.
type plannedChange struct {
	object  string // Kind and name.
	version uint64 // Current version; zero if the object does not exist.
	old     proto.Message
	desired proto.Message
	apply   func(s *session) (*pb.ChangeResponse, error)
}

func (x plannedChange) verb() string {
	switch {
	case x.version == 0:
		return "create"
	case proto.Equal(x.old, x.desired):
		return "keep"
	}
	return "change"
}

// Run applies the objects one by one, in the order of the file.
func (c *applyCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	changes, err := planChanges(s, c.File)
	if err != nil {
		return err
	}
	for _, x := range changes {
		if x.verb() == "keep" {
			fmt.Fprintf(s.out, "%s: unchanged at version %d\n", x.object, x.version)
			continue
		}
		answer, err := x.apply(s)
		if err != nil {
			return fmt.Errorf("%s: %w", x.object, err)
		}
		fmt.Fprintf(s.out, "%s: %sd, version %d\n", x.object, x.verb(), answer.GetVersion())
	}
	return nil
}

// Run prints what apply would do.
func (c *diffCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	changes, err := planChanges(s, c.File)
	if err != nil {
		return err
	}
	for _, x := range changes {
		fmt.Fprintf(s.out, "%s %s\n", x.verb(), x.object)
		if x.verb() == "change" {
			fmt.Fprintf(s.out, "  - %s\n  + %s\n", prototext.Format(x.old), prototext.Format(x.desired))
		}
	}
	return nil
}

// planChanges compares the file with the current objects.
func planChanges(s *session, path string) ([]plannedChange, error) {
	objects, err := declarer.Load(path)
	if err != nil {
		return nil, err
	}
	var changes []plannedChange
	for _, o := range objects {
		var x plannedChange
		switch {
		case o.Service != nil:
			x, err = planService(s, encoder.EncodeService(*o.Service))
		case o.Job != nil:
			x, err = planJob(s, encoder.EncodeJob(*o.Job))
		default:
			x, err = planQuota(s, encoder.EncodeQuota(*o.Quota))
		}
		if err != nil {
			return nil, err
		}
		changes = append(changes, x)
	}
	return changes, nil
}

// find returns the description of an object, or nil if it does not exist.
func find[A any](s *session, call func(context.Context, *connect.Request[pb.DescribeRequest]) (*connect.Response[A], error), name string) (*A, error) {
	m, err := query(s, call, &pb.DescribeRequest{Name: name})
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, nil
	}
	return m, err
}

func planService(s *session, m *pb.Service) (plannedChange, error) {
	old, err := find(s, s.client.DescribeService, m.GetName())
	x := plannedChange{object: "service/" + m.GetName(), version: old.GetVersion(), old: old.GetService(), desired: m}
	id := newRequestID()
	x.apply = func(s *session) (*pb.ChangeResponse, error) {
		if x.version == 0 {
			return change(s, s.client.CreateService, &pb.CreateServiceRequest{RequestId: id, Service: m})
		}
		return change(s, s.client.ChangeService, &pb.ChangeServiceRequest{
			RequestId: id, ExpectedVersion: x.version, Service: m,
		})
	}
	return x, err
}

func planJob(s *session, m *pb.Job) (plannedChange, error) {
	old, err := find(s, s.client.DescribeJob, m.GetName())
	x := plannedChange{object: "job/" + m.GetName(), version: old.GetVersion(), old: old.GetJob(), desired: m}
	id := newRequestID()
	x.apply = func(s *session) (*pb.ChangeResponse, error) {
		if x.version == 0 {
			return change(s, s.client.CreateJob, &pb.CreateJobRequest{RequestId: id, Job: m})
		}
		return change(s, s.client.ChangeJob, &pb.ChangeJobRequest{RequestId: id, ExpectedVersion: x.version, Job: m})
	}
	return x, err
}

func planQuota(s *session, m *pb.Quota) (plannedChange, error) {
	old, err := find(s, s.client.DescribeQuota, m.GetTeam())
	x := plannedChange{object: "quota/" + m.GetTeam(), version: old.GetVersion(), old: old.GetQuota(), desired: m}
	id := newRequestID()
	x.apply = func(s *session) (*pb.ChangeResponse, error) {
		if x.version == 0 {
			return change(s, s.client.CreateQuota, &pb.CreateQuotaRequest{RequestId: id, Quota: m})
		}
		return change(s, s.client.ChangeQuota, &pb.ChangeQuotaRequest{RequestId: id, ExpectedVersion: x.version, Quota: m})
	}
	return x, err
}
