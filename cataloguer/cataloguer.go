// Package cataloguer keeps the operators' queues and the data centres that are
// out of service.
package cataloguer

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Decoder turns a record of the directory stream into what it says.
type Decoder interface {
	// Directory returns the queues that a record puts in force; false for
	// records of another kind.
	Directory(r briarspring.KeyedRecord) (briarspring.Directory, bool, error)
	// OutOfService returns the data centre that a record takes out of service
	// while it exists; false for records of another kind.
	OutOfService(key string) (dataCentre string, ok bool)
}

// Config holds the settings of a Catalogue.
type Config struct {
	Decoder Decoder
	Logger  hclog.Logger
	Changed func() // Called after a change.
}

// Catalogue is the operators' configuration. It is a tracker's sink.
type Catalogue struct {
	config Config

	mu        sync.Mutex
	directory briarspring.Directory
	known     bool
	out       map[string]bool
}

// New returns a catalogue without queues.
func New(c Config) *Catalogue {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Catalogue{config: c, out: map[string]bool{}}
}

// Directory returns the queues in force; false before the first one was read.
func (c *Catalogue) Directory() (briarspring.Directory, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory, c.known
}

// Out reports whether a data centre is out of service.
func (c *Catalogue) Out(dataCentre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out[dataCentre]
}

// Restore takes the newest record of every key.
func (c *Catalogue) Restore(records []briarspring.KeyedRecord, _ uint64) {
	c.mu.Lock()
	before := c.out
	c.out = map[string]bool{}
	for _, r := range records {
		c.take(r)
	}
	for name := range before {
		if !c.out[name] {
			c.config.Logger.Info("data centre is back in service", "data-centre", name)
		}
	}
	c.mu.Unlock()
	c.config.Changed()
}

// Apply takes records in order.
func (c *Catalogue) Apply(records []briarspring.KeyedRecord) {
	c.mu.Lock()
	for _, r := range records {
		c.take(r)
	}
	c.mu.Unlock()
	c.config.Changed()
}

func (c *Catalogue) take(r briarspring.KeyedRecord) {
	if name, ok := c.config.Decoder.OutOfService(r.Key); ok {
		c.setOut(name, len(r.Value) > 0)
		return
	}
	directory, ok, err := c.config.Decoder.Directory(r)
	if err != nil {
		c.config.Logger.Warn("directory has no effect", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if !ok || c.known && directory.Version <= c.directory.Version {
		return
	}
	c.config.Logger.Info("directory in force", "version", directory.Version, "before", c.directory.Version, "queues", len(directory.Queues))
	c.directory = directory
	c.known = true
}

func (c *Catalogue) setOut(name string, out bool) {
	if c.out[name] == out {
		return
	}
	c.config.Logger.Info("data centre's service changed", "data-centre", name, "out", out)
	if out {
		c.out[name] = true
	} else {
		delete(c.out, name)
	}
}
