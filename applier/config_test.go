package applier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/applier"
)

// commands appends records to a configuration state as the log would.
type commands struct {
	t    *testing.T
	conf *applier.Config
	n    uint64
}

func newCommands(t *testing.T) *commands {
	c := &commands{t: t, conf: applier.NewConfig()}
	for _, name := range []string{"tartu", "viljandi", "voru"} {
		c.append(summary(name, 4))
	}
	return c
}

func summary(name string, workers int64) briarspring.Summary {
	return briarspring.Summary{
		DataCentre: name, Epoch: 1, Owner: name + "-host0", Workers: uint32(workers),
		Capacity: amount(16, 60000, 0).Times(workers), Largest: amount(16, 60000, 0),
	}
}

func (c *commands) append(body briarspring.Body) applier.Answer {
	c.n++
	a, _ := c.conf.Apply(c.conf.Applied()+1, briarspring.Record{Writer: owner, Sequence: c.n, Body: body})
	return a
}

func (c *commands) change(requestID string, expected uint64, change briarspring.Change) applier.Answer {
	return c.append(briarspring.Command{RequestID: requestID, ExpectedVersion: expected, Change: change})
}

func job(t *testing.T, name string, tasks uint32, need briarspring.Resources) briarspring.PutJob {
	j, err := briarspring.NewJob(briarspring.JobConfig{
		Name: name, Team: "archive", Class: "index", Tasks: tasks, Resources: need, Weight: 1,
		RunTime: time.Second, MaxTries: 3,
	})
	require.NoError(t, err)
	return briarspring.PutJob{Job: j}
}

func service(t *testing.T, name string, executors uint32) briarspring.PutService {
	s, err := briarspring.NewService(briarspring.ServiceConfig{
		Name: name, Team: "counter", Prefix: "/" + name + "/", Resources: amount(2, 1000, 0),
		Executors: executors, Slots: 8, Connections: 64,
	})
	require.NoError(t, err)
	return briarspring.PutService{Service: s}
}

func TestConfigConflicts(t *testing.T) {
	c := newCommands(t)
	first := c.change("a", 0, service(t, "ledger", 6))
	require.NoError(t, first.Err)
	second := c.change("b", first.Version, service(t, "ledger", 7))
	require.NoError(t, second.Err)

	t.Run("the loser of a race sees the winner", func(t *testing.T) {
		loser := c.change("c", first.Version, service(t, "ledger", 8))
		var conflict *briarspring.ConflictError
		require.ErrorAs(t, loser.Err, &conflict)
		assert.Equal(t, second.Version, conflict.InForce)
		assert.EqualValues(t, 7, c.conf.Service("ledger").Service().Executors())
	})
	t.Run("creating twice is refused", func(t *testing.T) {
		again := c.change("d", 0, service(t, "ledger", 9))
		var conflict *briarspring.ConflictError
		require.ErrorAs(t, again.Err, &conflict)
	})
	t.Run("a retry gets the first answer", func(t *testing.T) {
		assert.Equal(t, second, c.change("b", first.Version, service(t, "ledger", 7)))
	})
	t.Run("changing what does not exist is refused", func(t *testing.T) {
		missing := c.change("e", 5, service(t, "prices", 1))
		var notFound *briarspring.NotFoundError
		require.ErrorAs(t, missing.Err, &notFound)
	})
	t.Run("a prefix belongs to one service", func(t *testing.T) {
		p := service(t, "other", 1)
		sv, err := briarspring.NewService(briarspring.ServiceConfig{
			Name: "other", Team: "counter", Prefix: "/ledger/", Resources: p.Service.Resources(),
			Executors: 1, Slots: 1, Connections: 1,
		})
		require.NoError(t, err)
		var invalid *briarspring.InvalidError
		require.ErrorAs(t, c.change("f", 0, briarspring.PutService{Service: sv}).Err, &invalid)
	})
}

func TestConfigImpossibleJob(t *testing.T) {
	c := newCommands(t)
	a := c.change("a", 0, job(t, "huge", 1, amount(17, 1000, 0)))
	var invalid *briarspring.InvalidError
	require.ErrorAs(t, a.Err, &invalid)
	assert.Contains(t, invalid.Reason, "can never run")
	assert.Nil(t, c.conf.Job("huge"))
}

func TestConfigAssignsEveryTaskOnce(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newCommands(t)
		c.append(summary("tartu", int64(random.IntN(9))))
		n := uint32(1 + random.IntN(500))
		require.NoError(t, c.change("a", 0, job(t, "index", n, amount(1, 1000, 0))).Err)
		w := c.conf.Job("index")
		for i := range 20 {
			from, to := randomDataCentre(random), randomDataCentre(random)
			c.append(briarspring.Transfer{
				Workload: w.ID(), From: from, To: to, Granted: uint64(random.IntN(int(c.conf.Applied()) + 1)),
				Tasks: []briarspring.TaskState{{Index: uint32(random.IntN(int(n))), Attempt: uint32(i)}, {Index: uint32(random.IntN(int(n)))}},
			})
		}
		seen := map[uint32]string{}
		for _, name := range []string{"tartu", "viljandi", "voru"} {
			holding := w.AssignedTo(name)
			for i := range n {
				if _, held := holding.Has(i); held {
					assert.Empty(t, seen[i], "seed %d: task %d is held twice", seed, i)
					seen[i] = name
				}
			}
		}
		assert.Len(t, seen, int(n), "seed %d", seed)
	}
}

func randomDataCentre(r *rand.Rand) string { return []string{"tartu", "viljandi", "voru"}[r.IntN(3)] }

func TestConfigTransferOfOldGrantIsVoid(t *testing.T) {
	c := newCommands(t)
	require.NoError(t, c.change("a", 0, job(t, "index", 1, amount(1, 1000, 0))).Err)
	w := c.conf.Job("index")
	from := w.Shares()[0].DataCentre
	to := "voru"
	if from == to {
		to = "tartu"
	}
	granted := w.Shares()[0].Offset
	out := briarspring.Transfer{Workload: w.ID(), From: from, To: to, Granted: granted, Tasks: []briarspring.TaskState{{Attempt: 1}}}
	c.append(out)
	back := briarspring.Transfer{Workload: w.ID(), From: to, To: from, Granted: c.conf.Applied(), Tasks: []briarspring.TaskState{{Attempt: 2}}}
	c.append(back)
	c.append(out)
	assert.EqualValues(t, 1, w.Assigned(from), "a transfer decided before the task came back has no effect")
	assert.EqualValues(t, 2, w.Shares()[0].Tasks[0].Attempt)
}

func TestConfigResizeNeverReusesIndexes(t *testing.T) {
	c := newCommands(t)
	v := c.change("a", 0, service(t, "ledger", 6)).Version
	v = c.change("b", v, service(t, "ledger", 2)).Version
	c.change("c", v, service(t, "ledger", 4))
	w := c.conf.Service("ledger")
	var held []uint32
	for i := range uint32(10) {
		for _, name := range []string{"tartu", "viljandi", "voru"} {
			if _, ok := w.AssignedTo(name).Has(i); ok {
				held = append(held, i)
			}
		}
	}
	assert.Equal(t, []uint32{0, 1, 6, 7}, held)
}

func TestConfigSnapshot(t *testing.T) {
	c := newCommands(t)
	v := c.change("a", 0, service(t, "ledger", 6)).Version
	c.change("b", 0, job(t, "index", 100, amount(1, 1000, 0)))
	c.change("c", v+50, service(t, "ledger", 7))
	c.change("d", 0, briarspring.DeclareLost{Worker: "w1"})
	c.change("e", 0, job(t, "huge", 1, amount(99, 1, 0)))
	c.change("f", 9, service(t, "prices", 7))
	q, err := briarspring.NewQuota(briarspring.QuotaConfig{Team: "archive", Resources: amount(3, 4, 0)})
	require.NoError(t, err)
	c.change("g", 0, briarspring.PutQuota{Quota: q})
	data, err := c.conf.Snapshot()
	require.NoError(t, err)
	restored, err := applier.RestoreConfig(data)
	require.NoError(t, err)
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		before, _ := c.conf.Answer(id)
		after, ok := restored.Answer(id)
		assert.True(t, ok)
		assert.Equal(t, fmt.Sprint(before.Err), fmt.Sprint(after.Err))
	}
}

func TestCollector(t *testing.T) {
	data := make([]byte, 2*applier.ChunkSize+17)
	for i := range data {
		data[i] = byte(i * 7)
	}
	chunks := applier.Chunks(42, data)
	require.Len(t, chunks, 3)
	collect := func(parts ...briarspring.SnapshotChunk) ([]byte, bool) {
		var c applier.Collector
		var whole []byte
		ok := false
		for _, p := range parts {
			if got, done := c.Add(owner, p); done {
				whole, ok = got, true
			}
		}
		return whole, ok
	}
	whole, ok := collect(chunks...)
	assert.True(t, ok)
	assert.Equal(t, data, whole)
	_, ok = collect(chunks[0], chunks[2])
	assert.False(t, ok, "a missing chunk")
	torn := chunks[1]
	torn.Data = torn.Data[:100]
	_, ok = collect(chunks[0], torn, chunks[2])
	assert.False(t, ok, "a torn chunk")
	whole, ok = collect(chunks[0], chunks[0], chunks[1], chunks[2])
	assert.True(t, ok, "a writer that starts over")
	assert.Equal(t, data, whole)
}
