// Package loader reads a process's settings from an INI file. It validates every
// key and reports all faults at once.
package loader

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the validated settings of an entry host. Each process uses the
// sections that apply to it.
type Settings struct {
	Process   Process
	Log       Log
	Platform  Platform
	TLS       TLS
	Scheduler Scheduler
	Gateway   Gateway
}

// Process holds the section [process].
type Process struct {
	Name       string
	DataCentre string
	StopTime   time.Duration
}

// Log holds the section [log].
type Log struct {
	Level  string
	Format string
}

// Platform holds the section [platform].
type Platform struct {
	LogAddress   string
	HostsAddress string
}

// TLS holds the section [tls].
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Scheduler holds the section [scheduler].
type Scheduler struct {
	AdminAddress     string
	OperatorsAddress string
	PeerAddress      string
	Peers            []string // Other schedulers of this data centre.
	Elsewhere        []string // Schedulers of other data centres.
	Lease            time.Duration
	OutageLease      time.Duration
	StartWindow      time.Duration
	ExchangeInterval time.Duration
	OwnerTimeout     time.Duration
	SnapshotInterval time.Duration
	SnapshotRecords  uint64
	EvictionsPerMin  int
	MaxBuffered      int64
	MaxConnections   int64
	StallTime        time.Duration
}

// Gateway holds the section [gateway].
type Gateway struct {
	AdminAddress   string
	Address        string
	Schedulers     []string
	Seat           int
	Seats          int
	Rule           string
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	MaxBody        int64
	MaxBuffered    int64
	MaxHeader      int64
	MaxConnections int64
	StallTime      time.Duration
	QueueLength    int
	RetryShare     float64
	CallerRate     float64
	NoticeTime     time.Duration
	Elsewhere      []DataCentreAddress
}

// DataCentreAddress is the address of a gateway in another data centre.
type DataCentreAddress struct {
	DataCentre string
	Address    string
}

// Fault is an error in a settings file.
type Fault struct {
	Section  string
	Key      string
	Value    string
	Expected string
}

// String formats the fault on one line.
func (f Fault) String() string {
	switch {
	case f.Key == "":
		return fmt.Sprintf("[%s]: %s", f.Section, f.Expected)
	case f.Value == "":
		return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Expected)
	}
	return fmt.Sprintf("[%s] %s = %s: %s", f.Section, f.Key, f.Value, f.Expected)
}

// FaultsError reports all faults of a settings file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error. It formats each fault on its own line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.File+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a file. Errors are *FaultsError.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return Settings{}, &FaultsError{File: path, Faults: []Fault{{Section: "file", Expected: err.Error()}}}
	}
	return check(path, file)
}

// Parse reads and validates settings from memory. Errors are *FaultsError.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return Settings{}, &FaultsError{File: name, Faults: []Fault{{Section: "file", Expected: err.Error()}}}
	}
	return check(name, file)
}

func check(name string, file *ini.File) (Settings, error) {
	var s Settings
	faults := unknownKeys(file)
	for _, k := range keys {
		if fault, ok := k.read(file, &s); !ok {
			faults = append(faults, fault)
		}
	}
	faults = append(faults, s.conflicts()...)
	if len(faults) > 0 {
		return Settings{}, &FaultsError{File: name, Faults: faults}
	}
	return s, nil
}

// unknownKeys returns faults for sections and keys that do not exist.
func unknownKeys(file *ini.File) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		known := sectionKeys(section.Name())
		if len(known) == 0 && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, Fault{
				Section: section.Name(), Expected: "unknown section, known are " + strings.Join(sectionNames(), ", "),
			})
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(known, key.Name()) {
				faults = append(faults, Fault{
					Section: section.Name(), Key: key.Name(), Value: key.Value(),
					Expected: "unknown key, known are " + strings.Join(known, ", "),
				})
			}
		}
	}
	return faults
}

// conflicts returns faults for settings that contradict each other.
func (s *Settings) conflicts() []Fault {
	var faults []Fault
	if s.Gateway.Seats > 0 && s.Gateway.Seat >= s.Gateway.Seats {
		faults = append(faults, Fault{
			Section: "gateway", Key: "seat", Value: fmt.Sprint(s.Gateway.Seat),
			Expected: fmt.Sprintf("a number below seats, which is %d", s.Gateway.Seats),
		})
	}
	if s.Gateway.DefaultTimeout > s.Gateway.MaxTimeout {
		faults = append(faults, Fault{
			Section: "gateway", Key: "default-timeout", Value: s.Gateway.DefaultTimeout.String(),
			Expected: "at most max-timeout, which is " + s.Gateway.MaxTimeout.String(),
		})
	}
	if s.Scheduler.Lease < 3*s.Scheduler.ExchangeInterval {
		faults = append(faults, Fault{
			Section: "scheduler", Key: "lease", Value: s.Scheduler.Lease.String(),
			Expected: "at least three times exchange-interval, which is " + s.Scheduler.ExchangeInterval.String(),
		})
	}
	return faults
}
