package encoder_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
)

func TestDirectoryCopy(t *testing.T) {
	for name, r := range map[string]briarspring.KeyedRecord{
		"a value":       {Key: "queues", Value: bytes.Repeat([]byte("queue "), 5000), Offset: 300},
		"a dropped key": {Key: "out/tartu", Value: []byte{}, Offset: 0},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := encoder.EncodeDirectoryCopy(r)
			require.NoError(t, err)
			assert.Less(t, len(data), 500)
			got, err := encoder.DecodeDirectoryCopy(r.Key, data)
			require.NoError(t, err)
			assert.Equal(t, r, got)
		})
	}
}

func FuzzDecodeDirectoryCopy(f *testing.F) {
	data, err := encoder.EncodeDirectoryCopy(briarspring.KeyedRecord{Value: []byte("{}"), Offset: 7})
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:2])
	f.Add([]byte{1, 0xff})
	f.Add([]byte{2})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := encoder.DecodeDirectoryCopy("queues", data); err != nil {
			var malformed *encoder.MalformedError
			assert.ErrorAs(t, err, &malformed)
		}
	})
}
