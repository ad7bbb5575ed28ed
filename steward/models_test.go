package steward

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
	"briarspring/imitator"
)

func modelRecord(t *testing.T, dataCentre, serving string) briarspring.KeyedRecord {
	value, err := encoder.EncodeInterferenceModels([]briarspring.InterferenceModel{{Serving: serving}})
	require.NoError(t, err)
	return briarspring.KeyedRecord{Key: dataCentre, Value: value}
}

func assertServing(t *testing.T, m *modelReader, want ...string) {
	t.Helper()
	models, err := m.read(t.Context())
	require.NoError(t, err)
	var got []string
	for _, model := range models {
		got = append(got, model.Serving)
	}
	assert.Equal(t, want, got)
}

// Guards against owners that miss what others have learned since their last read, and
// against a record that hides those after it.
func TestModelReader(t *testing.T) {
	store := imitator.NewKeyedStore(1)
	m := newModelReader(store.Client("host-1"), hclog.NewNullLogger())
	assertServing(t, m)
	store.Put(briarspring.ModelsStream, modelRecord(t, "voru", "b"), modelRecord(t, "tartu", "a"))
	assertServing(t, m, "a", "b")
	store.Put(briarspring.ModelsStream, briarspring.KeyedRecord{Key: "tartu", Value: []byte{0xff}}, modelRecord(t, "voru", "c"))
	assertServing(t, m, "a", "c")
	store.Put(briarspring.ModelsStream, modelRecord(t, "tartu", "d"))
	store.TrimHistory()
	assertServing(t, m, "d", "c")
}
