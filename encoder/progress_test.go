package encoder_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
)

// Guards against progress that the acceptance takes for small enough for a record.
func TestSizeOfProgress(t *testing.T) {
	const tasks, failures = 5000, 4
	var list []briarspring.TaskProgress
	for i := range tasks {
		p := briarspring.TaskProgress{
			Position: briarspring.MaxTasks - i, Suspicion: 3, Run: math.MaxUint16, Checkpoint: strings.Repeat("c", 16), Worker: strings.Repeat("w", 16),
			Started: true, DoubtLeft: time.Minute,
		}
		for range failures {
			p.FailedRuns = append(p.FailedRuns, math.MaxUint16)
		}
		list = append(list, p)
	}
	value, err := encoder.EncodeRunProgress(list)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(value), tasks*(encoder.TaskProgressBytes+failures*encoder.FailedRunBytes))
}
