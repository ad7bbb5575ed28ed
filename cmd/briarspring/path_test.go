package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

const objectsFile = `[service ledger]
team = counter
prefix = /ledger/
cpu = 2
memory = 4GiB
executors = 6
command = read time=5ms

[job archive]
team = archive
class = archive-index
tasks = 12
cpu = 1
memory = 1GiB
weight = 5
run-time = 500ms
command = index time=500ms
`

var allDataCentres = []string{"tartu", "viljandi", "voru"}

// applyObjects waits until all processes are ready and applies objectsFile with
// ctl.
func applyObjects(t *testing.T, s *system) {
	for _, p := range s.dataCentres {
		for i := range p.peers {
			s.waitFor(20*time.Second, p.name+" is ready", func() bool {
				return s.ready(p.schedAdmin[i]) && s.ready(p.gatewayAdmin[i])
			})
		}
	}
	s.waitFor(20*time.Second, "all data centres have workers", func() bool {
		m, err := s.client(s.dataCentres["tartu"].operators[0]).ListDataCentres(
			context.Background(), connect.NewRequest(&pb.ListDataCentresRequest{}))
		if err != nil || len(m.Msg.GetDataCentres()) != len(s.dataCentres) {
			return false
		}
		for _, d := range m.Msg.GetDataCentres() {
			if d.GetWorkers() == 0 {
				return false
			}
		}
		return true
	})
	file := filepath.Join(s.folder, "objects.ini")
	require.NoError(t, os.WriteFile(file, []byte(objectsFile), 0o600))
	out, err := s.ctl(s.dataCentres["tartu"].operators[0], "apply", file)
	require.NoError(t, err, out)
}

// post sends a request through a gateway and returns the response and its body.
func post(t *testing.T, gateway, path, id string) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+gateway+path, strings.NewReader("receipt "+id))
	require.NoError(t, err)
	r.Header.Set(briarspring.HeaderRequestID, id)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer, string(body)
}

func TestWholePath(t *testing.T) {
	s := startSystem(t, allDataCentres, 2, 3)
	applyObjects(t, s)
	for _, p := range s.dataCentres {
		for i, gateway := range p.gateways {
			s.waitFor(20*time.Second, "a request is served", func() bool {
				answer, _ := post(t, gateway, "/ledger/read", "warm-up")
				return answer.StatusCode == http.StatusOK
			})
			id := fmt.Sprintf("%s-%d", p.name, i)
			answer, body := post(t, gateway, "/ledger/read", id)
			assert.Equal(t, http.StatusOK, answer.StatusCode, body)
			assert.Equal(t, string(briarspring.OutcomeServed), answer.Header.Get(briarspring.HeaderOutcome))
			assert.Equal(t, id, answer.Header.Get(briarspring.HeaderRequestID))
			assert.Contains(t, body, " "+id+" /ledger/read ")
		}
	}
	gateway := s.dataCentres["voru"].gateways[1]
	answer, _ := post(t, gateway, "/nothing/here", "lost")
	assert.Equal(t, http.StatusNotFound, answer.StatusCode)
	assert.Equal(t, string(briarspring.OutcomeNotRun), answer.Header.Get(briarspring.HeaderOutcome))

	out, err := s.ctl(s.dataCentres["viljandi"].operators[1], "wait", "--limit", "30s", "archive")
	require.NoError(t, err, out)
	m, err := s.client(s.dataCentres["voru"].operators[0]).DescribeJob(context.Background(),
		connect.NewRequest(&pb.DescribeRequest{Name: "archive"}))
	require.NoError(t, err)
	assert.Equal(t, "done", m.Msg.GetState())
	assert.EqualValues(t, 12, totals(m.Msg.GetProgress()).GetDone())
	checkDoneOnce(t, s, "archive", 12)
}

// journalEntry is an entry of a worker's journal.
type journalEntry struct {
	Time       time.Time `json:"time"`
	Worker     string    `json:"worker"`
	Kind       string    `json:"kind"`
	Name       string    `json:"name"`
	Index      uint32    `json:"index"`
	Attempt    uint32    `json:"attempt"`
	Checkpoint uint64    `json:"checkpoint"`
	Saved      uint64    `json:"saved"`
}

// journal returns the journal entries of all workers.
func journal(s *system) []journalEntry {
	var all []journalEntry
	for _, p := range s.dataCentres {
		var entries []journalEntry
		s.get(p.workersAdmin, "/journal", &entries)
		all = append(all, entries...)
	}
	return all
}

// sortedJournal returns the journal entries of all workers, sorted by time.
func sortedJournal(s *system) []journalEntry {
	all := journal(s)
	slices.SortStableFunc(all, func(a, b journalEntry) int { return a.Time.Compare(b.Time) })
	return all
}

func checkDoneOnce(t *testing.T, s *system, job string, tasks int) {
	done := map[uint32]int{}
	for _, e := range journal(s) {
		if e.Name == job && e.Kind == "done" {
			done[e.Index]++
		}
	}
	assert.Len(t, done, tasks)
	for index, n := range done {
		assert.Equal(t, 1, n, "task %d completed %d times", index, n)
	}
}
