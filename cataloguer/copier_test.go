package cataloguer_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/cataloguer"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/replicator"
)

// sharedStream is a shared stream with one host that writes to it and reads it.
type sharedStream struct {
	catalogue *cataloguer.Catalogue
	replica   *replicator.Replica
	copier    *cataloguer.Copier
	end       uint64
}

func newSharedStream(maxRecordBytes int) *sharedStream {
	s := &sharedStream{catalogue: cataloguer.New(cataloguer.Config{Decoder: decoder{}})}
	s.replica = replicator.New(replicator.Config{Directory: s.catalogue, Now: func() time.Duration { return 0 }})
	s.copier = cataloguer.NewCopier(cataloguer.CopierConfig{Catalogue: s.catalogue, Replica: s.replica, MaxRecordBytes: maxRecordBytes})
	return s
}

// change applies a record of the directory stream.
func (s *sharedStream) change(offset uint64, key, value string) {
	s.catalogue.Apply([]briarspring.KeyedRecord{{Key: key, Value: []byte(value), Offset: offset}})
}

// read passes records of the shared stream to the replica.
func (s *sharedStream) read(records ...briarspring.KeyedRecord) {
	for _, r := range records {
		r.Offset = s.end
		s.end++
		s.replica.Apply([]briarspring.KeyedRecord{r})
	}
}

func copyOf(t *testing.T, offset uint64, key, value string) briarspring.KeyedRecord {
	data, err := encoder.EncodeDirectoryCopy(briarspring.KeyedRecord{Value: []byte(value), Offset: offset})
	require.NoError(t, err)
	return briarspring.KeyedRecord{Key: registrar.DirectoryKey(key, offset), Value: data}
}

func assertCopies(t *testing.T, s *sharedStream, want ...briarspring.KeyedRecord) {
	t.Helper()
	assert.Equal(t, want, s.copier.Records(context.Background()))
}

func TestCopier(t *testing.T) {
	t.Run("copies what the shared stream lacks", func(t *testing.T) {
		s := newSharedStream(0)
		assertCopies(t, s)
		s.change(3, "directory", "7")
		s.change(4, "out/tartu", "{}")
		assertCopies(t, s, copyOf(t, 3, "directory", "7"), copyOf(t, 4, "out/tartu", "{}"))
		s.read(s.copier.Records(context.Background())...)
		assertCopies(t, s)
		s.change(5, "out/tartu", "")
		dropped := briarspring.KeyedRecord{Key: registrar.DirectoryKey("out/tartu", 4)}
		assertCopies(t, s, copyOf(t, 5, "out/tartu", ""), dropped)
		s.read(s.copier.Records(context.Background())...)
		assertCopies(t, s)
	})
	t.Run("a copy that is stored and not read yet isn't repeated", func(t *testing.T) {
		s := newSharedStream(0)
		s.change(3, "directory", "7")
		copies := s.copier.Records(context.Background())
		s.copier.Stored(copies, 1)
		assertCopies(t, s)
		s.read(copies...)
		assertCopies(t, s)
	})
	// A host that can't read the shared stream goes on copying what it knows.
	t.Run("an older copy that is stored last hides no newer one", func(t *testing.T) {
		ahead, behind := newSharedStream(0), newSharedStream(0)
		ahead.change(3, "directory", "7")
		behind.change(2, "directory", "6")
		newest := map[string]briarspring.KeyedRecord{}
		for i, r := range slices.Concat(ahead.copier.Records(context.Background()), behind.copier.Records(context.Background())) {
			r.Offset = uint64(i)
			newest[r.Key] = r
		}
		s := newSharedStream(0)
		s.change(1, "directory", "5")
		s.replica.Restore(slices.Collect(maps.Values(newest)), 2)
		assertVersion(t, 7, s.catalogue)
	})
	t.Run("a copy that is stored late is dropped with the next change", func(t *testing.T) {
		s := newSharedStream(0)
		s.change(3, "directory", "7")
		s.read(copyOf(t, 3, "directory", "7"), copyOf(t, 2, "directory", "6"))
		assertVersion(t, 7, s.catalogue)
		assertCopies(t, s)
		s.change(4, "directory", "8")
		drop := func(offset uint64) briarspring.KeyedRecord {
			return briarspring.KeyedRecord{Key: registrar.DirectoryKey("directory", offset)}
		}
		assertCopies(t, s, copyOf(t, 4, "directory", "8"), drop(2), drop(3))
		s.read(s.copier.Records(context.Background())...)
		assertCopies(t, s)
	})
	t.Run("a directory that is too large is left out", func(t *testing.T) {
		s := newSharedStream(5)
		s.change(3, "directory", "7")
		assertCopies(t, s)
	})
}

func TestCopiesOfTheDirectory(t *testing.T) {
	t.Run("are in force before the directory stream has them", func(t *testing.T) {
		s := newSharedStream(0)
		s.change(3, "directory", "7")
		s.read(copyOf(t, 9, "directory", "8"), copyOf(t, 10, "out/tartu", "{}"))
		assertVersion(t, 8, s.catalogue)
		assert.True(t, s.catalogue.OutOfService("tartu"))
		s.change(4, "out/tartu", "")
		assert.True(t, s.catalogue.OutOfService("tartu"), "the record is older than the copy")
		s.catalogue.Restore(nil, 5)
		assert.True(t, s.catalogue.OutOfService("tartu"), "the restored state is older than the copy")
		s.catalogue.Restore(nil, 12)
		assert.False(t, s.catalogue.OutOfService("tartu"))
	})
	t.Run("alone answer no callers", func(t *testing.T) {
		s := newSharedStream(0)
		s.read(copyOf(t, 9, "directory", "8"), copyOf(t, 10, "out/tartu", "{}"), briarspring.KeyedRecord{Key: registrar.DirectoryKey("directory", 11), Value: []byte("x")})
		_, known := s.catalogue.Directory()
		assert.False(t, known)
		assert.True(t, s.catalogue.OutOfService("tartu"))
		s.catalogue.Restore([]briarspring.KeyedRecord{{Key: "directory", Value: []byte("8"), Offset: 9}}, 10)
		assertVersion(t, 8, s.catalogue)
	})
}
