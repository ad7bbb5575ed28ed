package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/router"
)

var start = time.Unix(1000, 0)

func executor(i, slots int) router.Executor {
	return router.Executor{ID: fmt.Sprintf("x%d", i), Service: "s", Number: uint32(i), Slots: slots, Connections: 64}
}

func request(id string, timeout time.Duration) router.Request {
	return router.Request{ID: id, Service: "s", Deadline: start.Add(timeout)}
}

func TestSharesAddUp(t *testing.T) {
	for total := range 70 {
		for gateways := 1; gateways <= 9; gateways++ {
			for number := range uint32(20) {
				sum, least, most := 0, total, 0
				for gateway := range gateways {
					n := router.Share(total, number, gateway, gateways)
					sum += n
					least, most = min(least, n), max(most, n)
				}
				require.Equal(t, total, sum, "%d slots, executor %d, %d gateways", total, number, gateways)
				require.LessOrEqual(t, most-least, 1)
			}
		}
	}
}

func TestQueueByDeadline(t *testing.T) {
	r := router.New(router.Config{QueueLength: 3})
	r.Put(executor(0, 1))
	first, refusal := r.Submit(request("first", time.Second), start)
	require.Nil(t, refusal)
	for _, q := range []router.Request{request("late", 9*time.Second), request("soon", 2*time.Second), request("middle", 5*time.Second)} {
		a, refusal := r.Submit(q, start)
		require.Nil(t, a)
		require.Nil(t, refusal)
	}
	_, refusal = r.Submit(request("full", 9*time.Second), start)
	require.NotNil(t, refusal)
	assert.Contains(t, refusal.Reason, "full")
	assert.True(t, r.Withdraw(request("middle", 0)))
	next := r.Release(*first, start)
	require.Len(t, next, 1)
	assert.Equal(t, "soon", next[0].Request.ID)
}

func TestShedsWhatCannotBeServed(t *testing.T) {
	r := router.New(router.Config{QueueLength: 100})
	r.Put(executor(0, 1))
	_, refusal := r.Submit(request("first", time.Second), start)
	require.Nil(t, refusal)
	_, refusal = r.Submit(request("hopeless", time.Millisecond), start)
	require.NotNil(t, refusal)
	assert.Contains(t, refusal.Reason, "deadline")
	assert.Positive(t, refusal.RetryAfter)
}

func TestSickExecutorIsProbed(t *testing.T) {
	r := router.New(router.Config{QueueLength: 4})
	r.Put(executor(0, 8))
	now := start
	for range 3 {
		a, refusal := r.Submit(request("q", time.Hour), now)
		require.Nil(t, refusal)
		r.RecordResult(*a, router.ResultFailed, now)
		r.Release(*a, now)
	}
	_, refusal := r.Submit(request("q", 10*time.Millisecond), now)
	require.NotNil(t, refusal, "it is ejected after three failures")
	now = now.Add(2 * time.Second)
	probe, _ := r.Submit(request("q", time.Hour), now)
	require.NotNil(t, probe)
	assert.True(t, probe.Probe)
	other, _ := r.Submit(request("r", time.Hour), now)
	assert.Nil(t, other, "one probe at a time")
	r.RecordResult(*probe, router.ResultServed, now)
	assert.NotEmpty(t, r.Release(*probe, now), "it has recovered")
}

func TestSlowExecutorGetsLess(t *testing.T) {
	r := router.New(router.Config{})
	for i := range 2 {
		r.Put(executor(i, 8))
	}
	counts := map[string]int{}
	now := start
	for i := range 200 {
		a, _ := r.Submit(request(fmt.Sprint(i), time.Hour), now)
		require.NotNil(t, a)
		counts[a.Executor.ID]++
		latency := 10 * time.Millisecond
		if a.Executor.ID == "x0" {
			latency = 50 * time.Millisecond
		}
		r.RecordResult(*a, router.ResultServed, now.Add(latency))
		r.Release(*a, now)
	}
	assert.Less(t, counts["x0"], 20)
}

func TestLeavingAndRemoved(t *testing.T) {
	r := router.New(router.Config{})
	r.Put(executor(0, 8))
	a, _ := r.Submit(request("q", time.Hour), start)
	require.NotNil(t, a)
	r.MarkLeaving("x0")
	_, refusal := r.Submit(request("r", time.Hour), start)
	assert.NotNil(t, refusal)
	r.Remove("x0")
	assert.Empty(t, r.Release(*a, start))
	assert.Empty(t, r.Executors())
}
