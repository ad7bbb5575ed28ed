package imitator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"briarspring"
)

// Keys of the records in the directory stream.
const (
	keyDirectory = "directory"
	prefixOut    = "out/"
)

// directoryRecord is the stored form of the queues.
type directoryRecord struct {
	Version       uint64               `json:"version"`
	Queues        []queueRecord        `json:"queues"`
	KeysRequired  bool                 `json:"keys-required,omitempty"`
	Organisations []organisationRecord `json:"organisations,omitempty"`
}

type organisationRecord struct {
	Name         string   `json:"name"`
	KeyDigests   [][]byte `json:"key-digests,omitempty"`
	Weight       float64  `json:"weight,omitempty"`
	MilliCPU     int64    `json:"milli-cpu,omitempty"`
	MemoryMiB    int64    `json:"memory-mib,omitempty"`
	Accelerators int64    `json:"accelerators,omitempty"`
}

type queueRecord struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
	AllowanceMs int64   `json:"allowance-ms"`
	Public      bool    `json:"public,omitempty"`
}

// workerRecord is the stored form of a worker's entry.
type workerRecord struct {
	Service      string   `json:"service"`
	Address      string   `json:"address"`
	DataCentre   string   `json:"data-centre"`
	Rack         string   `json:"rack"`
	Labels       []string `json:"labels"`
	MilliCPU     int64    `json:"milli-cpu"`
	MemoryMiB    int64    `json:"memory-mib"`
	Accelerators int64    `json:"accelerators"`
	Draining     bool     `json:"draining"`
	Born         int64    `json:"born"`
}

// DirectoryRecord encodes a directory of queues and organisations as a record, which has
// digests only.
func DirectoryRecord(d briarspring.Directory) (briarspring.KeyedRecord, error) {
	value, err := Decoder{}.EncodeDirectory(d)
	return briarspring.KeyedRecord{Key: keyDirectory, Value: value}, err
}

// EncodeDirectory returns the value of a directory's record.
func (Decoder) EncodeDirectory(d briarspring.Directory) ([]byte, error) {
	m := directoryRecord{Version: d.Version, KeysRequired: d.KeysRequired}
	for _, q := range d.Queues {
		m.Queues = append(m.Queues, queueRecord{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority,
			MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, AllowanceMs: q.Allowance.Milliseconds(), Public: q.Public,
		})
	}
	for _, o := range d.Organisations {
		r := organisationRecord{
			Name: o.Name, Weight: o.Weight, MilliCPU: o.Limit.MilliCPU(), MemoryMiB: o.Limit.MemoryMiB(), Accelerators: o.Limit.Accelerators(),
		}
		for _, k := range o.Keys {
			r.KeyDigests = append(r.KeyDigests, k[:])
		}
		m.Organisations = append(m.Organisations, r)
	}
	return json.Marshal(m)
}

// OutOfServiceRecord returns the record that takes a data centre out of service
// or, if out is false, returns it to service.
func OutOfServiceRecord(dataCentre string, out bool) briarspring.KeyedRecord {
	r := briarspring.KeyedRecord{Key: prefixOut + dataCentre}
	if out {
		r.Value = []byte("{}")
	}
	return r
}

// WorkerRecord encodes a worker's entry as a record.
func WorkerRecord(e briarspring.WorkerEntry) (briarspring.KeyedRecord, error) {
	value, err := json.Marshal(workerRecord{
		Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Rack: e.Rack, Labels: e.Labels,
		MilliCPU: e.Capacity.MilliCPU(), MemoryMiB: e.Capacity.MemoryMiB(), Accelerators: e.Capacity.Accelerators(),
		Draining: e.Draining, Born: e.StartedAt,
	})
	return briarspring.KeyedRecord{Key: e.ID, Value: value}, err
}

// Decoder decodes the records of the stand-ins.
type Decoder struct{}

// DecodeDirectory decodes a directory of queues. It returns false for other
// records.
func (Decoder) DecodeDirectory(r briarspring.KeyedRecord) (briarspring.Directory, bool, error) {
	if r.Key != keyDirectory || len(r.Value) == 0 {
		return briarspring.Directory{}, false, nil
	}
	var m directoryRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return briarspring.Directory{}, false, err
	}
	d := briarspring.Directory{Version: m.Version, KeysRequired: m.KeysRequired}
	for _, q := range m.Queues {
		d.Queues = append(d.Queues, briarspring.Queue{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority,
			MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Allowance: time.Duration(q.AllowanceMs) * time.Millisecond,
			Public: q.Public,
		})
	}
	for _, r := range m.Organisations {
		o := briarspring.Organisation{Name: r.Name, Weight: r.Weight, Limit: briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryMiB, Accelerators: r.Accelerators,
		})}
		for _, digest := range r.KeyDigests {
			if len(digest) != len(briarspring.KeyDigest{}) {
				return briarspring.Directory{}, false, fmt.Errorf("a digest of %d bytes", len(digest))
			}
			o.Keys = append(o.Keys, briarspring.KeyDigest(digest))
		}
		d.Organisations = append(d.Organisations, o)
	}
	return d, true, nil
}

// DecodeDirectoryCopy decodes a copy of a directory, which has the same form.
func (d Decoder) DecodeDirectoryCopy(r briarspring.KeyedRecord) (briarspring.Directory, bool, error) {
	return d.DecodeDirectory(r)
}

// DecodeOutKey returns the data centre whose state a record with this key
// holds. It returns false for other keys.
func (Decoder) DecodeOutKey(key string) (string, bool) { return strings.CutPrefix(key, prefixOut) }

// DecodeWorker decodes a worker's entry.
func (Decoder) DecodeWorker(r briarspring.KeyedRecord) (briarspring.WorkerEntry, error) {
	var m workerRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return briarspring.WorkerEntry{}, err
	}
	return briarspring.WorkerEntry{
		ID: r.Key, Service: m.Service, Address: m.Address, DataCentre: m.DataCentre, Rack: m.Rack, Labels: m.Labels,
		Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU: m.MilliCPU, MemoryMiB: m.MemoryMiB, Accelerators: m.Accelerators,
		}),
		Draining: m.Draining, StartedAt: m.Born,
	}, nil
}
