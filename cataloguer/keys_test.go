package cataloguer_test

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/cataloguer"
	"briarspring/encoder"
	"briarspring/imitator"
)

func keyedRecord(t *testing.T, version, offset uint64, organisations ...briarspring.Organisation) briarspring.KeyedRecord {
	r, err := imitator.DirectoryRecord(briarspring.Directory{Version: version, KeysRequired: true, Organisations: organisations})
	require.NoError(t, err)
	r.Offset = offset
	return r
}

func organisation(name string, keys ...string) briarspring.Organisation {
	o := briarspring.Organisation{Name: name, Weight: 1}
	for _, k := range keys {
		o.Keys = append(o.Keys, briarspring.DigestKey(k))
	}
	return o
}

func assertOrganisation(t *testing.T, c *cataloguer.Catalogue, key, want string) {
	t.Helper()
	_, index, _ := c.Snapshot()
	name, known := index.Organisation(briarspring.DigestKey(key))
	assert.Equal(t, want, name)
	assert.Equal(t, want != "", known)
}

// Guards against keys that change hands, or organisations that get into each other's
// place, by a mistake in the operators' record.
func TestOrganisationsInConflict(t *testing.T) {
	var lines bytes.Buffer
	c := cataloguer.New(cataloguer.Config{
		Decoder: imitator.Decoder{}, Logger: hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true}),
	})
	c.Apply([]briarspring.KeyedRecord{keyedRecord(t, 1, 0,
		organisation("acme", "k1", "k1", "shared"), organisation("birch", "shared", "k2"), organisation("acme", "k3"), organisation("", "k4"))})
	assertOrganisation(t, c, "k1", "acme")
	assertOrganisation(t, c, "shared", "acme")
	assertOrganisation(t, c, "k2", "birch")
	assertOrganisation(t, c, "k3", "")
	assertOrganisation(t, c, "k4", "")
	d, index, _ := c.Snapshot()
	assert.Equal(t, []briarspring.Organisation{organisation("acme", "k1", "shared"), organisation("birch", "k2")}, d.Organisations)
	assert.Contains(t, lines.String(), "acme and birch")
	assert.NotContains(t, lines.String(), "shared")
	t.Run("and the index is built once for each version", func(t *testing.T) {
		c.Apply([]briarspring.KeyedRecord{keyedRecord(t, 1, 1, organisation("other", "k9"))})
		_, same, _ := c.Snapshot()
		assert.Same(t, index, same)
		c.Apply([]briarspring.KeyedRecord{keyedRecord(t, 2, 2, organisation("other", "k9"))})
		assertOrganisation(t, c, "k9", "other")
		assertOrganisation(t, c, "k1", "")
	})
}

// Guards against hosts that read a copy and follow other keys than those that read the
// directory itself.
func TestCopiesOfKeys(t *testing.T) {
	reader, copied := cataloguer.New(cataloguer.Config{Decoder: imitator.Decoder{}}), cataloguer.New(cataloguer.Config{Decoder: imitator.Decoder{}})
	copied.Apply([]briarspring.KeyedRecord{keyedRecord(t, 1, 0, organisation("acme", "old"))})
	reader.Apply([]briarspring.KeyedRecord{keyedRecord(t, 2, 5, organisation("acme", "new", "x"), organisation("birch", "x"))})
	value, err := encoder.EncodeDirectoryCopy(reader.Records()[0])
	require.NoError(t, err)
	copied.ApplyCopy("directory", value)
	want, _, _ := reader.Snapshot()
	got, _, _ := copied.Snapshot()
	assert.Equal(t, want, got)
	assertOrganisation(t, copied, "new", "acme")
	assertOrganisation(t, copied, "x", "acme")
	assertOrganisation(t, copied, "old", "")
}

// Guards against copies of what operators note in records whose presence alone counts.
func TestNotesOfOutOfServiceRecords(t *testing.T) {
	c := cataloguer.New(cataloguer.Config{Decoder: imitator.Decoder{}})
	c.Apply([]briarspring.KeyedRecord{{Key: "out/tartu", Value: []byte(`{"note":"key k1 was stolen here"}`)}, {Key: "out/voru"}})
	assert.True(t, c.OutOfService("tartu"))
	assert.False(t, c.OutOfService("voru"))
	assert.Equal(t, []briarspring.KeyedRecord{{Key: "out/tartu", Value: []byte("{}")}, {Key: "out/voru"}}, c.Records())
}
