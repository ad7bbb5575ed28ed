package cataloguer_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/cataloguer"
)

// decoder reads versions from "directory" and data centres from "out/NAME".
type decoder struct{}

func (decoder) DecodeDirectory(r briarspring.KeyedRecord) (briarspring.Directory, bool, error) {
	version, err := strconv.ParseUint(string(r.Value), 10, 64)
	if err != nil {
		return briarspring.Directory{}, false, errors.New("malformed")
	}
	return briarspring.Directory{Version: version}, r.Key == "directory", nil
}

func (d decoder) DecodeDirectoryCopy(r briarspring.KeyedRecord) (briarspring.Directory, bool, error) {
	return d.DecodeDirectory(r)
}

func (decoder) EncodeDirectory(d briarspring.Directory) ([]byte, error) {
	return strconv.AppendUint(nil, d.Version, 10), nil
}

func (decoder) DecodeOutKey(key string) (string, bool) { return strings.CutPrefix(key, "out/") }

func record(key, value string) briarspring.KeyedRecord {
	return briarspring.KeyedRecord{Key: key, Value: []byte(value)}
}

func assertVersion(t *testing.T, want uint64, c *cataloguer.Catalogue) {
	t.Helper()
	d, known := c.Directory()
	assert.True(t, known)
	assert.Equal(t, want, d.Version)
}

func TestCatalogue(t *testing.T) {
	t.Run("has no directory at first", func(t *testing.T) {
		_, known := cataloguer.New(cataloguer.Config{Decoder: decoder{}}).Directory()
		assert.False(t, known)
	})
	t.Run("never goes back to an older version", func(t *testing.T) {
		c := cataloguer.New(cataloguer.Config{Decoder: decoder{}})
		c.Apply([]briarspring.KeyedRecord{record("directory", "7"), record("directory", "5"), record("directory", "x")})
		assertVersion(t, 7, c)
		c.Restore([]briarspring.KeyedRecord{record("directory", "6")}, 9)
		assertVersion(t, 7, c)
	})
	t.Run("follows data centres out and back", func(t *testing.T) {
		c := cataloguer.New(cataloguer.Config{Decoder: decoder{}})
		c.Apply([]briarspring.KeyedRecord{record("out/tartu", "{}"), record("out/voru", "{}")})
		assert.True(t, c.OutOfService("tartu"))
		c.Apply([]briarspring.KeyedRecord{record("out/tartu", "")})
		assert.False(t, c.OutOfService("tartu"))
		c.Restore(nil, 9)
		assert.False(t, c.OutOfService("voru"), "a data centre without a record is in service")
	})
}
