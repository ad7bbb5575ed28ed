package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"github.com/ansel1/merry/v2"

	pb "briarspring/gen/briarspring/v1"
)

type explainCmd struct {
	Workload string `arg:"" help:"Name of a service or job."`
	Index    uint32 `arg:"" help:"Index of the task."`
}

// Run prints where the task is and the latest decisions about it.
func (c *explainCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ExplainTask, &pb.ExplainTaskRequest{Workload: c.Workload, Index: c.Index})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "TASK", "ATTEMPT", "STATE", "WORKER", "ADDRESS")
		printTask(w, m.GetTask())
		if m.GetWaiting() != "" {
			writeRow(w, "waits: "+m.GetWaiting())
		}
		for _, d := range m.GetDecisions() {
			writeRow(w, formatDecision(d))
		}
	})
}

func formatDecision(d *pb.Decision) string {
	line := fmt.Sprintf("%s %s %s/%d#%d", time.UnixMilli(d.GetTimeMs()).Format("15:04:05.000"),
		d.GetKind(), d.GetWorkload(), d.GetIndex(), d.GetAttempt())
	if d.GetWorker() != "" {
		line += " on " + d.GetWorker()
	}
	line += ": " + d.GetReason()
	if len(d.GetRejected()) > 0 {
		line += " (rejected: " + strings.Join(d.GetRejected(), "; ") + ")"
	}
	return line
}

type watchCmd struct {
	Workload string `arg:"" optional:"" help:"Only decisions about this service or job."`
}

// Run prints decisions until it is interrupted.
func (c *watchCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	stream, err := s.client.WatchDecisions(ctx, connect.NewRequest(&pb.WatchDecisionsRequest{Workload: c.Workload}))
	if err != nil {
		return err
	}
	for stream.Receive() {
		d := stream.Msg()
		if s.json {
			if err := s.print(d, nil); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintln(s.out, formatDecision(d))
	}
	if ctx.Err() != nil {
		return nil
	}
	return stream.Err()
}

type waitCmd struct {
	Names []string      `arg:"" help:"Names of jobs."`
	Limit time.Duration `help:"Maximum time to wait." default:"1h"`
}

const (
	waitInterval = 500 * time.Millisecond
	// propagationTime is how long another scheduler or host may take to learn of
	// a new job or workflow.
	propagationTime = 3 * time.Second
)

// Run waits until all jobs have ended, and fails unless all are done.
func (c *waitCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	start := time.Now()
	deadline := start.Add(c.Limit)
	last := ""
	for {
		states, line, err := jobStates(s, c.Names)
		if connect.CodeOf(err) == connect.CodeNotFound && time.Since(start) < propagationTime {
			time.Sleep(waitInterval)
			continue
		}
		if err != nil {
			return err
		}
		if line != last {
			fmt.Fprintln(os.Stderr, line)
			last = line
		}
		unfinished := slices.ContainsFunc(states, func(state string) bool { return state == "waiting" || state == "running" })
		if !unfinished {
			if i := slices.IndexFunc(states, func(state string) bool { return state != "done" }); i >= 0 {
				return merry.Errorf("job/%s: %s", c.Names[i], states[i])
			}
			return nil
		}
		if time.Now().After(deadline) {
			return merry.Errorf("jobs still unfinished after %s", c.Limit)
		}
		time.Sleep(waitInterval)
	}
}

func jobStates(s *session, names []string) (states []string, line string, err error) {
	var parts []string
	for _, name := range names {
		m, err := query(s, s.client.DescribeJob, &pb.DescribeRequest{Name: name})
		if err != nil {
			return nil, "", err
		}
		p := totals(m.GetProgress())
		states = append(states, m.GetState())
		parts = append(parts, fmt.Sprintf("%s %s %d/%d", name, m.GetState(), p.GetDone(), m.GetJob().GetTasks()))
	}
	return states, strings.Join(parts, ", "), nil
}
