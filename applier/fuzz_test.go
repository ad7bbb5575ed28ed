package applier_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/applier"
	"briarspring/encoder"
)

// FuzzRestorePlacement checks that the decoder of placement snapshots returns an
// error or a usable state for any input.
func FuzzRestorePlacement(f *testing.F) {
	s := newStream(&testing.T{})
	s.apply(owner, 1, start(0, 1, 1))
	data, err := s.placement.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := applier.RestorePlacement(data)
		if err != nil {
			return
		}
		_, err = p.Snapshot()
		assert.NoError(t, err)
	})
}

// FuzzRestoreConfig does the same for configuration snapshots.
func FuzzRestoreConfig(f *testing.F) {
	c := newCommands(&testing.T{})
	data, err := c.conf.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := applier.RestoreConfig(data)
		if err != nil {
			return
		}
		_, err = c.Snapshot()
		assert.NoError(t, err)
	})
}

// FuzzApply applies arbitrary decodable records and checks that no worker is
// overcommitted.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0x0a, 0x01, 'w', 0x18, 0x01, 0x3a, 0x02, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := encoder.DecodeRecord(data)
		if err != nil {
			return
		}
		s := newStream(t)
		s.ok(owner, 1, start(0, 1, 1))
		r.Writer = owner
		r.Sequence = 1 << 40
		s.placement.Apply(s.placement.Applied()+1, r)
		newCommands(t).conf.Apply(100, r)
		for _, w := range s.placement.Workers() {
			assert.True(t, w.Committed().Fits(w.Capacity()))
		}
	})
}
