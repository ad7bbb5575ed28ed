package declarer_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/declarer"
)

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.objects.ini")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		objects, err := declarer.Load(f)
		require.NoError(t, err)
		for _, o := range objects {
			again, err := declarer.Parse("again", []byte(declarer.Format(o)))
			require.NoError(t, err)
			assert.Equal(t, []declarer.Object{o}, again)
		}
	}
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no kind", "[ledger]\n", "expected a section such as"},
		{"unknown kind", "[cake x]\n", "unknown kind"},
		{"bad count", "[service s]\nteam = t\ncpu = 1\nmemory = 1GiB\nexecutors = many\n", "expected a whole number"},
		{"bad memory", "[service s]\nteam = t\ncpu = 1\nmemory = lots\n", "expected an amount"},
		{"unknown key", "[service s]\nteam = t\ncpu = 1\nmemory = 1GiB\ncolour = red\n", "unknown key colour"},
		{"too many tasks", "[job j]\nteam = t\ncpu = 1\nmemory = 1GiB\nrun-time = 1s\ntasks = 200000\n", "tasks must be 1 to 100000"},
		{"bad name", "[job J!]\nteam = t\ncpu = 1\nmemory = 1GiB\nrun-time = 1s\n", "lower-case letters"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := declarer.Parse("objects.ini", []byte(tt.text))
			var object *declarer.ObjectError
			require.ErrorAs(t, err, &object)
			assert.Contains(t, err.Error(), tt.want)
		})
	}
}

// FuzzParse checks that Parse does not panic on any file, and that Format does
// not panic on any object that Parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[service s]\nteam = t\ncpu = 0.5\nmemory = 1GiB\n\n[quota t]\ncpu = 3\n"))
	f.Add([]byte("[job j]\nteam = t\ncpu = 1\nmemory = 512MiB\nrun-time = 90s\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := declarer.Parse("fuzz", data)
		if err != nil {
			return
		}
		for _, o := range objects {
			declarer.Format(o)
		}
	})
}
