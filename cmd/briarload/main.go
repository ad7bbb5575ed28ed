// Command briarload generates load and measures the results that callers see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"briarspring/generator"
	"briarspring/imitator"
)

type cli struct {
	Run      runCmd      `cmd:"" help:"Generate open-loop load and print the results that callers saw."`
	Record   recordCmd   `cmd:"" help:"Record operators' changes on a running system as a trace."`
	Replay   replayCmd   `cmd:"" help:"Replay traces in real time and compare the results with the outcomes that the traces state."`
	Route    routeCmd    `cmd:"" help:"Compare the routing rules and write a table and a plot."`
	Report   reportCmd   `cmd:"" help:"Replay traces under every placement rule and write a table and plots."`
	Capacity capacityCmd `cmd:"" help:"Measure the inputs of docs/CAPACITY.md."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("briarload"), kong.Description("Load and measurements."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type runCmd struct {
	Gateways   []string      `help:"Addresses of gateways." required:""`
	Direct     []string      `help:"Addresses of executors to call directly in the same run, for comparison."`
	Workers    []string      `help:"Admin addresses of simulated workers, to check that no request ran twice."`
	Rate       float64       `help:"Requests per second of each arm." default:"1000"`
	Duration   time.Duration `help:"Length of the run." default:"10s"`
	Path       string        `help:"Path of the requests." default:"/ledger/read"`
	Timeout    time.Duration `help:"Timeout of a request." default:"2s"`
	Idempotent bool          `help:"Mark the requests as idempotent."`
	Seed       uint64        `help:"Seed of the arrival times." default:"1"`
}

// Run generates the load and prints a table. It fails if an answer was wrong, or
// if a request ran twice or ran although it was refused.
func (c *runCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	arms := []generator.Arm{{Name: "gateway", Addresses: c.Gateways}}
	if len(c.Direct) > 0 {
		arms = append(arms, generator.Arm{Name: "direct", Addresses: c.Direct})
	}
	results := generator.Run(ctx, generator.Config{
		Arms: arms, Rate: c.Rate, Duration: c.Duration, Path: c.Path, Timeout: c.Timeout,
		Idempotent: c.Idempotent, Body: "receipt ", Prefix: fmt.Sprintf("run-%d", time.Now().UnixNano()), Seed: c.Seed,
	})
	printResults(results)
	var wrong uint64
	for _, r := range results {
		wrong += r.InvalidAnswers
	}
	runs, err := c.runs()
	if err != nil {
		return err
	}
	doubled := generator.ImproperRuns(results, runs, c.Idempotent)
	fmt.Printf("wrong answers %d, requests run twice or despite a refusal %d\n", wrong, len(doubled))
	if wrong > 0 || len(doubled) > 0 {
		return fmt.Errorf("wrong answers, or requests run twice or despite a refusal")
	}
	return nil
}

func printResults(results []*generator.Result) {
	w := newTable()
	fmt.Fprintln(w, "arm\tsent\tserved\tnot-run\tunknown\tp50\tp99\tp99.9\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", r.Name, r.Sent, r.Served, r.NotRun, r.Unknown,
			r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	}
	w.Flush()
	if len(results) == 2 {
		fmt.Printf("added by the gateway: p50 %s, p99 %s\n",
			results[0].Quantile(50)-results[1].Quantile(50), results[0].Quantile(99)-results[1].Quantile(99))
	}
}

// runs returns how often each request ran, as counted by the executors.
func (c *runCmd) runs() (map[string]uint32, error) {
	runs := map[string]uint32{}
	for _, address := range c.Workers {
		answer, err := http.Get("http://" + address + "/executors?runs")
		if err != nil {
			return nil, err
		}
		var counts []imitator.ExecutorCounts
		err = json.NewDecoder(answer.Body).Decode(&counts)
		answer.Body.Close()
		if err != nil {
			return nil, err
		}
		for _, x := range counts {
			for id, n := range x.Runs {
				runs[id] += n
			}
		}
	}
	return runs, nil
}
