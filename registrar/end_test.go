package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// Guards against a data centre that gets a task and doesn't learn from the log how the
// task's run in another one has ended.
func TestEndsOfTransferredTasks(t *testing.T) {
	s := &stream{t: t}
	s.submit("a", "viljandi")
	end := func(p briarspring.TaskProgress) {
		value, err := encoder.EncodeRunProgress([]briarspring.TaskProgress{p})
		s.add(registrar.EndKey(briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a", Index: p.Position}, Run: p.Run}), value, err)
	}
	end(briarspring.TaskProgress{Position: 1, Run: 2, FailedRuns: []uint32{2}})
	end(briarspring.TaskProgress{Position: 1, Run: 3, Done: true})
	end(briarspring.TaskProgress{Position: 1, Run: 1, FailedRuns: []uint32{1}})
	want := map[int]briarspring.TaskProgress{1: {Position: 1, Run: 3, Done: true, FailedRuns: []uint32{1, 2}}}
	applied, restored := registrar.New(), registrar.New()
	for _, rec := range s.records {
		_, err := applied.Apply(0, rec)
		assert.NoError(t, err)
	}
	_, errs := restored.Restore(0, s.records, uint64(len(s.records)))
	assert.Empty(t, errs)
	for _, r := range []*registrar.Registry{applied, restored} {
		assert.Equal(t, want, r.Workflow("a").Ends())
	}
}
