package declarer_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/declarer"
)

const bundle = `[workflow bundle-7]
queue = season
specification = claim 7

[step 0]
tasks = 4
cpu = 1.5
memory = 2GiB
estimate = 900ms
max-per-worker = 2

[step 1]
after = 0
cpu = 1
memory = 512MiB
fills = true
checkpoints = true
image = claims
`

const nightly = `[workflow nightly]
queue = season
times = 30
first-due = 2026-12-04T22:00:00Z
every = 24h

[step 0]
tasks = 4
gang = true
one-rack = true
max-missing = 1
cpu = 1
memory = 1GiB
`

func TestExamplesOfWorkflows(t *testing.T) {
	files, err := filepath.Glob("../examples/*.workflow.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := declarer.LoadWorkflow(file)
		assert.NoError(t, err)
	}
}

func TestWorkflowFile(t *testing.T) {
	t.Run("steps", func(t *testing.T) {
		w, err := declarer.ParseWorkflow("bundle.ini", []byte(bundle))
		require.NoError(t, err)
		assert.Equal(t, briarspring.WorkflowID("bundle-7"), w.ID)
		assert.Equal(t, "season", w.Queue)
		require.Len(t, w.Steps, 2)
		assert.Equal(t, 900*time.Millisecond, w.Steps[0].Estimate)
		assert.Equal(t, int64(1500), w.Steps[0].Resources.MilliCPU())
		assert.Equal(t, []int{0}, w.Steps[1].After)
		assert.True(t, w.Steps[1].BestEffort && w.Steps[1].Checkpoints && !w.Steps[1].LongRunning)
		assert.Equal(t, 1, w.Steps[1].Tasks)
	})
	t.Run("recurrence and gang", func(t *testing.T) {
		w, err := declarer.ParseWorkflow("nightly.ini", []byte(nightly))
		require.NoError(t, err)
		assert.Equal(t, briarspring.Recurrence{
			Times: 30, First: time.Date(2026, 12, 4, 22, 0, 0, 0, time.UTC), Interval: 24 * time.Hour,
		}, w.Recurrence)
		assert.Equal(t, 30*4, w.TaskCount())
		assert.True(t, w.Steps[0].Gang && w.Steps[0].OneRack)
		assert.Equal(t, 1, w.Steps[0].MaxMissing)
	})
	tests := []struct{ name, text, want string }{
		{"interval alone", "[workflow w]\nqueue = q\nevery = 1h\n[step 0]\ncpu = 1\nmemory = 1GiB\n", "how often the steps run"},
		{"no first time", "[workflow w]\nqueue = q\ntimes = 2\n[step 0]\ncpu = 1\nmemory = 1GiB\n", "a time such as"},
		{"too many tasks", "[workflow w]\nqueue = q\ntimes = 90000\nfirst-due = 2026-12-04T22:00:00Z\n[step 0]\ntasks = 2\ncpu = 1\nmemory = 1GiB\n", "allowed are 1 to"},
		{"empty", "", "expected a section such as [workflow receipt-1]"},
		{"no step", "[workflow w]\nqueue = q\n", "expected a section such as [workflow receipt-1]"},
		{"no queue", "[workflow w]\n", "expected a value"},
		{"bad name", "[workflow W!]\nqueue = q\n", "lower-case letters"},
		{"step before its workflow", "[step 0]\ncpu = 1\nmemory = 1GiB\n", "expected one [workflow NAME]"},
		{"step left out", "[workflow w]\nqueue = q\n[step 1]\ncpu = 1\nmemory = 1GiB\n", "expected one [workflow NAME]"},
		{"two workflows", "[workflow w]\nqueue = q\n[workflow x]\nqueue = q\n", "expected one [workflow NAME]"},
		{"later step first", "[workflow w]\nqueue = q\n[step 0]\ncpu = 1\nmemory = 1GiB\nafter = 0\n", "numbers of earlier steps"},
		{"bad flag", "[workflow w]\nqueue = q\n[step 0]\ncpu = 1\nmemory = 1GiB\nfills = perhaps\n", "true or false"},
		{"unknown key", "[workflow w]\nqueue = q\ncolour = red\n", "unknown key colour"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := declarer.ParseWorkflow("w.ini", []byte(tt.text))
			var object *declarer.ObjectError
			require.ErrorAs(t, err, &object)
			assert.Contains(t, err.Error(), tt.want)
		})
	}
}

// FuzzParseWorkflow checks that ParseWorkflow does not panic on any file and
// returns only *ObjectError.
func FuzzParseWorkflow(f *testing.F) {
	f.Add([]byte(bundle))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := declarer.ParseWorkflow("fuzz", data)
		if err != nil {
			var object *declarer.ObjectError
			assert.ErrorAs(t, err, &object)
		}
	})
}
