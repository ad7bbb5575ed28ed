package assembler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"briarspring"
)

// longLeaseFleet has workers that grant longer leases than owners ask for.
var longLeaseFleet = fleetSize{workers: workersPerCentre, hosts: hostsPerCentre, cpu: func(int) int { return 160 }, lease: 12 * time.Second}

// setWorkerCut cuts a worker off from the hosts of a data centre, or ends that.
func (f *fleet) setWorkerCut(centre, worker string, cut bool) {
	for i := range f.size.hosts {
		f.pool.Cut(f.host(centre, i).caller, worker, cut)
	}
}

// Guards against a new owner that starts a task again which was done meanwhile on a worker
// that is cut off: a start that was meant for the worker's process before, with a deadline
// by that one's clock, had given the present one the longest lease.
func TestLeaseFromACallForTheProcessBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSizedFleet(t, 1, longLeaseFleet, tartu)
		defer f.end()
		f.pool.SetHeldCalls(true)
		time.Sleep(20 * time.Second) // The clocks of the processes before are far ahead.
		for i := range f.size.workers {
			f.pool.Crash(fmt.Sprintf("worker-%s-%d", tartu, i))
		}
		require.True(t, f.submit("0000000000000061", shortStep(4*workersPerCentre)))
		time.Sleep(restartTime)
		for i := range f.size.workers {
			f.pool.Restart(fmt.Sprintf("worker-%s-%d", tartu, i))
		}
		time.Sleep(time.Second)
		task := shortStep(1)
		task.Estimate = 5 * time.Second
		require.True(t, f.submit("0000000000000062", task))
		require.Eventually(t, func() bool { return f.workerOf("0000000000000062") != "" }, time.Second, time.Millisecond)
		worker := f.workerOf("0000000000000062")
		f.setWorkerCut(tartu, worker, true)
		const down = 500 * time.Millisecond
		go f.kill(f.owner(tartu), down)
		time.Sleep(down + time.Millisecond)
		f.setWorkerCut(tartu, worker, true) // Also off from the host's next process.
		time.Sleep(8100 * time.Millisecond)
		f.setWorkerCut(tartu, worker, false)
		assertPhase(t, f, "0000000000000062", briarspring.PhaseCompleted, 20*time.Second)
		assertNoViolations(t, f)
	})
}

// Guards against an owner that starts a task again which still runs on a worker that is cut
// off: a start that was meant for the worker's process before, and whose answer was lost, had
// given the present one the longest lease.
func TestLeaseOfAProcessThatWasNotHeard(t *testing.T) {
	for _, lost := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		inVirtualTime(t, "answers are lost for "+lost.String(), func(t *testing.T, f *fleet) {
			for i := range f.size.workers {
				f.pool.Crash(fmt.Sprintf("worker-%s-%d", tartu, i))
			}
			time.Sleep(restartTime)
			f.pool.SetLostAnswerShare(1)
			for i := range f.size.workers {
				f.pool.Restart(fmt.Sprintf("worker-%s-%d", tartu, i))
			}
			step := longRunningStep(1)
			step.Image = ""
			require.True(t, f.submit("0000000000000051", step))
			time.Sleep(lost)
			require.Equal(t, 1, f.pool.Starts())
			f.setWorkersCut(tartu, true)
			f.pool.SetLostAnswerShare(0)
			time.Sleep(15 * time.Second)
			f.setWorkersCut(tartu, false)
			assertRunning(t, f, "0000000000000051", 10*time.Second)
			assertNoViolations(t, f)
		}, tartu, viljandi)
	}
}

// setWorkersCut cuts all workers of a data centre off from its hosts, or ends that.
func (f *fleet) setWorkersCut(centre string, cut bool) {
	for i := range f.size.hosts {
		f.cutOff(f.host(centre, i), false, true, cut)
	}
}
