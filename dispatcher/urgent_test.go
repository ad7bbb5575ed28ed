package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTrialFleet(t *testing.T) {
	for _, workflows := range []int{15, 16, 17} {
		for _, keep := range []bool{true, false} {
			f := newFleet(t, 40, workflows, 2, keep)
			f.submitUrgent(40*time.Second, 100)
			f.run(50 * time.Second)
			t.Logf("steady long=%d keep=%v %+v", workflows, keep, f.result)
		}
	}
	for _, keep := range []bool{true, false} {
		f := newFleet(t, 40, 16, 2, keep)
		f.submitUrgent(60*time.Second, 100)
		f.run(10 * time.Second)
		f.takeAway("w3", "w8", "w13", "w18", "w23", "w28")
		f.run(60 * time.Second)
		t.Logf("loss keep=%v %+v", keep, f.result)
	}
	assert.True(t, true)
}
