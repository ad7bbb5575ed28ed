package cataloguer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// Replica is the host's copy of the shared state.
type Replica interface {
	View(f func(*registrar.Registry))
}

// CopierConfig holds the settings of a Copier.
type CopierConfig struct {
	Catalogue      *Catalogue
	Replica        Replica
	MaxRecordBytes int // Largest record that the log stores, with its key; zero for no limit.
	// Refresh reads what the shared stream has got so far; optional.
	Refresh func(ctx context.Context)
	Logger  hclog.Logger
}

// refreshTimeout bounds the read that precedes copies. It keeps hundreds of hosts that
// read the stream seldom from all copying one change, and costs the records that follow
// little if the stream can't be read.
const refreshTimeout = 200 * time.Millisecond

// Copier provides copies of the directory's records for the shared stream. A host's
// appends begin with the records that the stream lacks, so that a host that reads a
// decision has read the directory that it was made under. It implements
// appender.Prologue.
type Copier struct {
	config CopierConfig

	mu        sync.Mutex
	encoded   map[string]directoryCopy // By key in the directory stream.
	storedEnd uint64                   // Offset after the last copies that this host stored.
}

// directoryCopy is the encoded copy of a record.
type directoryCopy struct {
	offset   uint64 // Of the record in the directory stream.
	value    []byte
	tooLarge bool
	stored   bool // The shared stream has it, though perhaps not yet the replica.
}

// NewCopier returns a copier.
func NewCopier(c CopierConfig) *Copier {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Copier{config: c, encoded: map[string]directoryCopy{}}
}

// Records returns copies of the records that the shared stream lacks, and records that
// drop its older copies of the same keys.
func (c *Copier) Records(ctx context.Context) []briarspring.KeyedRecord {
	list := c.missing()
	if len(list) == 0 || c.config.Refresh == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	c.config.Refresh(ctx)
	return c.missing()
}

// missing returns the same by what was read so far.
func (c *Copier) missing() []briarspring.KeyedRecord {
	known := c.config.Catalogue.Records()
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []briarspring.KeyedRecord
	older := map[string][]uint64{}
	c.config.Replica.View(func(r *registrar.Registry) {
		for _, rec := range known {
			if c.lacks(r, rec) {
				missing = append(missing, rec)
				older[rec.Key] = slices.Clone(r.DirectoryCopies(rec.Key))
			}
		}
	})
	var list []briarspring.KeyedRecord
	for _, rec := range missing {
		e, ok := c.encode(rec)
		if !ok {
			continue
		}
		list = append(list, briarspring.KeyedRecord{Key: registrar.DirectoryKey(rec.Key, rec.Offset), Value: e.value})
		for _, offset := range older[rec.Key] {
			list = append(list, briarspring.KeyedRecord{Key: registrar.DirectoryKey(rec.Key, offset)})
		}
	}
	return list
}

// lacks reports whether the shared stream has no copy of a record or of a later one of
// the same key.
func (c *Copier) lacks(r *registrar.Registry, rec briarspring.KeyedRecord) bool {
	if e := c.encoded[rec.Key]; e.stored && e.offset == rec.Offset && r.Applied() < c.storedEnd {
		return false
	}
	copies := r.DirectoryCopies(rec.Key)
	if len(copies) == 0 {
		return len(rec.Value) > 0
	}
	return copies[len(copies)-1] < rec.Offset
}

// encode returns the copy of a record, and false if the log can't store it.
func (c *Copier) encode(rec briarspring.KeyedRecord) (directoryCopy, bool) {
	if e, ok := c.encoded[rec.Key]; ok && e.offset == rec.Offset {
		return e, !e.tooLarge
	}
	value, err := encoder.EncodeDirectoryCopy(rec)
	if err != nil {
		c.config.Logger.Error("directory can't be encoded", "key", rec.Key, "error", err)
		return directoryCopy{}, false
	}
	e := directoryCopy{offset: rec.Offset, value: value}
	bytes := 1 + len(registrar.DirectoryKey(rec.Key, rec.Offset)) + len(value)
	if e.tooLarge = c.config.MaxRecordBytes > 0 && bytes > c.config.MaxRecordBytes; e.tooLarge {
		c.config.Logger.Warn("the directory is too large to be copied", "key", rec.Key, "bytes", bytes)
	}
	c.encoded[rec.Key] = e
	return e, !e.tooLarge
}

// Stored records that the shared stream has what Records returned.
func (c *Copier) Stored(records []briarspring.KeyedRecord, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		key, offset, _ := registrar.ParseDirectoryKey(r.Key)
		if e := c.encoded[key]; len(r.Value) > 0 && e.offset == offset {
			e.stored = true
			c.encoded[key] = e
		}
	}
	c.storedEnd = max(c.storedEnd, next)
}
