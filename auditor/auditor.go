// Package auditor checks the operators' configuration before it is sent, and compares
// it with the version in force. It does no I/O.
package auditor

import (
	"fmt"
	"strconv"

	"briarspring"
)

// Level is how severe a finding is.
type Level uint8

// The levels of findings.
const (
	Note    Level = 1 // Worth knowing; nothing is wrong.
	Warning Level = 2 // Hosts accept it, but it can't have the effect that it seems to be meant for.
	Error   Level = 3 // Hosts ignore or refuse it.
)

// String returns the level in lower case.
func (l Level) String() string {
	names := [...]string{"", "note", "warning", "error"}
	if int(l) < len(names) {
		return names[l]
	}
	return "unknown"
}

// Finding is a result of the check. No field contains a key.
type Finding struct {
	Level   Level
	Subject string // The entry, for example `queue "orders"`.
	Text    string
}

// Draft is a configuration that isn't in force yet.
type Draft struct {
	Directory briarspring.Directory // What hosts would use of it; in the order of the record.
	// Weights holds the weights as written, by position in Directory.Organisations.
	// Organisations whose record has none are missing.
	Weights map[int]float64
	Faults  []Finding // What the decoder refuses or ignores.
	Refused bool      // Hosts refuse the whole record; Directory holds the entries that could be read.
}

// Config holds what a draft is checked against. All fields are optional.
type Config struct {
	Against      *briarspring.Directory    // The version in force.
	Workers      []briarspring.WorkerEntry // Workers by their entries.
	HasWorkers   bool                      // Workers is known; an empty list means that there are none.
	Task         briarspring.Resources     // A task of the usual size; zero fields aren't checked.
	Requirements []string                  // Labels that workflows require.
	// StartsWorkflowID reports whether a text can be the start of a workflow's ID in a
	// call's path, or all of it.
	StartsWorkflowID func(text string) bool
}

// Report is the result of a check.
type Report struct {
	Findings   []Finding
	Difference *Difference // Nil if there is nothing to compare with.
}

// Level returns the highest level of the findings, zero if there are none.
func (r Report) Level() Level {
	highest := Level(0)
	for _, f := range r.Findings {
		highest = max(highest, f.Level)
	}
	return highest
}

// Count returns the number of findings of a level.
func (r Report) Count(l Level) int {
	n := 0
	for _, f := range r.Findings {
		if f.Level == l {
			n++
		}
	}
	return n
}

// Check returns all findings about a draft: the decoder's, then those about the whole,
// the queues and the organisations, each in the order of the record.
func Check(d Draft, c Config) Report {
	a := &audit{config: c, draft: d, directory: d.Directory, keys: map[briarspring.KeyDigest]bool{}}
	a.addKeys(d.Directory)
	if c.Against != nil {
		a.addKeys(*c.Against)
	}
	a.findings = append(a.findings, d.Faults...)
	a.checkVersion()
	a.checkQueues()
	a.checkWorkers()
	a.checkOrganisations()
	r := Report{Findings: a.findings}
	if c.Against != nil {
		r.Difference = a.compare(*c.Against, d.Directory)
	}
	return r
}

// audit is the state of one check.
type audit struct {
	config    Config
	draft     Draft
	directory briarspring.Directory
	keys      map[briarspring.KeyDigest]bool // Keys of either version.
	findings  []Finding
}

func (a *audit) addKeys(d briarspring.Directory) {
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			a.keys[k] = true
		}
	}
}

func (a *audit) add(l Level, subject, format string, args ...any) {
	a.findings = append(a.findings, Finding{Level: l, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// hidden replaces text of a record that is a key: names and keys are easily swapped when
// a record is edited by hand.
const hidden = "(a key)"

// show returns a text of the record for output, without keys.
func (a *audit) show(text string) string {
	if a.keys[briarspring.DigestKey(text)] {
		return hidden
	}
	return text
}

// quote returns a text of the record for output, in quotes and without keys.
func (a *audit) quote(text string) string {
	if s := a.show(text); s == hidden {
		return s
	}
	return strconv.Quote(text)
}

func (a *audit) checkVersion() {
	const subject = "configuration"
	if in := a.config.Against; in != nil && a.directory.Version <= in.Version {
		a.add(Error, subject, "version %d is not above version %d in force: hosts ignore it", a.directory.Version, in.Version)
	} else if a.directory.Version == 0 {
		a.add(Error, subject, "the version is missing or zero: hosts that have read any version ignore it")
	}
	if len(a.directory.Queues) == 0 && !a.draft.Refused {
		a.add(Warning, subject, "there is no queue: every call is refused")
	}
}
