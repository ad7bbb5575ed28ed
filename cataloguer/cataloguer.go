// Package cataloguer maintains the queues that operators have configured and
// the data centres that they have taken out of service.
package cataloguer

import (
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/encoder"
)

// Decoder decodes records of the directory stream.
type Decoder interface {
	// DecodeDirectory returns the queues that a record defines, and false for
	// records of another kind.
	DecodeDirectory(r briarspring.KeyedRecord) (briarspring.Directory, bool, error)
	// DecodeDirectoryCopy is the same for a record with a value of EncodeDirectory.
	DecodeDirectoryCopy(r briarspring.KeyedRecord) (briarspring.Directory, bool, error)
	// EncodeDirectory returns the value of a record that defines a directory. It has
	// digests in place of keys.
	EncodeDirectory(d briarspring.Directory) ([]byte, error)
	// DecodeOutKey returns the data centre that is out of service while the
	// record with this key exists, and false for records of another kind.
	DecodeOutKey(key string) (dataCentre string, ok bool)
}

// presentValue replaces the values of records whose presence alone counts: whatever else
// operators write there isn't copied.
const presentValue = "{}"

// Config holds the settings of a Catalogue.
type Config struct {
	Decoder  Decoder
	Logger   hclog.Logger
	OnChange func() // Called after every change; optional.
}

// Catalogue is the operators' configuration, as read from the directory stream and from
// the copies of its records in the shared stream. It implements tracker.Sink.
type Catalogue struct {
	config Config

	mu           sync.Mutex
	directory    briarspring.Directory
	index        *briarspring.KeyIndex              // Of the directory's keys.
	loaded       bool                               // There is a directory.
	read         bool                               // The directory stream itself was read.
	restoredEnd  uint64                             // See Restore; the records named all keys that existed there.
	records      map[string]briarspring.KeyedRecord // See Records.
	outOfService map[string]bool
}

// New returns a catalogue without queues.
func New(c Config) *Catalogue {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	return &Catalogue{config: c, index: briarspring.NewKeyIndex(nil), records: map[string]briarspring.KeyedRecord{}, outOfService: map[string]bool{}}
}

// Directory returns the current queues, and false before any were read from the
// directory stream: copies alone may be older than what an earlier process of this host
// has answered by.
func (c *Catalogue) Directory() (briarspring.Directory, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory, c.loaded && c.read
}

// Restored reports whether the directory stream itself was read. Before that, OutOfService
// knows copies alone, which lack what was changed while no host was running.
func (c *Catalogue) Restored() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// OutOfService reports whether a data centre is out of service.
func (c *Catalogue) OutOfService(dataCentre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outOfService[dataCentre]
}

// Records returns the newest known record of each key, with an empty value for keys that
// were dropped, in order of key. Directories are without keys.
func (c *Catalogue) Records() []briarspring.KeyedRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []briarspring.KeyedRecord
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		list = append(list, c.records[key])
	}
	return list
}

// Restore applies the latest record of every key. Keys without a record don't exist at
// end: their data centres return to service, and copies from before end don't count any
// more, whether the key was known or not.
func (c *Catalogue) Restore(records []briarspring.KeyedRecord, end uint64) {
	c.mu.Lock()
	c.read = true
	c.restoredEnd = max(c.restoredEnd, end)
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
		c.applyRecord(r, false)
	}
	for key, r := range c.records {
		if !present[key] && r.Offset < end && len(r.Value) > 0 {
			c.applyRecord(briarspring.KeyedRecord{Key: key, Offset: end - 1}, false)
		}
	}
	c.mu.Unlock()
	c.config.OnChange()
}

// Apply applies records in order.
func (c *Catalogue) Apply(records []briarspring.KeyedRecord) {
	c.mu.Lock()
	c.read = true
	for _, r := range records {
		c.applyRecord(r, false)
	}
	c.mu.Unlock()
	c.config.OnChange()
}

// ApplyCopy applies a copy of a record from the shared stream.
func (c *Catalogue) ApplyCopy(key string, value []byte) {
	offset, err := encoder.DecodeDirectoryCopyOffset(value)
	if err == nil && c.knows(key, offset) {
		return
	}
	r, err := encoder.DecodeDirectoryCopy(key, value)
	if err != nil {
		c.config.Logger.Warn("ignoring invalid copy of the directory", "key", key, "error", err)
		return
	}
	c.config.Logger.Info("directory record copied from the shared stream", "key", key, "offset", offset)
	c.mu.Lock()
	c.applyRecord(r, true)
	c.mu.Unlock()
	c.config.OnChange()
}

// knows reports whether the record of a key at an offset of the directory stream, or a
// later one, was applied.
func (c *Catalogue) knows(key string, offset uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[key]
	return ok && r.Offset >= offset
}

// applyRecord applies a record unless a later one of its key was applied: copies may
// arrive before the directory stream has been read up to their offset.
func (c *Catalogue) applyRecord(r briarspring.KeyedRecord, isCopy bool) {
	if known, ok := c.records[r.Key]; ok && r.Offset < known.Offset {
		return
	}
	if name, ok := c.config.Decoder.DecodeOutKey(r.Key); ok {
		if isCopy && c.dropped(r) {
			// The host's next append replaces the copy, for hosts that can't read the
			// directory stream and for those that only know the copy.
			c.config.Logger.Info("copy is of a record that was dropped since", "key", r.Key, "offset", r.Offset, "restored-end", c.restoredEnd)
			r = briarspring.KeyedRecord{Key: r.Key, Offset: c.restoredEnd - 1}
		}
		if len(r.Value) > 0 {
			r.Value = []byte(presentValue)
		}
		c.records[r.Key] = r
		c.setOutOfService(name, len(r.Value) > 0)
		return
	}
	decode := c.config.Decoder.DecodeDirectory
	if isCopy {
		decode = c.config.Decoder.DecodeDirectoryCopy
	}
	directory, ok, err := decode(r)
	if err != nil {
		c.config.Logger.Warn("ignoring invalid directory", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if !ok || c.loaded && directory.Version <= c.directory.Version {
		return
	}
	var conflicts []string
	var index *briarspring.KeyIndex
	directory.Organisations, index, conflicts = indexOrganisations(directory.Organisations)
	if r.Value, err = c.config.Decoder.EncodeDirectory(directory); err != nil {
		c.config.Logger.Error("ignoring directory that can't be encoded", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	c.config.Logger.Info("directory changed", c.changeFields(directory)...)
	c.warnOfConflicts(directory.Version, conflicts)
	c.directory, c.index, c.loaded = directory, index, true
	c.records[r.Key] = r
}

// dropped reports whether a copy is of a record whose key was dropped before the
// directory stream was restored: a record from before that would be known.
func (c *Catalogue) dropped(r briarspring.KeyedRecord) bool {
	return len(r.Value) > 0 && r.Offset < c.restoredEnd && len(c.records[r.Key].Value) == 0
}

// changeFields returns the fields of the log line about a new directory.
func (c *Catalogue) changeFields(d briarspring.Directory) []any {
	fields := []any{"version", d.Version, "before", c.directory.Version, "queues", len(d.Queues)}
	if d.KeysRequired || c.directory.KeysRequired {
		fields = append(fields, "organisations", len(d.Organisations), "keys-required", d.KeysRequired)
	}
	return fields
}

func (c *Catalogue) setOutOfService(name string, out bool) {
	if c.outOfService[name] == out {
		return
	}
	c.config.Logger.Info("data centre taken out of or returned to service", "data-centre", name, "out", out)
	if out {
		c.outOfService[name] = true
	} else {
		delete(c.outOfService, name)
	}
}
