package imitator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// KeyedStore is a stand-in for the platform's keyed streams, held in memory.
type KeyedStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   KeyedFaults
	outages  map[*StreamOutage]bool
	streams  map[string]*keyedStream
	pageSize int // Maximum number of records in an answer of Newest.
	calls    int
	received map[string]int // Bytes of records by caller.
}

// Limits of the platform's store.
const (
	// MaxRecordBytes is the size of the largest record: the length of its key in one
	// byte, the key and the value.
	MaxRecordBytes = 256 << 10
	// maxAppendBytes is the largest sum of the records of one append.
	maxAppendBytes = 2 << 20
	// maxPageBytes is the largest answer of Newest.
	maxPageBytes = 1 << 20
	// lengthBytes is the length field before each record of a read.
	lengthBytes = 4
	// repeatedAppends is the number of appends of a writer that may be repeated.
	repeatedAppends = 5
)

// recordBytes returns the size of a record.
func recordBytes(r briarspring.KeyedRecord) int { return 1 + len(r.Key) + len(r.Value) }

// checkSize returns a *briarspring.NotExecutedError if an append is too large.
func checkSize(records []briarspring.KeyedRecord) error {
	total := 0
	for _, r := range records {
		if n := recordBytes(r); n > MaxRecordBytes {
			return &briarspring.NotExecutedError{Call: "append", Reason: fmt.Sprintf("record of %d bytes", n)}
		}
		total += recordBytes(r)
	}
	if total > maxAppendBytes {
		return &briarspring.NotExecutedError{Call: "append", Reason: fmt.Sprintf("%d bytes", total)}
	}
	return nil
}

// KeyedFaults are the faults that can be injected into a KeyedStore while it
// runs.
type KeyedFaults struct {
	Down            bool          // Calls fail with NotExecutedError.
	Silent          bool          // Calls get no answer.
	Latency         time.Duration // Of each call.
	LostAnswerShare float64       // Share of appends that get no answer.
	LateAppendShare float64       // Share of those that are carried out seconds later.
	CutCallers      map[string]bool
}

type keyedStream struct {
	first         uint64 // Oldest offset in the history.
	end           uint64
	history       []briarspring.KeyedRecord
	newest        map[string]briarspring.KeyedRecord
	epoch         uint64
	sequence      uint64
	writer        string            // Caller of the last fenced append.
	endBySequence map[uint64]uint64 // Answers to the appends of this epoch, for repeats.
	appended      chan struct{}
}

// NewKeyedStore returns an empty store. The seed determines which answers are
// lost.
func NewKeyedStore(seed uint64) *KeyedStore {
	return &KeyedStore{
		random: rand.New(rand.NewPCG(seed, seed)), outages: map[*StreamOutage]bool{}, streams: map[string]*keyedStream{},
		pageSize: defaultPageSize, received: map[string]int{},
	}
}

// Calls returns the number of calls so far, refused ones included.
func (s *KeyedStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Received returns the bytes of records that a caller has read so far.
func (s *KeyedStore) Received(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[caller]
}

func (s *KeyedStore) countReceived(caller string, records []briarspring.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.received[caller] += lengthBytes + recordBytes(r)
	}
}

// reachable reports whether the store takes the entries of workers.
func (s *KeyedStore) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.Down && !s.faults.Silent && s.outageOf("", briarspring.WorkersStream) == nil
}

// SetPageSize sets the maximum number of records in an answer of Newest.
// Several pages are not a consistent snapshot; small pages expose callers that
// rely on one.
func (s *KeyedStore) SetPageSize(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = records
}

// SetFaults replaces the injected faults.
func (s *KeyedStore) SetFaults(f KeyedFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Cut disconnects a caller from the store or reconnects it.
func (s *KeyedStore) Cut(caller string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutCallers == nil {
		s.faults.CutCallers = map[string]bool{}
	}
	s.faults.CutCallers[caller] = cut
}

// TrimHistory drops the history of all streams and keeps the newest record of
// each key.
func (s *KeyedStore) TrimHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.history = nil
		st.first = st.end
	}
}

// Put writes records without latency, faults or fence.
func (s *KeyedStore) Put(stream string, records ...briarspring.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(stream).add(records)
}

// Client returns the named caller's access to the store.
func (s *KeyedStore) Client(name string) *KeyedClient { return &KeyedClient{store: s, caller: name} }

// KeyedClient is one caller's access to a KeyedStore.
type KeyedClient struct {
	store  *KeyedStore
	caller string
}

func (s *KeyedStore) stream(name string) *keyedStream {
	st := s.streams[name]
	if st == nil {
		st = &keyedStream{newest: map[string]briarspring.KeyedRecord{}, endBySequence: map[uint64]uint64{}, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *keyedStream) add(records []briarspring.KeyedRecord) {
	for _, r := range records {
		r.Offset = st.end
		st.end++
		st.history = append(st.history, r)
		if len(r.Value) == 0 {
			delete(st.newest, r.Key)
		} else {
			st.newest[r.Key] = r
		}
	}
	if len(records) > 0 {
		close(st.appended)
		st.appended = make(chan struct{})
	}
}

// simulateFaults waits for the latency and fails as the injected faults require.
func (c *KeyedClient) simulateFaults(ctx context.Context, call, stream string) error {
	c.store.mu.Lock()
	c.store.calls++
	f := c.store.faults
	cut := f.CutCallers[c.caller]
	c.store.mu.Unlock()
	if cut || f.Silent {
		<-ctx.Done()
		return &briarspring.NoAnswerError{Call: call, Cause: ctx.Err()}
	}
	if err := sleeper.For(ctx, f.Latency); err != nil {
		return &briarspring.NoAnswerError{Call: call, Cause: err}
	}
	if f.Down {
		return &briarspring.NotExecutedError{Call: call, Reason: "the store is down"}
	}
	return c.meetOutage(ctx, call, stream)
}

// deliver fails if the answer to a call can't reach the caller any more.
func (c *KeyedClient) deliver(ctx context.Context, call, stream string) error {
	c.store.mu.Lock()
	blocked := c.store.faults.Silent || c.store.faults.CutCallers[c.caller]
	c.store.mu.Unlock()
	if !blocked {
		return c.meetOutage(ctx, call, stream)
	}
	<-ctx.Done()
	return &briarspring.NoAnswerError{Call: call, Cause: ctx.Err()}
}

// A late append is carried out 1 to 6 s after it was sent, as on the platform.
const (
	lateAppendAfter  = time.Second
	lateAppendSpread = 5 * time.Second
)

// Append adds records to a stream and returns the offset after them.
func (c *KeyedClient) Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (uint64, error) {
	if err := c.simulateFaults(ctx, "append", stream); err != nil {
		return 0, err
	}
	if err := checkSize(records); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	lost := s.random.Float64() < s.faults.LostAnswerShare
	late := lost && s.random.Float64() < s.faults.LateAppendShare
	delay := lateAppendAfter + time.Duration(s.random.Int64N(int64(lateAppendSpread)))
	s.mu.Unlock()
	if late {
		go func() {
			time.Sleep(delay)
			_, _ = s.append(c.caller, stream, records, fence)
		}()
	}
	var next uint64
	var err error
	if !late {
		next, err = s.append(c.caller, stream, records, fence)
	}
	if lost {
		<-ctx.Done()
		return 0, &briarspring.NoAnswerError{Call: "append", Cause: ctx.Err()}
	}
	return next, err
}

func (s *KeyedStore) append(caller, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(stream)
	if fence.Epoch > 0 {
		if next, known, err := st.checkFence(stream, fence); known || err != nil {
			return next, err
		}
	}
	st.add(records)
	if fence.Epoch > 0 {
		st.writer = caller
		st.endBySequence[fence.Sequence] = st.end
		delete(st.endBySequence, fence.Sequence-repeatedAppends)
	}
	return st.end, nil
}

// checkFence checks and stores the epoch and sequence of an append. For a repeat
// it returns known and the first answer.
func (st *keyedStream) checkFence(stream string, f briarspring.Fence) (next uint64, known bool, err error) {
	switch {
	case f.Epoch < st.epoch:
		return 0, false, &briarspring.FencedError{Stream: stream, Epoch: f.Epoch}
	case f.Epoch > st.epoch:
		st.epoch = f.Epoch
		clear(st.endBySequence)
	case f.Sequence == st.sequence+1:
	default:
		if next, ok := st.endBySequence[f.Sequence]; ok {
			return next, true, nil
		}
		return 0, false, &briarspring.SequenceError{Stream: stream, Sent: f.Sequence, Expected: st.sequence + 1}
	}
	st.sequence = f.Sequence
	return 0, false, nil
}

// Read returns the records starting at an offset. It waits up to wait for the
// first one.
func (c *KeyedClient) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (briarspring.KeyedPage, error) {
	if err := c.simulateFaults(ctx, "read", stream); err != nil {
		return briarspring.KeyedPage{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := c.store.read(stream, from)
		if err != nil {
			return page, err
		}
		if len(page.Records) > 0 {
			c.store.countReceived(c.caller, page.Records)
			return page, c.deliver(ctx, "read", stream)
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, c.deliver(ctx, "read", stream)
		case <-ctx.Done():
			return briarspring.KeyedPage{}, &briarspring.NoAnswerError{Call: "read", Cause: ctx.Err()}
		}
	}
}

func (s *KeyedStore) read(stream string, from uint64) (briarspring.KeyedPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(stream)
	if from < st.first {
		return briarspring.KeyedPage{}, nil, &briarspring.TrimmedError{Stream: stream, First: st.first}
	}
	page := briarspring.KeyedPage{Next: max(from, st.end), End: st.end}
	if from < st.end {
		page.Records = slices.Clone(st.history[from-st.first:])
	}
	return page, st.appended, nil
}

// defaultPageSize is the maximum number of records in an answer of Newest
// unless SetPageSize changes it.
const defaultPageSize = 500

// Newest returns the newest records of the keys greater than after, sorted by
// key, and whether there are more.
func (c *KeyedClient) Newest(ctx context.Context, stream, after string) (briarspring.KeyedPage, bool, error) {
	if err := c.simulateFaults(ctx, "newest", stream); err != nil {
		return briarspring.KeyedPage{}, false, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	st := c.store.stream(stream)
	page := briarspring.KeyedPage{End: st.end}
	for key, r := range st.newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b briarspring.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	fit := min(len(page.Records), c.store.pageSize)
	for i, total := 0, 0; i < fit; i++ {
		if total += recordBytes(page.Records[i]); total > maxPageBytes {
			fit = max(1, i)
		}
	}
	more := len(page.Records) > fit
	page.Records = page.Records[:fit]
	return page, more, nil
}
