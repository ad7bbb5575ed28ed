package cataloguer_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/cataloguer"
	"briarspring/registrar"
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

// Guards against a data centre that a copy takes out of service for good, since the host
// learnt that its key is gone before it read the copy.
func TestCopyOfADroppedRecord(t *testing.T) {
	t.Run("that the host has never heard of", func(t *testing.T) {
		s := newSharedStream(0)
		s.catalogue.Restore(nil, 9)
		s.read(copyOf(t, 4, "out/tartu", "{}"))
		assert.False(t, s.catalogue.OutOfService("tartu"))
		t.Run("is replaced in the shared stream", func(t *testing.T) {
			dropped := briarspring.KeyedRecord{Key: registrar.DirectoryKey("out/tartu", 4)}
			assertCopies(t, s, copyOf(t, 8, "out/tartu", ""), dropped)
			s.read(s.copier.Records(context.Background())...)
			assertCopies(t, s)
		})
		t.Run("and put back puts a host right that only knows the copy", func(t *testing.T) {
			other := newSharedStream(0)
			other.read(copyOf(t, 4, "out/tartu", "{}"), copyOf(t, 8, "out/tartu", ""))
			assert.False(t, other.catalogue.OutOfService("tartu"))
		})
	})
	t.Run("that was added and dropped again since the host heard of it", func(t *testing.T) {
		s := newSharedStream(0)
		s.change(2, "out/tartu", "{}")
		s.change(3, "out/tartu", "")
		s.catalogue.Restore(nil, 9)
		s.read(copyOf(t, 5, "out/tartu", "{}"))
		assert.False(t, s.catalogue.OutOfService("tartu"))
	})
	t.Run("does not hide a record that follows the restored ones", func(t *testing.T) {
		s := newSharedStream(0)
		s.catalogue.Restore(nil, 9)
		s.read(copyOf(t, 9, "out/tartu", "{}"))
		assert.True(t, s.catalogue.OutOfService("tartu"))
		s.change(9, "out/tartu", "{}")
		assert.True(t, s.catalogue.OutOfService("tartu"))
	})
	t.Run("does not hide a record that the restored ones name", func(t *testing.T) {
		s := newSharedStream(0)
		s.catalogue.Restore([]briarspring.KeyedRecord{{Key: "out/tartu", Value: []byte("{}"), Offset: 7}}, 9)
		s.read(copyOf(t, 4, "out/tartu", "{}"))
		assert.True(t, s.catalogue.OutOfService("tartu"))
		s.change(9, "out/tartu", "")
		assert.False(t, s.catalogue.OutOfService("tartu"))
	})
}
