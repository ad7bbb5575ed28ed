package admitter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/replicator"
)

const (
	keyOfAcme  = "secret-of-acme"
	keyOfBirch = "secret-of-birch"
	keyOfNone  = "secret-of-none"
)

var (
	closedQueue = briarspring.Queue{Name: "closed", Host: "h", Prefix: "/closed/", MaxAttempts: 3}
	publicQueue = briarspring.Queue{Name: "public", Host: "h", Prefix: "/public/", MaxAttempts: 3, Public: true}
)

// fakeCatalogue has the directory that a test sets.
type fakeCatalogue struct {
	directory briarspring.Directory
	index     *briarspring.KeyIndex
	unread    bool
}

// set puts the next version into force, with the given keys and their organisations.
func (c *fakeCatalogue) set(keysRequired bool, keys map[string]string) {
	index := map[briarspring.KeyDigest]string{}
	for key, name := range keys {
		index[briarspring.DigestKey(key)] = name
	}
	c.index = briarspring.NewKeyIndex(index)
	c.directory = briarspring.Directory{
		Version: c.directory.Version + 1, KeysRequired: keysRequired, Queues: []briarspring.Queue{closedQueue, publicQueue},
	}
}

func (c *fakeCatalogue) Directory() (briarspring.Directory, bool) { return c.directory, !c.unread }
func (c *fakeCatalogue) Snapshot() (briarspring.Directory, *briarspring.KeyIndex, bool) {
	return c.directory, c.index, !c.unread
}
func (c *fakeCatalogue) OutOfService(string) bool { return false }

// fakeFreshness is a stream that was last read some time ago.
type fakeFreshness struct {
	age     time.Duration
	refresh func()
}

func (f *fakeFreshness) LastReadSent() (time.Duration, bool) { return time.Hour, true }
func (f *fakeFreshness) Age() (time.Duration, bool)          { return f.age, true }
func (f *fakeFreshness) Refresh(context.Context) {
	if f.refresh != nil {
		f.refresh()
	}
}

// fakeStream is a shared stream that the replica reads at once, or when it is refreshed.
type fakeStream struct {
	replica *replicator.Replica
	unread  []briarspring.KeyedRecord
	end     uint64
	delayed bool
	writes  int
	fail    func() error // Called before each write; may be nil.
}

func (s *fakeStream) Write(_ context.Context, records ...briarspring.KeyedRecord) error {
	if s.fail != nil {
		if err := s.fail(); err != nil {
			return err
		}
	}
	s.writes++
	for _, r := range records {
		r.Offset = s.end
		s.end++
		s.unread = append(s.unread, r)
	}
	if !s.delayed {
		s.read()
	}
	return nil
}

func (s *fakeStream) read() {
	s.replica.Apply(s.unread)
	s.unread = nil
}

type bench struct {
	*Admitter
	catalogue *fakeCatalogue
	directory *fakeFreshness
	shared    *fakeStream
	lines     *bytes.Buffer
	hashes    int
}

func newBench(t *testing.T) *bench {
	now := func() time.Duration { return time.Minute }
	b := &bench{catalogue: &fakeCatalogue{}, directory: &fakeFreshness{}, lines: &bytes.Buffer{}}
	b.shared = &fakeStream{replica: replicator.New(replicator.Config{Now: now})}
	b.catalogue.set(true, map[string]string{keyOfAcme: "acme", keyOfBirch: "birch"})
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{DataCentre: "tartu", Owner: "host"})
	require.NoError(t, err)
	require.NoError(t, b.shared.Write(t.Context(), briarspring.KeyedRecord{Key: registrar.ClaimKey("tartu", "1"), Value: value}))
	b.Admitter = New(Config{
		DataCentre: "tartu", DataCentres: []string{"tartu"}, Shared: b.shared, Catalogue: b.catalogue, Replica: b.shared.replica,
		Reading: &fakeFreshness{refresh: func() { b.shared.read() }}, DirectoryReading: b.directory, Now: now,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: b.lines, JSONFormat: true}),
		Digest: func(key string) briarspring.KeyDigest {
			b.hashes++
			return briarspring.DigestKey(key)
		},
	})
	return b
}

func (b *bench) identify(queue, key string) (Caller, error) {
	c, _, err := b.Identify("h", "/"+queue+"/", key)
	return c, err
}

func (b *bench) mustIdentify(t *testing.T, queue, key string) Caller {
	t.Helper()
	c, err := b.identify(queue, key)
	require.NoError(t, err)
	return c
}

func workflow(id briarspring.WorkflowID) *briarspring.Workflow {
	return &briarspring.Workflow{ID: id, Steps: []briarspring.Step{{Tasks: 1}}}
}

func assertCause(t *testing.T, want string, err error) {
	t.Helper()
	var e *KeyError
	require.ErrorAs(t, err, &e)
	assert.Equal(t, want, e.Cause)
	uncertain := want == CauseUncertain || want == CauseRevocation
	assert.Equal(t, uncertain, e.RetryAfter > 0)
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	var refused *RefusedError
	assert.ErrorAs(t, err, &refused)
}

// Guards against calls that pass without the key that they need, or fail with the key
// that they have.
func TestIdentify(t *testing.T) {
	for _, c := range []struct {
		name, queue, key    string
		age                 time.Duration
		open                bool // No keys are required.
		cause, organisation string
	}{
		{name: "a known key", queue: "closed", key: keyOfAcme, organisation: "acme"},
		{name: "another known key", queue: "closed", key: keyOfBirch, organisation: "birch"},
		{name: "no key", queue: "closed", cause: CauseMissing},
		{name: "no key and an old directory", queue: "closed", age: time.Minute, cause: CauseMissing},
		{name: "an unknown key", queue: "closed", key: keyOfNone, cause: CauseUnknown},
		{name: "an unknown key and an old directory", queue: "closed", key: keyOfNone, age: staleAge, cause: CauseUncertain},
		{name: "a known key and an old directory", queue: "closed", key: keyOfAcme, age: time.Hour, organisation: "acme"},
		{name: "a public queue without a key", queue: "public"},
		{name: "a public queue with an unknown key", queue: "public", key: keyOfNone},
		{name: "a public queue with an unknown key and an old directory", queue: "public", key: keyOfNone, age: time.Minute},
		{name: "a public queue with a known key", queue: "public", key: keyOfAcme, organisation: "acme"},
		{name: "no organisations and no key", queue: "closed", open: true},
		{name: "no organisations and a key", queue: "closed", key: keyOfAcme, open: true, age: time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.directory.age = c.age
			if c.open {
				b.catalogue.set(false, nil)
			}
			caller, err := b.identify(c.queue, c.key)
			if c.cause != "" {
				assertCause(t, c.cause, err)
				assert.NotContains(t, err.Error(), "secret")
				assert.Equal(t, 1.0, b.Outcomes()["key/"+c.cause]["count"])
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.organisation, caller.Organisation)
			assert.Empty(t, b.Outcomes())
		})
	}
	t.Run("before the directory was read", func(t *testing.T) {
		b := newBench(t)
		b.catalogue.unread = true
		_, err := b.identify("closed", keyOfAcme)
		assertRefused(t, err)
	})
}

// Guards against hosts that accept keys longer than the settings allow while they can't
// read the directory, and those that stop without being asked to.
func TestStrictRevocation(t *testing.T) {
	const most = 2 * time.Second
	for _, c := range []struct {
		queue, key string
		age        time.Duration
		cause      string
	}{
		{queue: "closed", key: keyOfAcme, age: most - 1},
		{queue: "closed", key: keyOfAcme, age: most, cause: CauseRevocation},
		{queue: "public", key: keyOfAcme, age: most, cause: CauseRevocation},
		{queue: "public", age: time.Hour},
		{queue: "public", key: keyOfNone, age: time.Hour},
		{queue: "closed", age: time.Hour, cause: CauseMissing},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			b := newBench(t)
			b.config.MaxKeyAge = most
			b.directory.age = c.age
			_, err := b.identify(c.queue, c.key)
			if c.cause == "" {
				assert.NoError(t, err)
				return
			}
			assertCause(t, c.cause, err)
		})
	}
}

// Guards against work for each call that grows with the number of keys.
func TestOneHashForEachCall(t *testing.T) {
	b := newBench(t)
	keys := map[string]string{}
	for i := range 5600 {
		keys[fmt.Sprint("key-", i)] = fmt.Sprint("organisation-", i/10)
	}
	b.catalogue.set(true, keys)
	for i, key := range []string{"key-0", "key-5599", keyOfNone} {
		c, err := b.identify("closed", key)
		assert.Equal(t, i+1, b.hashes)
		if err != nil {
			continue
		}
		require.NoError(t, b.SubmitFor(t.Context(), c, workflow(briarspring.WorkflowID(key))))
		_, _, err = b.PhaseFor(t.Context(), c, "w")
		require.NoError(t, err)
		assert.Equal(t, i+1, b.hashes)
	}
}

// Guards against a key that is removed while a call is under way and still has an effect.
func TestKeyRemovedDuringACall(t *testing.T) {
	b := newBench(t)
	c := b.mustIdentify(t, "closed", keyOfAcme)
	require.NoError(t, b.SubmitFor(t.Context(), c, workflow("1")))
	writes := b.shared.writes
	b.catalogue.set(true, map[string]string{keyOfBirch: "birch"})
	assertCause(t, CauseUnknown, b.SubmitFor(t.Context(), c, workflow("2")))
	_, _, err := b.PhaseFor(t.Context(), c, "1")
	assertCause(t, CauseUnknown, err)
	_, err = b.CancelFor(t.Context(), c, "1")
	assertCause(t, CauseUnknown, err)
	assert.Equal(t, writes, b.shared.writes)
	t.Run("while the log refuses records, or answers without saying what it did", func(t *testing.T) {
		var unanswered *briarspring.NoAnswerError
		for _, failure := range []error{&briarspring.NotExecutedError{Reason: "r"}, &briarspring.NoAnswerError{Call: "append", Cause: context.DeadlineExceeded}} {
			b := newBench(t)
			c, writes := b.mustIdentify(t, "closed", keyOfAcme), b.shared.writes
			b.shared.fail = func() error {
				b.catalogue.set(true, nil)
				b.shared.fail = nil
				return failure
			}
			err := b.SubmitFor(t.Context(), c, workflow("5"))
			if errors.As(failure, &unanswered) {
				assert.ErrorAs(t, err, &unanswered, "the first attempt may have had an effect")
			} else {
				assertCause(t, CauseUnknown, err)
			}
			assert.Equal(t, writes, b.shared.writes)
		}
	})
	t.Run("or whose organisation changes", func(t *testing.T) {
		c := b.mustIdentify(t, "closed", keyOfBirch)
		b.catalogue.set(true, map[string]string{keyOfBirch: "acme"})
		_, _, err := b.PhaseFor(t.Context(), c, "1")
		assertRefused(t, err)
		require.NoError(t, b.SubmitFor(t.Context(), c, workflow("3")))
		owner, _ := b.ownerOf("3")
		assert.Equal(t, "acme", owner)
	})
	t.Run("or that becomes necessary", func(t *testing.T) {
		b.catalogue.set(false, nil)
		c := b.mustIdentify(t, "closed", "")
		b.catalogue.set(true, nil)
		assertCause(t, CauseMissing, b.SubmitFor(t.Context(), c, workflow("4")))
	})
}

// Guards against organisations that see, cancel or take over each other's workflows, or
// learn that they exist.
func TestWorkflowsOfAnotherOrganisation(t *testing.T) {
	b := newBench(t)
	acme, birch, nobody := b.mustIdentify(t, "closed", keyOfAcme), b.mustIdentify(t, "closed", keyOfBirch), b.mustIdentify(t, "public", "")
	require.NoError(t, b.SubmitFor(t.Context(), acme, workflow("1")))
	require.NoError(t, b.SubmitFor(t.Context(), nobody, workflow("2")))
	writes := b.shared.writes
	assertKnown := func(t *testing.T, want bool, c Caller, id briarspring.WorkflowID) {
		t.Helper()
		phase, known, err := b.PhaseFor(t.Context(), c, id)
		require.NoError(t, err)
		assert.Equal(t, want, known)
		if !want {
			assert.Zero(t, phase)
		}
	}
	t.Run("are cancelled like unknown ones when the log gives no answer", func(t *testing.T) {
		b.shared.fail = func() error { return &briarspring.NoAnswerError{Call: "append", Cause: errors.New("lost")} }
		defer func() { b.shared.fail = nil }()
		for _, id := range []briarspring.WorkflowID{"1", "9"} {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			known, err := b.CancelFor(ctx, birch, id)
			cancel()
			var unanswered *briarspring.NoAnswerError
			require.ErrorAs(t, err, &unanswered)
			assert.False(t, known)
		}
		phase, _, err := b.PhaseFor(t.Context(), acme, "1")
		require.NoError(t, err)
		assert.Equal(t, briarspring.PhaseQueued, phase)
	})
	t.Run("don't exist", func(t *testing.T) {
		assertKnown(t, true, acme, "1")
		assertKnown(t, false, birch, "1")
		assertKnown(t, false, nobody, "1")
		for _, c := range []Caller{birch, nobody} {
			for _, id := range []briarspring.WorkflowID{"1", "8"} {
				known, err := b.CancelFor(t.Context(), c, id)
				require.NoError(t, err)
				assert.False(t, known)
				assert.Equal(t, writes+1, b.shared.writes, "a foreign workflow takes as many writes as an unknown one")
				writes = b.shared.writes
			}
		}
		phase, _, err := b.PhaseFor(t.Context(), acme, "1")
		require.NoError(t, err)
		assert.Equal(t, briarspring.PhaseQueued, phase)
	})
	t.Run("are answered like unknown ones when the state is too old", func(t *testing.T) {
		fresh := b.config.Reading
		b.config.Reading = &fakeFreshness{age: time.Minute}
		defer func() { b.config.Reading = fresh }()
		_, _, foreign := b.PhaseFor(t.Context(), birch, "1")
		_, _, unknown := b.PhaseFor(t.Context(), birch, "9")
		require.Error(t, foreign)
		assert.Equal(t, unknown, foreign)
	})
	t.Run("keep their IDs", func(t *testing.T) {
		for _, c := range []Caller{birch, nobody} {
			err := b.SubmitFor(t.Context(), c, workflow("1"))
			assertRefused(t, err)
			assert.NotContains(t, err.Error(), "acme")
			assert.NotContains(t, err.Error(), "organisation")
		}
		assert.Equal(t, writes, b.shared.writes)
		owner, _ := b.ownerOf("1")
		assert.Equal(t, "acme", owner)
	})
	t.Run("without an organisation exist for all", func(t *testing.T) {
		assertKnown(t, true, acme, "2")
		assertKnown(t, true, nobody, "2")
		assert.NoError(t, b.SubmitFor(t.Context(), acme, workflow("2")))
	})
	t.Run("exist for operators", func(t *testing.T) {
		_, known, err := b.Phase(t.Context(), "1")
		require.NoError(t, err)
		assert.True(t, known)
		assert.NoError(t, b.Submit(t.Context(), closedQueue, workflow("1")))
		known, err = b.Cancel(t.Context(), "1")
		require.NoError(t, err)
		assert.True(t, known)
	})
	t.Run("exist for all once keys aren't required", func(t *testing.T) {
		b.catalogue.set(false, nil)
		assertKnown(t, true, b.mustIdentify(t, "closed", ""), "1")
	})
	assert.Contains(t, b.lines.String(), `"organisation":"acme"`)
	assert.NotContains(t, b.lines.String(), "secret")
}

// Guards against a second run, or a refusal, of a workflow whose submission is repeated
// after the organisation has changed its key.
func TestRepeatedSubmissionAfterARotation(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), workflow("1")))
	writes := b.shared.writes
	require.NoError(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), workflow("1")))
	b.catalogue.set(true, map[string]string{"secret-new": "acme"})
	c := b.mustIdentify(t, "closed", "secret-new")
	require.NoError(t, b.SubmitFor(t.Context(), c, workflow("1")))
	assert.Equal(t, writes, b.shared.writes)
	_, known, err := b.PhaseFor(t.Context(), c, "1")
	require.NoError(t, err)
	assert.True(t, known)
}

// Guards against a caller who is told that its workflow is accepted, while the one that
// counts is another organisation's, which another host has accepted a moment before.
func TestSubmissionsOfOneIDAtTheSameTime(t *testing.T) {
	b := newBench(t)
	b.shared.delayed = true
	value, err := encoder.EncodeSubmission(&briarspring.Workflow{ID: "1", Organisation: "birch", Steps: []briarspring.Step{{Tasks: 1}}})
	require.NoError(t, err)
	require.NoError(t, b.shared.Write(t.Context(), briarspring.KeyedRecord{Key: registrar.SubmissionKey("1", "x"), Value: value}))
	assertRefused(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), workflow("1")))
	assert.NoError(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), workflow("2")))
	t.Run("but accepts what it can't read in time", func(t *testing.T) {
		b.config.Reading = &fakeFreshness{}
		assert.NoError(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), workflow("3")))
	})
}

// Guards against a submission whose organisation isn't stored with it.
func TestOrganisationIsStored(t *testing.T) {
	b := newBench(t)
	for key, want := range map[string]string{keyOfAcme: "acme", keyOfBirch: "birch", "": ""} {
		id := briarspring.WorkflowID("w-" + want)
		require.NoError(t, b.SubmitFor(t.Context(), b.mustIdentify(t, "public", key), workflow(id)))
		owner, known := b.ownerOf(id)
		assert.True(t, known)
		assert.Equal(t, want, owner)
	}
}

// Guards against gangs that are accepted and wait for ever, since their organisation may
// never use as much.
func TestGangBeyondTheLimit(t *testing.T) {
	amount := func(milliCPU, memoryMiB int64) briarspring.Resources {
		return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: milliCPU, MemoryMiB: memoryMiB})
	}
	for _, c := range []struct {
		name    string
		gang    bool
		tasks   int
		limit   briarspring.Resources
		refused bool
	}{
		{"within the limit", true, 4, amount(4000, 0), false},
		{"one task more", true, 4, amount(3000, 0), false},
		{"more than one task more", true, 4, amount(2999, 0), true},
		{"more memory", true, 4, amount(4000, 299), true},
		{"without a limit", true, 4, amount(0, 0), false},
		{"no gang", false, 4, amount(1, 0), false},
		{"a single task", true, 1, amount(1, 0), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.catalogue.directory.Organisations = []briarspring.Organisation{{Name: "acme", Limit: c.limit}}
			w := workflow("1")
			w.Steps = []briarspring.Step{{Tasks: c.tasks, Gang: c.gang, Resources: amount(1000, 100)}}
			writes := b.shared.writes
			err := b.SubmitFor(t.Context(), b.mustIdentify(t, "closed", keyOfAcme), w)
			if !c.refused {
				require.NoError(t, err)
				return
			}
			assertRefused(t, err)
			assert.Equal(t, writes, b.shared.writes)
		})
	}
}
