// Package cataloguer maintains the queues that operators have configured and
// the data centres that they have taken out of service.
package cataloguer

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Decoder decodes records of the directory stream.
type Decoder interface {
	// DecodeDirectory returns the queues that a record defines, and false for
	// records of another kind.
	DecodeDirectory(r briarspring.KeyedRecord) (briarspring.Directory, bool, error)
	// DecodeOutKey returns the data centre that is out of service while the
	// record with this key exists, and false for records of another kind.
	DecodeOutKey(key string) (dataCentre string, ok bool)
}

// Config holds the settings of a Catalogue.
type Config struct {
	Decoder  Decoder
	Logger   hclog.Logger
	OnChange func() // Called after Restore and Apply; optional.
}

// Catalogue is the operators' configuration. It implements tracker.Sink.
type Catalogue struct {
	config Config

	mu           sync.Mutex
	directory    briarspring.Directory
	loaded       bool
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
	return &Catalogue{config: c, outOfService: map[string]bool{}}
}

// Directory returns the current queues, and false before any were loaded.
func (c *Catalogue) Directory() (briarspring.Directory, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory, c.loaded
}

// OutOfService reports whether a data centre is out of service.
func (c *Catalogue) OutOfService(dataCentre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outOfService[dataCentre]
}

// Restore applies the latest record of every key. Data centres without a record
// return to service.
func (c *Catalogue) Restore(records []briarspring.KeyedRecord, _ uint64) {
	c.mu.Lock()
	before := c.outOfService
	c.outOfService = map[string]bool{}
	for _, r := range records {
		c.applyRecord(r)
	}
	for name := range before {
		if !c.outOfService[name] {
			c.config.Logger.Info("data centre is back in service", "data-centre", name)
		}
	}
	c.mu.Unlock()
	c.config.OnChange()
}

// Apply applies records in order.
func (c *Catalogue) Apply(records []briarspring.KeyedRecord) {
	c.mu.Lock()
	for _, r := range records {
		c.applyRecord(r)
	}
	c.mu.Unlock()
	c.config.OnChange()
}

func (c *Catalogue) applyRecord(r briarspring.KeyedRecord) {
	if name, ok := c.config.Decoder.DecodeOutKey(r.Key); ok {
		c.setOutOfService(name, len(r.Value) > 0)
		return
	}
	directory, ok, err := c.config.Decoder.DecodeDirectory(r)
	if err != nil {
		c.config.Logger.Warn("ignoring invalid directory", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if !ok || c.loaded && directory.Version <= c.directory.Version {
		return
	}
	c.config.Logger.Info("directory changed", "version", directory.Version, "before", c.directory.Version, "queues", len(directory.Queues))
	c.directory = directory
	c.loaded = true
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
