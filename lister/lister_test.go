package lister_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/lister"
)

// decoder uses the value as the data centre, and fails for "malformed".
type decoder struct{}

func (decoder) DecodeWorker(r briarspring.KeyedRecord) (briarspring.WorkerEntry, error) {
	if string(r.Value) == "malformed" {
		return briarspring.WorkerEntry{}, errors.New("malformed")
	}
	return briarspring.WorkerEntry{ID: r.Key, DataCentre: string(r.Value)}, nil
}

func record(key, value string) briarspring.KeyedRecord {
	return briarspring.KeyedRecord{Key: key, Value: []byte(value)}
}

func assertWorkers(t *testing.T, l *lister.List, want ...string) {
	t.Helper()
	list, known := l.Workers("tartu")
	assert.True(t, known)
	var ids []string
	for _, e := range list {
		ids = append(ids, e.ID)
	}
	assert.Equal(t, want, ids)
}

func TestList(t *testing.T) {
	l := lister.New(lister.Config{Decoder: decoder{}})
	_, known := l.Workers("tartu")
	assert.False(t, known, "before the list has been loaded")
	l.Restore([]briarspring.KeyedRecord{record("b", "tartu"), record("a", "tartu"), record("c", "voru"), record("d", "malformed")}, 4)
	assertWorkers(t, l, "a", "b")
	t.Run("drops what is gone or malformed", func(t *testing.T) {
		l.Apply([]briarspring.KeyedRecord{record("a", ""), record("b", "malformed"), record("e", "tartu")})
		assertWorkers(t, l, "e")
	})
	t.Run("accepts an entry that is valid again", func(t *testing.T) {
		l.Apply([]briarspring.KeyedRecord{record("b", "tartu")})
		assertWorkers(t, l, "b", "e")
	})
}
