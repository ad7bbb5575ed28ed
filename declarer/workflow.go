package declarer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"briarspring"
)

// Kinds of sections in a file that declares a workflow.
const (
	sectionWorkflow = "workflow"
	sectionStep     = "step"
)

// LoadWorkflow reads a file that declares one workflow: a section such as
// [workflow receipt-1] followed by a section for each step, starting with
// [step 0]. Errors are *ObjectError.
func LoadWorkflow(path string) (briarspring.Workflow, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return briarspring.Workflow{}, &ObjectError{File: path, Reason: err.Error()}
	}
	return parseWorkflow(path, file)
}

// ParseWorkflow reads a workflow from memory. Errors are *ObjectError.
func ParseWorkflow(name string, data []byte) (briarspring.Workflow, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return briarspring.Workflow{}, &ObjectError{File: name, Reason: err.Error()}
	}
	return parseWorkflow(name, file)
}

// parseWorkflow returns the workflow that a file declares.
func parseWorkflow(path string, file *ini.File) (briarspring.Workflow, error) {
	var w briarspring.Workflow
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if err := addSection(&w, section); err != nil {
			return briarspring.Workflow{}, &ObjectError{File: path, Section: section.Name(), Reason: err.Error()}
		}
	}
	if w.ID == "" || len(w.Steps) == 0 {
		return briarspring.Workflow{}, &ObjectError{File: path, Reason: "expected a section such as [workflow receipt-1] and one such as [step 0]"}
	}
	if err := w.Check(); err != nil {
		return briarspring.Workflow{}, &ObjectError{File: path, Reason: err.Error()}
	}
	return w, nil
}

// addSection adds the workflow header or the step that a section declares to w.
func addSection(w *briarspring.Workflow, section *ini.Section) error {
	kind, name, _ := strings.Cut(section.Name(), " ")
	r := &reader{section: section}
	switch {
	case kind == sectionWorkflow && w.ID == "":
		id, err := briarspring.NewWorkflowID(name)
		if err != nil {
			return err
		}
		w.ID = id
		w.Queue = r.required("queue")
		w.Specification = r.text("specification", "")
		w.Recurrence = r.recurrence()
	case kind == sectionStep && w.ID != "" && name == strconv.Itoa(len(w.Steps)):
		w.Steps = append(w.Steps, r.step(len(w.Steps)))
	default:
		return fmt.Errorf("expected one [workflow NAME], then [step 0], [step 1] and so on")
	}
	if r.fault != nil {
		return r.fault
	}
	return r.unknownKey()
}

func (r *reader) step(number int) briarspring.Step {
	return briarspring.Step{
		Tasks: int(r.count("tasks", "1")), Resources: r.resources(""), Estimate: r.optionalDuration("estimate"),
		After: r.earlierSteps("after", number), Requirement: r.text("requirement", ""), Rack: r.text("rack", ""),
		Image: r.text("image", ""), MaxPerWorker: int(r.count("max-per-worker", "0")),
		TailTarget: r.optionalDuration("tail-target"), Checkpoints: r.flag("checkpoints"),
		Speculative: r.flag("speculative"), LongRunning: r.flag("lasting"), BestEffort: r.flag("fills"),
		Gang: r.flag("gang"), OneRack: r.flag("one-rack"), MaxMissing: int(r.count("max-missing", "0")),
	}
}

// recurrence returns the schedule on which the steps run, or the zero value if
// the section has none of the three keys.
func (r *reader) recurrence() briarspring.Recurrence {
	c := briarspring.Recurrence{Times: int(r.count("times", "0")), Interval: r.optionalDuration("every")}
	first := r.text("first-due", "")
	if c.Times == 0 {
		if first != "" || c.Interval != 0 {
			r.fail("times", "0", "how often the steps run, beside first-due and every")
		}
		return briarspring.Recurrence{}
	}
	at, err := time.Parse(time.RFC3339, first)
	if err != nil {
		r.fail("first-due", first, "a time such as 2026-12-04T22:00:00Z")
	}
	c.First = at
	return c
}

// required returns the value of a key and records a fault if there is none.
func (r *reader) required(name string) string {
	v := r.text(name, "")
	if v == "" {
		r.fail(name, v, "a value")
	}
	return v
}

// optionalDuration returns the duration of a key, or zero if the key is missing.
func (r *reader) optionalDuration(name string) time.Duration {
	if !r.section.HasKey(name) {
		r.known = append(r.known, name)
		return 0
	}
	return r.duration(name)
}

func (r *reader) flag(name string) bool {
	v := r.text(name, "false")
	set, err := strconv.ParseBool(v)
	if err != nil {
		r.fail(name, v, "true or false")
	}
	return set
}

// earlierSteps returns a list of step numbers, all of which must be lower than
// step.
func (r *reader) earlierSteps(name string, step int) []int {
	v := r.text(name, "")
	if v == "" {
		return nil
	}
	var list []int
	for _, field := range strings.Split(v, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 || n >= step {
			r.fail(name, v, "numbers of earlier steps, such as 0, 1")
		}
		list = append(list, n)
	}
	return list
}
