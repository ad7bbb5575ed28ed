package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/connector"
	"briarspring/declarer"
	"briarspring/follower"
	"briarspring/replayer"
)

type recordCmd struct {
	LogAddress string        `help:"Address of the platform's log." required:""`
	File       string        `arg:"" help:"Trace file to write."`
	Length     time.Duration `help:"Length of the recording." default:"2m"`
	Name       string        `help:"Name of the trace." default:"recorded"`
}

const recordReportLag = time.Second

// Run follows the configuration stream and writes the operators' changes and the
// data centres as a trace. The trace states no outcomes; they are added by hand.
func (c *recordCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	f := follower.New(follower.Config{
		Stream: briarspring.ConfigStream, Logger: hclog.Default(),
		Reader: connector.New(connector.Config{LogAddress: c.LogAddress, HostsAddress: c.LogAddress, Caller: "briarload"}),
	})
	go f.Run(ctx)
	r := &recorder{
		begin: time.Now(), dataCentreIndex: map[string]int{},
		trace: replayer.Trace{
			Name: c.Name, About: "Recorded from a running system.", Seed: 1,
			Length: replayer.Duration(c.Length), MeasureTo: replayer.Duration(c.Length),
			ReportLag: replayer.Duration(recordReportLag), Outcomes: []replayer.Outcome{},
		},
	}
	for ctx.Err() == nil {
		select {
		case item := <-f.Items():
			r.handleRecord(item.Record)
		case <-ctx.Done():
		}
	}
	<-f.Done()
	return r.write(c.File)
}

// recorder converts log records to a trace.
type recorder struct {
	trace           replayer.Trace
	begin           time.Time
	dataCentreIndex map[string]int // Index in the trace's data centres.
}

func (r *recorder) handleRecord(record briarspring.Record) {
	switch b := record.Body.(type) {
	case briarspring.Summary:
		r.handleSummary(b)
	case briarspring.Command:
		if e, ok := traceEvent(b.Change); ok {
			e.At = replayer.Duration(time.Since(r.begin))
			r.trace.Events = append(r.trace.Events, e)
		}
	}
}

const recordWorkersPerRack = 8

func (r *recorder) handleSummary(s briarspring.Summary) {
	i, known := r.dataCentreIndex[s.DataCentre]
	if !known {
		i = len(r.trace.DataCentres)
		r.dataCentreIndex[s.DataCentre] = i
		r.trace.DataCentres = append(r.trace.DataCentres, replayer.DataCentre{Name: s.DataCentre, PerRack: recordWorkersPerRack})
	}
	d := &r.trace.DataCentres[i]
	d.Workers = max(d.Workers, int(s.Workers))
}

// traceEvent maps an operator's change to an event of a trace.
func traceEvent(change briarspring.Change) (replayer.Event, bool) {
	switch ch := change.(type) {
	case briarspring.PutService:
		return replayer.Event{Kind: replayer.KindObjects, Text: declarer.Format(declarer.Object{Service: &ch.Service})}, true
	case briarspring.PutJob:
		return replayer.Event{Kind: replayer.KindObjects, Text: declarer.Format(declarer.Object{Job: &ch.Job})}, true
	case briarspring.PutQuota:
		return replayer.Event{Kind: replayer.KindObjects, Text: declarer.Format(declarer.Object{Quota: &ch.Quota})}, true
	case briarspring.CancelJobs:
		return replayer.Event{Kind: replayer.KindCancel, Names: ch.Names}, true
	case briarspring.TakeOut:
		return replayer.Event{Kind: replayer.KindTakeOut, Target: ch.DataCentre}, true
	case briarspring.Return:
		return replayer.Event{Kind: replayer.KindReturn, Target: ch.DataCentre}, true
	}
	return replayer.Event{}, false
}

func (r *recorder) write(path string) error {
	data, err := json.MarshalIndent(r.trace, "", " ")
	if err != nil {
		return err
	}
	fmt.Printf("%d events on %d data centres\n", len(r.trace.Events), len(r.trace.DataCentres))
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
