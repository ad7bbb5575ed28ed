package admitter

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

// Guards against a gang that is accepted and waits for ever, as its organisation's limit
// never lets it start, and against the refusal of one that can start.
func TestGangBeyondTheLimit(t *testing.T) {
	amount := func(cpu, memory, accelerators int64) briarspring.Resources {
		return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: cpu, MemoryMiB: memory, Accelerators: accelerators})
	}
	limit, task := amount(4000, 0, 2), amount(1000, 50_000, 0)
	for name, test := range map[string]struct {
		step    briarspring.Step
		limit   briarspring.Resources
		refused bool
	}{
		"within the limit":                {briarspring.Step{Tasks: 4, Gang: true, Resources: task}, limit, false},
		"one task more":                   {briarspring.Step{Tasks: 5, Gang: true, Resources: task}, limit, false},
		"two tasks more":                  {briarspring.Step{Tasks: 6, Gang: true, Resources: task}, limit, true},
		"two tasks more, not a gang":      {briarspring.Step{Tasks: 6, Resources: task}, limit, false},
		"one task above the limit":        {briarspring.Step{Tasks: 1, Gang: true, Resources: amount(9000, 1, 0)}, limit, false},
		"more than one in accelerators":   {briarspring.Step{Tasks: 4, Gang: true, Resources: amount(1, 1, 1)}, limit, true},
		"no limit":                        {briarspring.Step{Tasks: 600, Gang: true, Resources: task}, briarspring.Resources{}, false},
		"best effort, two tasks too many": {briarspring.Step{Tasks: 6, Gang: true, BestEffort: true, Resources: task}, limit, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.catalogue.directory.Organisations = []briarspring.Organisation{{Name: "acme", Limit: test.limit}}
			writes := b.shared.writes
			submit := func(key string, id briarspring.WorkflowID) error {
				w := &briarspring.Workflow{ID: id, Steps: []briarspring.Step{{Tasks: 1, Resources: amount(1, 1, 0)}, test.step}}
				return b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", key), w)
			}
			err := submit(keyOfAcme, "w-1")
			if !test.refused {
				require.NoError(t, err)
				return
			}
			var refused *RefusedError
			require.ErrorAs(t, err, &refused)
			assert.Zero(t, refused.RetryAfter, "a retry can't succeed")
			assert.Equal(t, writes, b.shared.writes, "nothing is stored")
			require.NoError(t, submit(keyOfBirch, "w-2"), "another organisation without a limit")

			b.directory.age = time.Minute // A newer version may have raised the limit.
			err = submit(keyOfAcme, "w-3")
			assert.True(t, errors.As(err, &refused) && refused.RetryAfter > 0, "%v", err)
		})
	}
}
