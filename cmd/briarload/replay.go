package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/hashicorp/go-hclog"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"briarspring/placer"
	"briarspring/replayer"
)

type replayCmd struct {
	Files []string `arg:"" help:"Traces." type:"existingfile"`
	Rule  string   `help:"Placement rule." enum:"interference,first-fit,static-split" default:"interference"`
	Logs  bool     `help:"Log the schedulers' decisions."`
}

// Run replays all traces concurrently in real time, and fails if a trace missed
// an outcome that it states.
func (c *replayCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	runs, err := replayAll(ctx, c.Files, []placer.Rule{placer.Rule(c.Rule)}, c.logger())
	if err != nil {
		return err
	}
	missed := 0
	for _, r := range runs {
		fmt.Println(r.trace.Name)
		for _, name := range replayer.Names() {
			v, _ := r.measures[0].Get(name)
			fmt.Printf("  %s %.3f\n", name, v)
		}
		for _, m := range r.trace.UnmetOutcomes(r.measures[0]) {
			fmt.Println("  missed:", m)
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d outcomes were missed", missed)
	}
	return nil
}

func (c *replayCmd) logger() hclog.Logger {
	if !c.Logs {
		return hclog.NewNullLogger()
	}
	return hclog.Default()
}

// comparison holds a trace and its measures under each rule.
type comparison struct {
	trace    replayer.Trace
	measures []replayer.Measures
}

// replayAll replays every trace under every rule, all concurrently.
func replayAll(ctx context.Context, files []string, rules []placer.Rule, logger hclog.Logger) ([]comparison, error) {
	out := make([]comparison, len(files))
	failures := make(chan error, len(files)*len(rules))
	var running sync.WaitGroup
	for i, file := range files {
		trace, err := replayer.Load(file)
		if err != nil {
			return nil, err
		}
		out[i] = comparison{trace: trace, measures: make([]replayer.Measures, len(rules))}
		for k, rule := range rules {
			running.Go(func() {
				m, err := replayer.New(trace, rule, logger).Run(ctx)
				if err != nil {
					failures <- fmt.Errorf("%s under %s: %w", trace.Name, rule, err)
				}
				out[i].measures[k] = m
			})
		}
	}
	running.Wait()
	close(failures)
	return out, <-failures
}

type reportCmd struct {
	Files  []string `arg:"" help:"Traces." type:"existingfile"`
	Folder string   `help:"Folder for the table and the plots." default:"docs/measurements"`
}

// Run replays the traces under every rule concurrently and writes a table and
// plots.
func (c *reportCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rules := []placer.Rule{placer.RuleInterference, placer.RuleFirstFit, placer.RuleStaticSplit}
	runs, err := replayAll(ctx, c.Files, rules, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Folder, "placement.md"), []byte(table(runs, rules)), 0o600); err != nil {
		return err
	}
	for _, measure := range []string{"urgent-p99-ratio", "batch-share"} {
		if err := drawMeasure(filepath.Join(c.Folder, measure+".svg"), measure, runs, rules); err != nil {
			return err
		}
	}
	return nil
}

// table returns the comparison in Markdown.
func table(runs []comparison, rules []placer.Rule) string {
	var b strings.Builder
	b.WriteString("# Placement rules compared\n\nMade by `briarload report traces/*.json`: every trace under every rule, in one run in real time.\n" +
		"`urgent-p99-ratio` is the 99th percentile of executors' answer times to those alone; `batch-share` is batch work\n" +
		"to the processors that executors left.\n\n| trace | rule | urgent-p99-ratio | batch-share | lost-share | evictions | doubled | late-starts | missed |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range runs {
		for i, rule := range rules {
			m := r.measures[i]
			fmt.Fprintf(&b, "| %s | %s | %.2f | %.3f | %.4f | %.0f | %.0f | %.0f | %d |\n", r.trace.Name, rule,
				m.UrgentRatio, m.BatchShare, m.LostShare, m.Evictions, m.Doubled, m.LateStarts, len(r.trace.UnmetOutcomes(m)))
		}
	}
	return b.String()
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 9
)

// drawMeasure draws a bar chart of one measure with a group for each trace.
func drawMeasure(path, measure string, runs []comparison, rules []placer.Rule) error {
	var labels, series []string
	for _, r := range runs {
		labels = append(labels, r.trace.Name)
	}
	var values []plotter.Values
	for i, rule := range rules {
		series = append(series, string(rule))
		row := make(plotter.Values, len(runs))
		for k, r := range runs {
			row[k], _ = r.measures[i].Get(measure)
		}
		values = append(values, row)
	}
	return drawBars(path, measure, labels, series, values)
}

// drawBars draws a bar chart: a group for each label, a bar for each series.
func drawBars(path, title string, labels, series []string, values []plotter.Values) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	for i, name := range series {
		bars, err := plotter.NewBarChart(values[i], vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	return p.Save(plotWidth, plotHeight, path)
}

// newTable returns a writer of aligned columns on standard output.
func newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
}
