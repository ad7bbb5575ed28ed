// Package replayer replays a recorded trace against the schedulers of a whole
// system, with stand-ins for the platform in one process, and compares the
// measures with the outcomes that the trace requires.
package replayer

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Duration is a time.Duration written as "250ms" in a trace.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Trace is a recording of a system's events, with the outcomes that a replay must
// have.
type Trace struct {
	Name        string       `json:"name"`
	Firm        string       `json:"firm"`
	About       string       `json:"about"`
	Seed        uint64       `json:"seed"`
	DataCentres []DataCentre `json:"data-centres"`
	Length      Duration     `json:"length"`
	MeasureFrom Duration     `json:"measure-from"`
	MeasureTo   Duration     `json:"measure-to"`
	ReportLag   Duration     `json:"report-lag"`
	Events      []Event      `json:"events"`
	Outcomes    []Outcome    `json:"outcomes"`
}

// DataCentre is a data centre of a trace.
type DataCentre struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
	PerRack int    `json:"per-rack"`
}

// Kinds of events.
const (
	KindObjects    = "objects"     // Operators apply declared objects.
	KindCancel     = "cancel"      // Operators cancel jobs.
	KindTakeOut    = "take-out"    // Operators take a data centre out.
	KindReturn     = "return"      // Operators bring a data centre back.
	KindKillWorker = "kill-worker" // A worker dies.
	KindKillRack   = "kill-rack"   // All workers of a rack die.
	KindOutage     = "log-outage"  // The log is down for the event's length.
	KindKillOwner  = "kill-owner"  // The scheduler that owns a data centre is stopped and restarted.
)

// Event is an event at a time since the start of the trace.
type Event struct {
	At     Duration `json:"at"`
	Kind   string   `json:"kind"`
	Text   string   `json:"text,omitempty"`   // Objects, in the format of package declarer.
	Names  []string `json:"names,omitempty"`  // Names of jobs.
	Target string   `json:"target,omitempty"` // Name of a data centre, worker or rack.
	Length Duration `json:"length,omitempty"` // Duration of an outage.
}

// Outcome is a bound on one measure of the replay.
type Outcome struct {
	Measure string   `json:"measure"`
	AtMost  *float64 `json:"at-most,omitempty"`
	AtLeast *float64 `json:"at-least,omitempty"`
	Source  string   `json:"source"` // Guarantee or target that the bound comes from.
}

// TraceError reports a trace file that can't be read or is not valid.
type TraceError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *TraceError) Error() string { return e.File + ": " + e.Reason }

var validKinds = map[string]bool{
	KindObjects: true, KindCancel: true, KindTakeOut: true, KindReturn: true,
	KindKillWorker: true, KindKillRack: true, KindOutage: true, KindKillOwner: true,
}

// Load reads and validates a trace. Errors are *TraceError.
func Load(path string) (Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return Trace{}, &TraceError{File: path, Reason: err.Error()}
	}
	defer file.Close()
	var t Trace
	d := json.NewDecoder(file)
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return Trace{}, &TraceError{File: path, Reason: err.Error()}
	}
	if reason := t.validate(); reason != "" {
		return Trace{}, &TraceError{File: path, Reason: reason}
	}
	return t, nil
}

func (t Trace) validate() string {
	if len(t.DataCentres) == 0 || t.Length <= 0 || t.MeasureTo <= t.MeasureFrom || t.MeasureTo > t.Length {
		return "data centres, a length and a measuring period within it are required"
	}
	for i, e := range t.Events {
		if !validKinds[e.Kind] {
			return fmt.Sprintf("event %d has unknown kind %q", i, e.Kind)
		}
		if i > 0 && e.At < t.Events[i-1].At {
			return fmt.Sprintf("event %d is earlier than the event before it", i)
		}
	}
	for _, o := range t.Outcomes {
		if _, ok := (Measures{}).Get(o.Measure); !ok {
			return fmt.Sprintf("outcome has unknown measure %q", o.Measure)
		}
		if o.AtMost == nil && o.AtLeast == nil {
			return fmt.Sprintf("outcome for %s has no bound", o.Measure)
		}
	}
	return ""
}
