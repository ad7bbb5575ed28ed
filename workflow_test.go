package briarspring_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
)

func TestCheckOfRecurrences(t *testing.T) {
	soon := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		r     briarspring.Recurrence
		valid bool
	}{
		{"none", briarspring.Recurrence{}, true},
		{"daily for years", briarspring.Recurrence{Times: 3000, First: soon, Interval: 24 * time.Hour}, true},
		{"long ago", briarspring.Recurrence{Times: 2, First: time.Unix(0, 0), Interval: time.Second}, true},
		{"longer than a century", briarspring.Recurrence{Times: 60000, First: soon, Interval: 24 * time.Hour}, false},
		{"interval out of range", briarspring.Recurrence{Times: 1, First: soon, Interval: math.MaxInt64}, false},
		{"negative interval", briarspring.Recurrence{Times: 2, First: soon, Interval: -time.Second}, false},
		{"too far in the future", briarspring.Recurrence{Times: 1, First: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)}, false},
		{"more tasks than allowed", briarspring.Recurrence{Times: briarspring.MaxTasks + 1, First: soon}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := briarspring.Workflow{ID: "w", Steps: []briarspring.Step{{Tasks: 1}}, Recurrence: tt.r}
			var invalid *briarspring.InvalidError
			if err := w.Check(); tt.valid {
				assert.NoError(t, err)
			} else {
				assert.ErrorAs(t, err, &invalid)
			}
		})
	}
}

// Guards against positions that differ from the order of tasks in progress records.
func TestPosition(t *testing.T) {
	w := &briarspring.Workflow{Steps: []briarspring.Step{{Tasks: 2}, {Tasks: 3}}, Recurrence: briarspring.Recurrence{Times: 2}}
	want := 0
	for occurrence := range 2 {
		for step, s := range w.Steps {
			for index := range s.Tasks {
				got, ok := w.Position(briarspring.TaskRef{Occurrence: occurrence, Step: step, Index: index})
				assert.True(t, ok)
				assert.Equal(t, want, got)
				want++
			}
		}
	}
	for _, ref := range []briarspring.TaskRef{{Occurrence: 2}, {Occurrence: -1}, {Step: 2}, {Step: -1}, {Index: 2}, {Index: -1}} {
		_, ok := w.Position(ref)
		assert.False(t, ok, ref)
	}
}
