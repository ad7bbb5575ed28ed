package assembler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/imitator"
	"briarspring/registrar"
)

const (
	tartu    = "tartu"
	viljandi = "viljandi"
)

func TestHostsRunWorkflows(t *testing.T) {
	inVirtualTime(t, "steps in order", func(t *testing.T, f *fleet) {
		assert.True(t, f.submit("0000000000000001", shortStep(3), shortStep(2, 0), shortStep(1, 0, 1)))
		assertPhase(t, f, "0000000000000001", briarspring.PhaseCompleted, 3200*time.Millisecond)
		assert.Equal(t, 6, f.pool.Starts())
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a failed task runs again", func(t *testing.T, f *fleet) {
		f.failing[briarspring.TaskRef{Workflow: "0000000000000002"}] = 2
		f.submit("0000000000000002", shortStep(1))
		assertPhase(t, f, "0000000000000002", briarspring.PhaseCompleted, 3*time.Second)
		assert.Equal(t, 3, f.pool.Starts())
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a task that always fails ends its workflow", func(t *testing.T, f *fleet) {
		f.failing[briarspring.TaskRef{Workflow: "0000000000000003"}] = 10
		f.submit("0000000000000003", shortStep(1))
		assertPhase(t, f, "0000000000000003", briarspring.PhaseFailed, 3*time.Second)
		assert.Equal(t, 3, f.pool.Starts())
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a cancelled workflow stops", func(t *testing.T, f *fleet) {
		f.submit("0000000000000004", longRunningStep(3))
		assertRunning(t, f, "0000000000000004", time.Second)
		known, err := f.host(tartu, 1).intake.Cancel(t.Context(), "0000000000000004")
		assert.True(t, known)
		assert.NoError(t, err)
		time.Sleep(time.Second)
		assert.Zero(t, f.pool.Running(briarspring.TaskRef{Workflow: "0000000000000004"}))
		assertPhase(t, f, "0000000000000004", briarspring.PhaseCancelled, time.Second)
	}, tartu)

	inVirtualTime(t, "a repeated submission is one workflow", func(t *testing.T, f *fleet) {
		f.submit("0000000000000005", shortStep(2))
		for _, h := range f.hosts {
			err := h.intake.Submit(t.Context(), testQueue, &briarspring.Workflow{ID: "0000000000000005", Steps: []briarspring.Step{shortStep(2)}})
			assert.NoError(t, err)
		}
		assertPhase(t, f, "0000000000000005", briarspring.PhaseCompleted, 3*time.Second)
		assert.Equal(t, 2, f.pool.Starts())
		assertNoViolations(t, f)
	}, tartu, viljandi)
}

func TestTakeover(t *testing.T) {
	inVirtualTime(t, "the owner is killed", func(t *testing.T, f *fleet) {
		f.submit("0000000000000011", longRunningStep(6))
		assertRunning(t, f, "0000000000000011", time.Second)
		f.submit("0000000000000012", shortStep(4), shortStep(4, 0))
		starts := f.pool.Starts()
		for i := range hostsPerCentre {
			go f.kill(f.host(tartu, i), time.Duration(2+i)*time.Second)
		}
		assertPhase(t, f, "0000000000000012", briarspring.PhaseCompleted, 8*time.Second)
		assertRunning(t, f, "0000000000000011", time.Second)
		assert.LessOrEqual(t, f.pool.Starts()-starts, 8, "no lease may lapse")
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "an owner that loses the store is replaced", func(t *testing.T, f *fleet) {
		f.submit("0000000000000013", longRunningStep(6))
		assertRunning(t, f, "0000000000000013", time.Second)
		starts := f.pool.Starts()
		for i := range hostsPerCentre {
			f.cutOff(f.host(tartu, i), true, false, true)
			time.Sleep(6 * time.Second)
			f.cutOff(f.host(tartu, i), true, false, false)
			time.Sleep(3 * time.Second)
		}
		assertRunning(t, f, "0000000000000013", time.Second)
		assert.Equal(t, starts, f.pool.Starts(), "no lease may lapse")
		assertNoViolations(t, f)
	}, tartu)

	// Guards against a new owner that waits for ever for a worker that can't answer.
	inVirtualTime(t, "the owner's machine is lost for good after a worker crashed", func(t *testing.T, f *fleet) {
		f.submit("0000000000000015", longRunningStep(6))
		assertRunning(t, f, "0000000000000015", time.Second)
		lost := f.workerOf("0000000000000015")
		f.pool.Crash(lost)
		time.Sleep(500 * time.Millisecond)
		f.remove(f.owner(tartu))
		time.Sleep(2 * time.Second)
		f.start(tartu, hostsPerCentre)
		time.Sleep(2 * time.Second)
		f.pool.Replace(lost, lost+"-again")
		assertRunning(t, f, "0000000000000015", 4*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a worker and then the owner's machine are lost for good", func(t *testing.T, f *fleet) {
		f.submit("0000000000000016", longRunningStep(6))
		assertRunning(t, f, "0000000000000016", time.Second)
		f.pool.Crash(f.workerOf("0000000000000016"))
		time.Sleep(500 * time.Millisecond)
		f.remove(f.owner(tartu))
		time.Sleep(2 * time.Second)
		f.start(tartu, hostsPerCentre)
		assertRunning(t, f, "0000000000000016", 9*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// Guards against a new owner that starts tasks again which run on a worker whose entry
	// has expired in an outage of the log.
	inVirtualTime(t, "the entry of a worker is away when the owner is replaced after an outage", func(t *testing.T, f *fleet) {
		const id = "0000000000000018"
		long := shortStep(3, 0)
		long.Estimate = 25 * time.Second
		f.submit(id, shortStep(1), long)
		time.Sleep(300 * time.Millisecond)
		f.store.SetFaults(imitator.KeyedFaults{Silent: true})
		time.Sleep(5 * time.Second)
		starts := f.pool.Starts()
		assert.Equal(t, 4, starts, "the second step starts without the store")
		for _, e := range f.pool.Entries() {
			f.publisher.Withhold(e.ID, f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id, Step: 1}))
		}
		go f.kill(f.owner(tartu), time.Second)
		f.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
		time.Sleep(9 * time.Second)
		assert.Equal(t, starts, f.pool.Starts())
		for _, e := range f.pool.Entries() {
			f.publisher.Withhold(e.ID, false)
		}
		assertPhase(t, f, id, briarspring.PhaseCompleted, 20*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// Guards against a new owner that starts a task again which has ended on a worker
	// without an entry, because only the earlier owner knew of that worker.
	inVirtualTime(t, "the end of a run on a worker without an entry isn't stored when the owner is killed", func(t *testing.T, f *fleet) {
		const id = "0000000000000019"
		task, other := shortStep(1), shortStep(1)
		task.Estimate, other.Estimate = 7*time.Second, 25*time.Second
		task.Resources, other.Resources = cores(workerCPU), cores(workerCPU) // One to a worker.
		end := f.store.BeginOutage(imitator.StreamOutage{Stream: briarspring.ProgressStream(tartu), Silent: true})
		f.submit(id, task, other)
		time.Sleep(300 * time.Millisecond)
		first := briarspring.TaskRef{Workflow: id}
		only := f.workerOf(id)
		f.publisher.Withhold(only, true)
		time.Sleep(8 * time.Second)
		require.Zero(t, f.pool.Running(first))
		go f.kill(f.owner(tartu), time.Second)
		end()
		time.Sleep(2 * time.Second)
		f.publisher.Withhold(only, false)
		assertPhase(t, f, id, briarspring.PhaseCompleted, 30*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// Guards against a new owner that starts a task again because the record of the workers
	// that it has to ask was replaced by an older one whose append came late.
	inVirtualTime(t, "an older inventory is stored last before all hosts are killed", func(t *testing.T, f *fleet) {
		const id = "000000000000001a"
		older := f.newest(briarspring.SharedStream, registrar.InventoryKey(tartu))
		for _, name := range []string{"worker-tartu-8", "worker-tartu-9"} {
			e := workerEntry(name, tartu, workerCPU, 0)
			e.Labels = []string{"large"}
			f.pool.Add(e)
		}
		time.Sleep(3 * time.Second)
		end := f.store.BeginOutage(imitator.StreamOutage{Stream: briarspring.ProgressStream(tartu), Silent: true})
		task := shortStep(1)
		task.Estimate, task.Requirement = 25*time.Second, "large"
		f.submit(id, task)
		time.Sleep(300 * time.Millisecond)
		f.publisher.Withhold(f.workerOf(id), true)
		time.Sleep(6 * time.Second)
		f.store.Put(briarspring.SharedStream, older)
		for i := range hostsPerCentre {
			go f.kill(f.host(tartu, i), time.Second)
		}
		end()
		assertPhase(t, f, id, briarspring.PhaseCompleted, 40*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// Guards against an owner without the log that goes on using the only worker that
	// the next owner can't reach.
	inVirtualTime(t, "the owner is cut off from the log and from most workers", func(t *testing.T, f *fleet) {
		f.submit("0000000000000017", longRunningStep(12))
		assertRunning(t, f, "0000000000000017", time.Second)
		owner := f.owner(tartu)
		next := f.host(tartu, 0)
		if next == owner {
			next = f.host(tartu, 1)
		}
		only := f.workerOf("0000000000000017")
		f.pool.Cut(next.caller, only, true)
		f.cutOff(owner, true, true, true)
		f.pool.Cut(owner.caller, only, false)
		time.Sleep(11 * time.Second)
		f.cutOff(owner, true, true, false)
		f.pool.Cut(next.caller, only, false)
		assertRunning(t, f, "0000000000000017", 8*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// A claim whose append got no answer is appended again. Hosts that restore
	// their state must see the claim at its first position.
	inVirtualTime(t, "claims whose answers are lost", func(t *testing.T, f *fleet) {
		f.submit("0000000000000014", longRunningStep(4))
		assertRunning(t, f, "0000000000000014", time.Second)
		f.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond, LostAnswerShare: 0.6, LateAppendShare: 0.5})
		go f.kill(f.host(tartu, 0), 3*time.Second)
		go f.kill(f.host(viljandi, 1), 5*time.Second)
		time.Sleep(9 * time.Second)
		f.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
		f.store.TrimHistory()
		go f.kill(f.host(tartu, 1), time.Second)
		time.Sleep(9 * time.Second)
		f.submit("0000000000000015", shortStep(3))
		assertPhase(t, f, "0000000000000015", briarspring.PhaseCompleted, 6*time.Second)
		assertRunning(t, f, "0000000000000014", time.Second)
		assertNoViolations(t, f)
	}, tartu, viljandi)

	// The lease of a crashed worker must expire although the owner keeps retrying.
	inVirtualTime(t, "a worker crashes silently", func(t *testing.T, f *fleet) {
		f.submit("0000000000000016", longRunningStep(6))
		assertRunning(t, f, "0000000000000016", time.Second)
		f.pool.Crash("worker-tartu-0")
		f.pool.Crash("worker-tartu-1")
		assertRunning(t, f, "0000000000000016", 7*time.Second)
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a worker crashes, then its owner stops", func(t *testing.T, f *fleet) {
		f.submit("0000000000000017", longRunningStep(6))
		assertRunning(t, f, "0000000000000017", time.Second)
		f.pool.Crash("worker-tartu-0")
		f.pool.Crash("worker-tartu-1")
		time.Sleep(2 * time.Second)
		for i := range hostsPerCentre {
			f.host(tartu, i).cancel()
			<-f.host(tartu, i).done
			f.start(tartu, i)
		}
		assertRunning(t, f, "0000000000000017", 6*time.Second)
		assertNoViolations(t, f)
	}, tartu)
}

func TestStoreTrouble(t *testing.T) {
	inVirtualTime(t, "work goes on while the store is silent", func(t *testing.T, f *fleet) {
		f.submit("0000000000000021", longRunningStep(6))
		f.submit("0000000000000022", shortStep(3), shortStep(3, 0), shortStep(3, 1))
		time.Sleep(300 * time.Millisecond)
		starts := f.pool.Starts()
		f.store.SetFaults(imitator.KeyedFaults{Silent: true})
		time.Sleep(9 * time.Second)
		assert.Equal(t, starts+6, f.pool.Starts(), "the following steps start without the store")
		f.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
		assertPhase(t, f, "0000000000000022", briarspring.PhaseCompleted, 3*time.Second)
		assertRunning(t, f, "0000000000000021", time.Second)
		assertNoViolations(t, f)
	}, tartu)

	// Guards against a workflow that no store takes and that is tried for ever.
	inVirtualTime(t, "a workflow whose record is too large is refused at once", func(t *testing.T, f *fleet) {
		w := &briarspring.Workflow{ID: "0000000000000026", Specification: strings.Repeat("x", imitator.MaxRecordBytes), Steps: []briarspring.Step{shortStep(1)}}
		began := time.Now()
		err := f.host(tartu, 0).intake.Submit(t.Context(), testQueue, w)
		var refused *admitter.RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Contains(t, refused.Reason, "allowed are 262144")
		assert.Zero(t, time.Since(began))
	}, tartu)

	// Guards against a workflow whose progress no store takes, which holds up that of all
	// others of its data centre.
	inVirtualTime(t, "a workflow of more tasks than can be recorded is refused at once", func(t *testing.T, f *fleet) {
		w := &briarspring.Workflow{ID: "0000000000000027", Steps: []briarspring.Step{shortStep(15500)}}
		err := f.host(tartu, 0).intake.Submit(t.Context(), testQueue, w)
		var refused *admitter.RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Contains(t, refused.Reason, "has 15500 tasks, allowed are 4032")
	}, tartu)

	inVirtualTime(t, "a workflow of as many tasks as can be recorded runs", func(t *testing.T, f *fleet) {
		small := shortStep(4032)
		small.Resources = cores(1)
		assert.True(t, f.submit("0000000000000028", small))
		assertPhase(t, f, "0000000000000028", briarspring.PhaseCompleted, 2*time.Minute)
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "a host without the store refuses at once", func(t *testing.T, f *fleet) {
		h := f.host(tartu, 0)
		f.cutOff(h, true, false, true)
		time.Sleep(4 * time.Second)
		ready, _ := h.intake.Ready()
		assert.False(t, ready)
		began := time.Now()
		err := h.intake.Submit(t.Context(), testQueue, &briarspring.Workflow{ID: "0000000000000023", Steps: []briarspring.Step{shortStep(1)}})
		assert.ErrorContains(t, err, "the log is out of reach")
		assert.Less(t, time.Since(began), 100*time.Millisecond)
	}, tartu)

	inVirtualTime(t, "orders are carried out late", func(t *testing.T, f *fleet) {
		f.pool.SetLateOrderShare(0.3)
		f.submit("0000000000000024", longRunningStep(8))
		f.submit("0000000000000025", shortStep(6), shortStep(6, 0))
		time.Sleep(8 * time.Second)
		f.pool.SetLateOrderShare(0)
		assertPhase(t, f, "0000000000000025", briarspring.PhaseCompleted, 20*time.Second)
		assertRunning(t, f, "0000000000000024", 20*time.Second)
		assertNoViolations(t, f)
	}, tartu)
}

func TestDataCentreOutOfService(t *testing.T) {
	inVirtualTime(t, "nothing starts there, and waiting work moves", func(t *testing.T, f *fleet) {
		f.submit("0000000000000031", longRunningStep(4))
		assertRunning(t, f, "0000000000000031", time.Second)
		home := f.centreOf("0000000000000031")
		f.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(home, true))
		time.Sleep(time.Second)
		for i := range workersPerCentre {
			f.pool.Crash("worker-" + home + "-" + string(rune('0'+i)))
		}
		assertRunning(t, f, "0000000000000031", 9*time.Second)
		assert.NotEqual(t, home, f.centreOf("0000000000000031"))
		assertNoViolations(t, f)
	}, tartu, viljandi)
}

// A call that was in flight when a host was reconnected gets no answer until it
// times out. The host must still read a change of the directory in time.
func TestDirectoryAfterACut(t *testing.T) {
	const reconnectTime = 3 * time.Second // Time after a cut that the platform allows.
	for phase := time.Duration(0); phase < 4*time.Second; phase += 250 * time.Millisecond {
		inVirtualTime(t, phase.String(), func(t *testing.T, f *fleet) {
			h := f.host(tartu, 0)
			f.cutOff(h, true, true, true)
			time.Sleep(4*time.Second + phase)
			f.store.Put(briarspring.DirectoryStream, directoryRecord(t, 2))
			f.cutOff(h, true, true, false)
			time.Sleep(reconnectTime)
			_, _, err := h.intake.Find(testQueue.Host, "/added/")
			assert.NoError(t, err)
		}, tartu)
	}
}

// A host answered 'no such workflow' to a cancellation when it had not yet read
// the record of a workflow that another host had accepted. The workflow kept
// running.
func TestCancellationAtAnotherHost(t *testing.T) {
	inVirtualTime(t, "right after the acceptance", func(t *testing.T, f *fleet) {
		for i := range 20 {
			id := briarspring.WorkflowID(fmt.Sprintf("00000000000001%02x", i))
			assert.True(t, f.submit(id, longRunningStep(1)))
			for _, h := range f.hosts {
				phase, known, err := h.intake.Phase(t.Context(), id)
				assert.NoError(t, err)
				assert.True(t, known, "%s is not known at %s", id, h.name)
				assert.False(t, phase.Final())
			}
			time.Sleep(37 * time.Millisecond)
		}
		assert.True(t, f.submit("0000000000000200", longRunningStep(1)))
		known, err := f.host(viljandi, 1).intake.Cancel(t.Context(), "0000000000000200")
		assert.NoError(t, err)
		assert.True(t, known)
		time.Sleep(time.Second)
		assert.Zero(t, f.pool.Running(briarspring.TaskRef{Workflow: "0000000000000200"}))
	}, tartu, viljandi)
	inVirtualTime(t, "is refused while the log is out of reach", func(t *testing.T, f *fleet) {
		h := f.host(tartu, 1)
		f.cutOff(h, true, false, true)
		time.Sleep(100 * time.Millisecond)
		_, err := h.intake.Cancel(t.Context(), "0000000000000300")
		var refused *admitter.RefusedError
		assert.ErrorAs(t, err, &refused)
	}, tartu)
}
