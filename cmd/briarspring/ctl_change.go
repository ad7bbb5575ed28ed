package main

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

type deleteCmd struct {
	Kind string `arg:"" help:"Kind of the object: service, job or quota." enum:"service,job,quota"`
	Name string `arg:"" help:"Name of the object."`
	Yes  bool   `help:"Skip the confirmation."`
}

// Run deletes the object, unless its version changes meanwhile.
func (c *deleteCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	version, err := c.currentVersion(s)
	if err != nil {
		return err
	}
	if err := s.confirm(c.Yes, fmt.Sprintf("Delete %s %s, version %d", c.Kind, c.Name, version)); err != nil {
		return err
	}
	m := &pb.DeleteRequest{RequestId: newRequestID(), ExpectedVersion: version, Name: c.Name}
	call := s.client.DeleteQuota
	switch c.Kind {
	case "service":
		call = s.client.DeleteService
	case "job":
		call = s.client.DeleteJob
	}
	if _, err := change(s, call, m); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s/%s: deleted\n", c.Kind, c.Name)
	return nil
}

func (c *deleteCmd) currentVersion(s *session) (uint64, error) {
	q := &pb.DescribeRequest{Name: c.Name}
	switch c.Kind {
	case "service":
		m, err := query(s, s.client.DescribeService, q)
		return m.GetVersion(), err
	case "job":
		m, err := query(s, s.client.DescribeJob, q)
		return m.GetVersion(), err
	}
	m, err := query(s, s.client.DescribeQuota, q)
	return m.GetVersion(), err
}

type cancelCmd struct {
	Names []string `arg:"" help:"Names of jobs."`
	Yes   bool     `help:"Skip the confirmation."`
}

// Run cancels the jobs with one record.
func (c *cancelCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	if err := s.confirm(c.Yes, "Cancel "+strings.Join(c.Names, ", ")); err != nil {
		return err
	}
	m, err := change(s, s.client.CancelJobs, &pb.CancelJobsRequest{RequestId: newRequestID(), Names: c.Names})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d jobs cancelled, version %d\n", len(c.Names), m.GetVersion())
	return nil
}

type takeOutCmd struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
	Yes        bool   `help:"Skip the confirmation."`
}

// Run takes the data centre out of service.
func (c *takeOutCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	if err := s.confirm(c.Yes, "Take "+c.DataCentre+" out of service"); err != nil {
		return err
	}
	return setOutOfService(s, c.DataCentre, true)
}

type returnCmd struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run returns the data centre to service.
func (c *returnCmd) Run(ctl *ctlCmd) error {
	return setOutOfService(ctl.session(), c.DataCentre, false)
}

func setOutOfService(s *session, name string, out bool) error {
	list, err := query(s, s.client.ListDataCentres, &pb.ListDataCentresRequest{})
	if err != nil {
		return err
	}
	for _, d := range list.GetDataCentres() {
		if d.GetName() != name {
			continue
		}
		if d.GetOut() == out {
			fmt.Fprintf(s.out, "data-centre/%s: unchanged at version %d\n", name, d.GetVersion())
			return nil
		}
		q := &pb.DataCentreRequest{RequestId: newRequestID(), ExpectedVersion: d.GetVersion(), DataCentre: name}
		call, done := s.client.ReturnDataCentre, "in service"
		if out {
			call, done = s.client.TakeOutDataCentre, "out of service"
		}
		m, err := change(s, call, q)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "data-centre/%s: %s, version %d\n", name, done, m.GetVersion())
		return nil
	}
	return connect.NewError(connect.CodeNotFound, &briarspring.NotFoundError{Object: "data-centre/" + name})
}

type declareLostCmd struct {
	Worker string `arg:"" help:"Name of the worker."`
	Yes    bool   `help:"Skip the confirmation."`
}

// Run declares, on the operator's authority, that the worker runs nothing any
// more.
func (c *declareLostCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	if err := s.confirm(c.Yes, "Declare that "+c.Worker+" is lost, so that its tasks start elsewhere"); err != nil {
		return err
	}
	m, err := change(s, s.client.DeclareWorkerLost, &pb.DeclareWorkerLostRequest{RequestId: newRequestID(), Worker: c.Worker})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "worker/%s: declared lost, version %d; its tasks start elsewhere after a full lease\n", c.Worker, m.GetVersion())
	return nil
}
