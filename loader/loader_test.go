package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/loader"
	"briarspring/platform"
)

func TestExamplesAreRight(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.settings.ini")
	require.NoError(t, err)
	require.Len(t, files, 16)
	for _, f := range files {
		s, err := loader.Load(f)
		require.NoError(t, err)
		assert.Equal(t, filepath.Base(filepath.Dir(f)), s.Process.DataCentre)
	}
}

func TestReferenceIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	assert.Equal(t, loader.Reference()+platform.Reference(), string(page), "regenerate it: briarspring check-settings --reference > docs/settings.md")
}

func TestFaults(t *testing.T) {
	example, err := os.ReadFile("../examples/tartu/tartu-1.settings.ini")
	require.NoError(t, err)
	tests := []struct {
		name, old, new, want string
	}{
		{"unknown key", "[gateway]\n", "[gateway]\ncolour = red\n", "[gateway] colour = red: unknown key"},
		{"unknown section", "[gateway]\n", "[kitchen]\nx = 1\n[gateway]\n", "[kitchen]: unknown section"},
		{"missing key", "data-centre = tartu\n", "", "[process] data-centre: is missing"},
		{"host name instead of an IP address", "log-address = 127.0.0.1:", "log-address = localhost:", "expected an IP address and port"},
		{"seat out of range", "seat = 0", "seat = 7", "[gateway] seat = 7: a number below seats"},
		{"bad duration", "[gateway]\n", "[gateway]\ndefault-timeout = soon\n", "expected a duration above zero"},
		{"contradiction", "[gateway]\n", "[gateway]\ndefault-timeout = 2m\n", "at most max-timeout"},
		{"short lease", "[scheduler]\n", "[scheduler]\nlease = 2s\n", "at least three times exchange-interval"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(string(example), tt.old, tt.new, 1)
			require.NotEqual(t, string(example), text)
			_, err := loader.Parse("tartu.ini", []byte(text))
			var faults *loader.FaultsError
			require.ErrorAs(t, err, &faults)
			assert.Contains(t, err.Error(), tt.want)
			assert.Contains(t, err.Error(), "tartu.ini: ")
		})
	}
	t.Run("all faults at once", func(t *testing.T) {
		_, err := loader.Parse("empty.ini", nil)
		var faults *loader.FaultsError
		require.ErrorAs(t, err, &faults)
		assert.Greater(t, len(faults.Faults), 10)
	})
}

// FuzzParse checks that Parse does not panic on any settings file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[process]\nname = a\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loader.Parse("fuzz", data)
	})
}
