// Package declarer reads the services, jobs and quotas that operators declare
// in an INI file: a section for each object, such as [service ledger].
package declarer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"briarspring"
)

// The kinds of objects.
const (
	KindService = "service"
	KindJob     = "job"
	KindQuota   = "quota"
)

// Object is a declared object; exactly one field is not nil.
type Object struct {
	Service *briarspring.Service
	Job     *briarspring.Job
	Quota   *briarspring.Quota
}

// ObjectError reports an error in a file of objects.
type ObjectError struct {
	File    string
	Section string
	Reason  string
}

// Error implements error.
func (e *ObjectError) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Reason)
}

// Load reads a file. Errors are *ObjectError.
func Load(path string) ([]Object, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return nil, &ObjectError{File: path, Reason: err.Error()}
	}
	return parseObjects(path, file)
}

// Parse reads objects from memory. Errors are *ObjectError.
func Parse(name string, data []byte) ([]Object, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, &ObjectError{File: name, Reason: err.Error()}
	}
	return parseObjects(name, file)
}

// parseObjects returns the objects that the sections of a file declare.
func parseObjects(path string, file *ini.File) ([]Object, error) {
	var out []Object
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		o, err := parseObject(section)
		if err != nil {
			return nil, &ObjectError{File: path, Section: section.Name(), Reason: err.Error()}
		}
		out = append(out, o)
	}
	return out, nil
}

// parseObject returns the object that a section declares.
func parseObject(section *ini.Section) (Object, error) {
	kind, name, found := strings.Cut(section.Name(), " ")
	if !found {
		return Object{}, fmt.Errorf("expected a section such as [service ledger], [job index] or [quota team]")
	}
	r := &reader{section: section}
	var o Object
	var err error
	switch kind {
	case KindService:
		o, err = r.service(name)
	case KindJob:
		o, err = r.job(name)
	case KindQuota:
		o, err = r.quota(name)
	default:
		return Object{}, fmt.Errorf("unknown kind %q, expected service, job or quota", kind)
	}
	if r.fault != nil {
		return Object{}, r.fault
	}
	if err != nil {
		return Object{}, err
	}
	return o, r.unknownKey()
}

// reader reads the keys of a section and records the first fault.
type reader struct {
	section *ini.Section
	known   []string // Keys that were read, whether present or not.
	fault   error
}

// text returns the value of a key, or fallback if the key is missing.
func (r *reader) text(name, fallback string) string {
	r.known = append(r.known, name)
	if !r.section.HasKey(name) {
		return fallback
	}
	return strings.TrimSpace(r.section.Key(name).Value())
}

// fail records that a value is invalid, unless there is an earlier fault.
func (r *reader) fail(name, value, expected string) {
	if r.fault == nil {
		r.fault = fmt.Errorf("%s = %s: expected %s", name, value, expected)
	}
}

func (r *reader) count(name, fallback string) uint32 {
	v := r.text(name, fallback)
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		r.fail(name, v, "a whole number")
	}
	return uint32(n)
}

func (r *reader) duration(name string) time.Duration {
	v := r.text(name, "")
	d, err := time.ParseDuration(v)
	if err != nil {
		r.fail(name, v, "a duration such as 90s")
	}
	return d
}

func (r *reader) resources(fallback string) briarspring.Resources {
	cpu := r.text("cpu", fallback)
	cores, err := strconv.ParseFloat(cpu, 64)
	if err != nil || cores < 0 || cores > 1e6 {
		r.fail("cpu", cpu, "a number of cores such as 0.5")
	}
	memory := r.text("memory", fallback)
	mib, err := parseMemory(memory)
	if err != nil {
		r.fail("memory", memory, "an amount such as 512MiB or 2GiB")
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: int64(cores * briarspring.MilliCPUPerCore), MemoryMiB: mib,
		Accelerators: int64(r.count("accelerators", "0")),
	})
}

const mibPerGiB = 1024

// parseMemory returns an amount of memory in mebibytes. Without a unit, the
// number is in mebibytes.
func parseMemory(v string) (int64, error) {
	if number, ok := strings.CutSuffix(v, "GiB"); ok {
		n, err := strconv.ParseInt(number, 10, 32)
		return n * mibPerGiB, err
	}
	return strconv.ParseInt(strings.TrimSuffix(v, "MiB"), 10, 32)
}

func (r *reader) service(name string) (Object, error) {
	s, err := briarspring.NewService(briarspring.ServiceConfig{
		Name: name, Team: r.text("team", ""), Prefix: r.text("prefix", "/"+name+"/"),
		Resources: r.resources(""), Executors: r.count("executors", "1"),
		Slots: r.count("slots", "8"), Connections: r.count("connections", "64"),
		Command: r.text("command", ""),
	})
	return Object{Service: &s}, err
}

func (r *reader) job(name string) (Object, error) {
	j, err := briarspring.NewJob(briarspring.JobConfig{
		Name: name, Team: r.text("team", ""), Class: r.text("class", name), Tasks: r.count("tasks", "1"),
		Resources: r.resources(""), Weight: r.count("weight", "1"), RunTime: r.duration("run-time"),
		Command: r.text("command", ""), MaxTries: r.count("max-tries", "3"),
	})
	return Object{Job: &j}, err
}

func (r *reader) quota(name string) (Object, error) {
	q, err := briarspring.NewQuota(briarspring.QuotaConfig{
		Team: name, Resources: r.resources("0"), RequestsPerSecond: r.count("requests-per-second", "0"),
	})
	return Object{Quota: &q}, err
}

// unknownKey returns an error if the section has a key that was never read.
func (r *reader) unknownKey() error {
	for _, key := range r.section.Keys() {
		if !slices.Contains(r.known, key.Name()) {
			return fmt.Errorf("unknown key %s, known are %s", key.Name(), strings.Join(r.known, ", "))
		}
	}
	return nil
}
