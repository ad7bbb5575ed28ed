package assembler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
)

// largeFleet is a data centre of the large deployment: 3 large hosts, 27 small
// ones and 220 workers.
var largeFleet = fleetSize{workers: 220, hosts: 30, cpu: func(i int) int {
	if i < 3 {
		return 800
	}
	return 110
}}

const (
	// storeReadsPerSecond is the platform's limit for the 147 hosts of the large
	// deployment together.
	storeReadsPerSecond = 16000
	// restCallsPerHost is the mean number of calls to the log per second that a
	// host may make at rest: a hundredth of 0.11 core at 0.3 ms a call.
	restCallsPerHost = 4
)

// submitLargeLoad submits long-running workflows and wide short ones, and returns
// the number of each.
func (f *fleet) submitLargeLoad() (longRunning, short int) {
	const perCentre = 6
	for i := range perCentre * len(f.centres) {
		f.submit(longRunningID(i), longRunningStep(24))
		f.submit(wideID(i), shortStep(40), shortStep(40, 0))
	}
	return perCentre * len(f.centres), perCentre * len(f.centres)
}

func longRunningID(i int) briarspring.WorkflowID {
	return briarspring.WorkflowID(fmt.Sprintf("aaaa%012d", i))
}

func wideID(i int) briarspring.WorkflowID { return briarspring.WorkflowID(fmt.Sprintf("bbbb%012d", i)) }

func inLargeFleet(t *testing.T, name string, test func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSizedFleet(t, 1, largeFleet, "tartu", "viljandi", "voru", "polva", "valga")
			defer f.end()
			test(t, f)
		})
	})
}

func TestLargeFleet(t *testing.T) {
	// Guards against hosts that all poll the log: 150 of them have to leave room
	// for the owners.
	inLargeFleet(t, "at rest makes few calls to the log", func(t *testing.T, f *fleet) {
		before := f.store.Calls()
		const span = 5 * time.Second
		time.Sleep(span)
		perSecond := float64(f.store.Calls()-before) / span.Seconds()
		assert.Less(t, perSecond, float64(restCallsPerHost*f.size.hosts*len(f.centres)))
	})
	inLargeFleet(t, "all hosts are killed together", func(t *testing.T, f *fleet) {
		longRunning, short := f.submitLargeLoad()
		for i := range longRunning {
			assertRunning(t, f, longRunningID(i), 5*time.Second)
		}
		starts := f.pool.Starts()
		calls := f.store.Calls()
		for _, centre := range f.centres {
			for i := range f.size.hosts {
				go f.kill(f.host(centre, i), 2*time.Second)
			}
		}
		const restart = 5 * time.Second
		time.Sleep(restart)
		assert.Less(t, float64(f.store.Calls()-calls)/restart.Seconds(), float64(storeReadsPerSecond))
		for i := range short {
			assertPhase(t, f, wideID(i), briarspring.PhaseCompleted, 15*time.Second)
		}
		for i := range longRunning {
			assertRunning(t, f, longRunningID(i), time.Second)
		}
		assert.LessOrEqual(t, f.pool.Starts()-starts, 2*40*short, "no lease of a long-running task may lapse")
		assertNoViolations(t, f)
	})
}
