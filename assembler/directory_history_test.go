package assembler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/imitator"
)

// watchedWorkers reports the starts of one host that workers accept.
type watchedWorkers struct {
	*imitator.PoolClient
	fleet *fleet
	host  string
}

func (w *watchedWorkers) Start(ctx context.Context, address, id string, o briarspring.StartOrder) (time.Duration, error) {
	clock, err := w.PoolClient.Start(ctx, address, id, o)
	if err == nil && w.fleet.onStart != nil {
		w.fleet.onStart(w.host, o.Run)
	}
	return clock, err
}

// directoryHistory is a run of random changes of the directory, with streams that single
// hosts can't reach.
type directoryHistory struct {
	*fleet
	random *rand.Rand
	watch  *imitator.DirectoryWatch
	number int
}

const (
	directoryHistoryTime = 20 * time.Second
	directoryOutageTime  = 6 * time.Second // Of one stream for one host, at most.
	directoryDownTime    = 2 * time.Second // Of a host that is killed, at most.
	// Longest times between two events of a kind.
	directoryChangeInterval = 900 * time.Millisecond
	directoryOutageInterval = 1200 * time.Millisecond
	directoryKillInterval   = 9 * time.Second
	directoryTrimInterval   = 7 * time.Second
	directoryLossInterval   = 8 * time.Second
	directorySubmitInterval = 120 * time.Millisecond
	directoryAskInterval    = 60 * time.Millisecond
)

func (h *directoryHistory) run(t *testing.T) {
	h.onStart = func(host string, run briarspring.RunRef) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if w := h.workflows[run.Task.Workflow]; w != nil {
			h.watch.Started(host, w.Queue, time.Now())
		}
	}
	var parts sync.WaitGroup
	until := time.Now().Add(directoryHistoryTime)
	every := func(most time.Duration, f func(random *rand.Rand)) {
		random := rand.New(rand.NewPCG(h.random.Uint64(), 1))
		parts.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(random.Int64N(int64(most))))
				f(random)
			}
		})
	}
	every(directoryChangeInterval, func(random *rand.Rand) {
		h.watch.Next(1+random.Uint64N(3), random.IntN(2) == 0, func(v imitator.DirectoryVersion) { h.writeDirectory(t, v) })
	})
	every(directoryOutageInterval, h.loseStream)
	every(directoryKillInterval, func(random *rand.Rand) {
		h.kill(h.anyHost(random), time.Duration(random.Int64N(int64(directoryDownTime))))
	})
	every(directoryTrimInterval, func(*rand.Rand) { h.store.TrimHistory() })
	every(directoryLossInterval, func(random *rand.Rand) {
		h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond, LostAnswerShare: 0.3 * random.Float64(), LateAppendShare: 0.5})
	})
	every(directorySubmitInterval, h.submitToAdded)
	every(directoryAskInterval, func(*rand.Rand) { h.askAll() })
	parts.Wait()
}

func (h *directoryHistory) writeDirectory(t *testing.T, v imitator.DirectoryVersion) {
	d := briarspring.Directory{Version: v.Version, Queues: []briarspring.Queue{testQueue}}
	for _, name := range v.Queues {
		d.Queues = append(d.Queues, briarspring.Queue{Name: name, Host: testQueue.Host, Prefix: "/" + name + "/", Service: testQueue.Service, MaxAttempts: 3})
	}
	r, err := imitator.DirectoryRecord(d)
	require.NoError(t, err)
	h.store.Put(briarspring.DirectoryStream, r)
}

// loseStream makes one stream, mostly the directory, unreachable for one host.
func (h *directoryHistory) loseStream(random *rand.Rand) {
	streams := []string{briarspring.DirectoryStream, briarspring.DirectoryStream, briarspring.SharedStream, briarspring.WorkersStream}
	end := h.store.BeginOutage(imitator.StreamOutage{
		Stream: streams[random.IntN(len(streams))], Caller: h.anyHost(random).caller, Silent: random.IntN(2) == 0,
	})
	time.AfterFunc(time.Duration(random.Int64N(int64(directoryOutageTime))), end)
}

func (h *directoryHistory) anyHost(random *rand.Rand) *testHost {
	return h.host(h.centres[random.IntN(len(h.centres))], random.IntN(hostsPerCentre))
}

// submitToAdded submits a workflow to a queue that a change added, at one host.
func (h *directoryHistory) submitToAdded(random *rand.Rand) {
	names := h.watch.Recent()
	if len(names) == 0 {
		return
	}
	host := h.anyHost(random)
	q, _, err := host.intake.Find(testQueue.Host, "/"+names[random.IntN(len(names))]+"/")
	if err != nil {
		return
	}
	h.mu.Lock()
	h.number++
	id := briarspring.WorkflowID(fmt.Sprintf("%016x", 0x4200+h.number))
	h.workflows[id] = &briarspring.Workflow{ID: id, Queue: q.Name, Steps: []briarspring.Step{shortStep(1)}, MaxAttempts: q.MaxAttempts}
	h.mu.Unlock()
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(h.t.Context(), submitTimeout)
		defer cancel()
		_ = host.intake.Submit(ctx, q, &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(1)}})
	})
}

// askAll asks every host for the queues of the last versions.
func (h *directoryHistory) askAll() {
	for _, centre := range h.centres {
		for i := range hostsPerCentre {
			host := h.host(centre, i)
			for _, name := range h.watch.Recent() {
				_, _, err := host.intake.Find(testQueue.Host, "/"+name+"/")
				var refused *admitter.RefusedError
				if !errors.As(err, &refused) {
					h.watch.Answered(host.name, name, err == nil, time.Now(), time.Now())
				}
			}
		}
	}
}

// TestDirectoryHistories checks in random histories that no host starts tasks or
// answers by a version of the directory and then answers by an older one, its later
// processes included.
func TestDirectoryHistories(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*histories/10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &directoryHistory{
					fleet: newFleet(t, uint64(seed), tartu, viljandi), random: rand.New(rand.NewPCG(uint64(seed), 42)),
					watch: imitator.NewDirectoryWatch(1),
				}
				defer h.end()
				h.run(t)
				versions, answers := h.watch.Counts()
				t.Logf("%d versions, %d answers, %d starts", versions, answers, h.pool.Starts())
				assert.Empty(t, h.watch.Violations())
				assertNoViolations(t, h.fleet)
			})
		})
	}
}
