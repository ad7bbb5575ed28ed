package main

import (
	"strings"
	"time"

	"connectrpc.com/connect"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

type waitWorkflowsCmd struct {
	IDs   []string      `arg:"" name:"id" help:"Names of workflows."`
	Limit time.Duration `help:"Maximum time to wait." default:"1h"`
}

// FailedWorkflowsError lists the workflows that did not complete.
type FailedWorkflowsError struct {
	Phases []string // Name and phase of each.
}

// Error implements error.
func (e *FailedWorkflowsError) Error() string {
	return "not completed: " + strings.Join(e.Phases, ", ")
}

// Run waits until all workflows have ended, and fails unless all completed.
func (c *waitWorkflowsCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	start := time.Now()
	failed := &FailedWorkflowsError{}
	for _, id := range c.IDs {
		phase, err := waitWorkflow(s, ctl, id, start, c.Limit)
		if err != nil {
			return err
		}
		if phase != briarspring.PhaseCompleted.String() {
			failed.Phases = append(failed.Phases, id+" is "+phase)
		}
	}
	if len(failed.Phases) > 0 {
		return failed
	}
	return nil
}

// waitWorkflow returns the phase of a workflow once it is final, or "still" and
// its current phase once the limit has passed.
func waitWorkflow(s *session, ctl *ctlCmd, id string, start time.Time, limit time.Duration) (string, error) {
	for {
		m, err := query(s, ctl.workflows().DescribeWorkflow, &pb.DescribeWorkflowRequest{Id: id})
		missing := connect.CodeOf(err) == connect.CodeNotFound && time.Since(start) < propagationTime
		if err != nil && !missing {
			return "", err
		}
		switch phase := m.GetPhase(); phase {
		case briarspring.PhaseCompleted.String(), briarspring.PhaseFailed.String(), briarspring.PhaseCancelled.String():
			return phase, nil
		default:
			if time.Since(start) > limit {
				return "still " + phase, nil
			}
		}
		time.Sleep(waitInterval)
	}
}
