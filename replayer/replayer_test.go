package replayer_test

import (
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/placer"
	"briarspring/replayer"
)

// replay replays a trace in virtual time.
func replay(t *testing.T, trace replayer.Trace, rule placer.Rule) (m replayer.Measures) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		m, err = replayer.New(trace, rule, hclog.NewNullLogger()).Run(t.Context())
		require.NoError(t, err)
	})
	return m
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../traces/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			trace, err := replayer.Load(file)
			require.NoError(t, err)
			m := replay(t, trace, placer.RuleInterference)
			t.Logf("%+v", m)
			assert.Empty(t, trace.UnmetOutcomes(m))
		})
	}
}

// TestSameFigures replays each trace twice, beside all others, and requires the
// same measures.
func TestSameFigures(t *testing.T) {
	files, err := filepath.Glob("../traces/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		trace, err := replayer.Load(file)
		require.NoError(t, err)
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, replay(t, trace, placer.RuleInterference), replay(t, trace, placer.RuleInterference))
		})
	}
}
