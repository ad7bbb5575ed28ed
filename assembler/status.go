package assembler

import (
	"bytes"
	"html/template"
	"net/http"
	"time"

	"briarspring/applier"
	"briarspring/scheduler"
)

// statusData is the input of the status page's template.
type statusData struct {
	Name        string
	Time        string
	Metrics     scheduler.Metrics
	DataCentres []*applier.DataCentre
	Services    []*applier.Workload
	Jobs        []*applier.Workload
	Workers     []*applier.Worker
	Decisions   []scheduler.Decision
}

const (
	maxStatusDecisions = 50
	maxStatusJobs      = 200
)

var statusTemplate = template.Must(template.New("status").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;margin:1.5em}table{border-collapse:collapse;margin-bottom:1.5em}
td,th{border:1px solid #999;padding:.2em .6em;text-align:left}</style></head><body>
<h1>{{.Name}} in {{.Metrics.DataCentre}}</h1>
<p>{{.Time}}. {{if .Metrics.Owner}}Owns this data centre's workers{{else}}Follows {{.Metrics.OwnerName}}{{end}},
epoch {{.Metrics.Epoch}}, configuration {{.Metrics.ConfigOffset}}, placement {{.Metrics.PlacementOffset}}.</p>
<h2>Data centres</h2><table><tr><th>Name</th><th>State</th><th>Owner</th><th>Workers</th><th>Committed</th><th>Capacity</th></tr>
{{range .DataCentres}}<tr><td>{{.Name}}</td><td>{{if .Out}}out of service{{else}}in service{{end}}</td><td>{{.Summary.Owner}}</td>
<td>{{.Summary.Workers}}</td><td>{{.Summary.Committed}}</td><td>{{.Summary.Capacity}}</td></tr>{{end}}</table>
<h2>Services</h2><table><tr><th>Name</th><th>Team</th><th>Prefix</th><th>Executors</th><th>Running</th></tr>
{{range .Services}}<tr><td>{{.Name}}</td><td>{{.Team}}</td><td>{{.Service.Prefix}}</td><td>{{.Service.Executors}}</td><td>{{.Totals.Running}}</td></tr>{{end}}</table>
<h2>Jobs</h2><table><tr><th>Name</th><th>Team</th><th>Class</th><th>Weight</th><th>Tasks</th><th>Running</th><th>Done</th><th>Failed</th><th>Evictions</th></tr>
{{range .Jobs}}<tr><td>{{.Name}}</td><td>{{.Team}}</td><td>{{.Job.Class}}</td><td>{{.Job.Weight}}</td><td>{{.Job.Tasks}}</td>
<td>{{.Totals.Running}}</td><td>{{.Totals.Done}}</td><td>{{.Totals.Failed}}</td><td>{{.Totals.Evictions}}</td></tr>{{end}}</table>
<h2>Workers here</h2><table><tr><th>Name</th><th>Rack</th><th>State</th><th>Tasks</th><th>Committed</th><th>Capacity</th></tr>
{{range .Workers}}<tr><td>{{.Name}}</td><td>{{.Rack}}</td><td>{{if .Gone}}gone{{else}}live{{end}}</td><td>{{.Len}}</td><td>{{.Committed}}</td><td>{{.Capacity}}</td></tr>{{end}}</table>
<h2>Last decisions</h2><table><tr><th>Time</th><th>Decision</th><th>Task</th><th>Worker</th><th>Reason</th></tr>
{{range .Decisions}}<tr><td>{{.Time.Format "15:04:05.000"}}</td><td>{{.Kind}}</td><td>{{.Name}}/{{.Attempt.Task.Index}}#{{.Attempt.Attempt}}</td><td>{{.Worker}}</td><td>{{.Reason}}</td></tr>{{end}}</table>
</body></html>
`))

// statusPage returns the handler of a read-only page of a scheduler's state.
func statusPage(engine *scheduler.Scheduler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		d := statusData{
			Name: engine.Name(), Time: time.Now().Format(time.DateTime),
			Metrics: engine.Metrics(), Decisions: engine.LastDecisions(maxStatusDecisions),
		}
		var page bytes.Buffer
		var err error
		engine.ReadStates(func(conf *applier.Config, place *applier.Placement) {
			d.DataCentres = conf.DataCentres()
			d.Services = conf.Services()
			d.Jobs = conf.Jobs()
			d.Jobs = d.Jobs[max(0, len(d.Jobs)-maxStatusJobs):]
			d.Workers = place.Workers()
			err = statusTemplate.Execute(&page, d)
		})
		if err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
		rw.Header().Set("Content-Type", "text/html; charset=utf-8")
		rw.Write(page.Bytes()) //nolint:errcheck // The client disconnected.
	})
}
