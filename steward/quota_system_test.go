package steward

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/allocator"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/replicator"
)

const (
	quotaLimit = 100_000
	// quotaReadInterval is between two reads of the stream, quotaWriteTime what a write
	// takes.
	quotaReadInterval = 20 * time.Millisecond
	quotaWriteTime    = 10 * time.Millisecond
)

func milliCPU(n int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: n})
}

// quotaSystem is owners of data centres with one organisation and one shared stream, in
// virtual time. It checks at each change that the organisation stays within its limit.
type quotaSystem struct {
	t      *testing.T
	began  time.Time
	ctx    context.Context
	wait   sync.WaitGroup
	mu     sync.Mutex
	stream []briarspring.KeyedRecord
	owners []*quotaOwner
	limit  int64 // The largest so far, since nothing is stopped when it is lowered.

	directory briarspring.Directory
}

// quotaOwner is an owner with a dispatcher that starts what fits into its parts.
type quotaOwner struct {
	system  *quotaSystem
	ow      *ownership
	replica *replicator.Replica
	cancel  context.CancelFunc
	next    int           // Next offset to read.
	read    time.Duration // When the last read was sent.
	cut     bool          // Neither reads nor writes.
	silent  bool          // Writes get no answer and are stored when release is called.
	held    [][]briarspring.KeyedRecord

	used, possible, waiting, task int64 // Of the organisation; task is the size of each waiting one.
	share                         int64
	list                          []dispatcher.Organisation
	calls                         int // Of SetOrganisations.
}

func inQuotaSystem(t *testing.T, name string, test func(s *quotaSystem)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &quotaSystem{t: t, began: time.Now(), ctx: ctx}
			s.setLimit(quotaLimit)
			test(s)
			cancel()
			s.wait.Wait()
		})
	})
}

func (s *quotaSystem) now() time.Duration { return time.Since(s.began) + time.Hour }

// setLimit sets the limit of kask; a negative one removes it from the directory.
func (s *quotaSystem) setLimit(limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(s.limit, limit)
	s.directory = briarspring.Directory{Version: s.directory.Version + 1}
	if limit >= 0 {
		s.directory.Organisations = []briarspring.Organisation{{Name: "kask", Weight: 1, Limit: milliCPU(limit)}}
	}
}

func (s *quotaSystem) Directory() (briarspring.Directory, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory, true
}

func (s *quotaSystem) OutOfService(string) bool { return false }

func (s *quotaSystem) Restored() bool { return true }

// store appends records. Callers hold mu.
func (s *quotaSystem) store(records []briarspring.KeyedRecord) {
	for _, r := range records {
		r.Offset = uint64(len(s.stream))
		s.stream = append(s.stream, r)
	}
}

// claim makes a new owner of a data centre, which replaces the earlier one in the stream.
func (s *quotaSystem) claim(dataCentre string) *quotaOwner {
	s.mu.Lock()
	r := registrar.New()
	for _, rec := range s.stream {
		_, err := r.Apply(s.now(), rec)
		require.NoError(s.t, err)
	}
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{DataCentre: dataCentre, Previous: r.Claim(dataCentre).Token, Owner: "host"})
	require.NoError(s.t, err)
	s.store([]briarspring.KeyedRecord{{Key: registrar.ClaimKey(dataCentre, registrar.NewAttemptID()), Value: value}})
	token := uint64(len(s.stream))
	o := &quotaOwner{system: s, replica: replicator.New(replicator.Config{Now: s.now}), next: len(s.stream)}
	o.replica.Apply(s.stream)
	o.read = s.now()
	s.owners = append(s.owners, o)
	s.mu.Unlock()
	owner := New(Config{
		Host: "host", DataCentre: dataCentre, DataCentres: []string{"tartu", "viljandi"}, Shared: o, Catalogue: s,
		Replica: o.replica, ReplicaFreshness: o, Now: s.now,
	})
	o.ow = newOwnership(owner, registrar.Claim{Token: token, Owner: "host"})
	o.ow.quota.engine = o
	ctx, cancel := context.WithCancel(s.ctx)
	o.cancel = cancel
	s.wait.Go(func() { o.readLoop(ctx) })
	s.wait.Go(func() { o.ow.quotaLoop(ctx) })
	s.wait.Go(func() { o.ow.quotaWriteLoop(ctx) })
	return o
}

func (o *quotaOwner) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(quotaReadInterval)
		o.system.mu.Lock()
		var page []briarspring.KeyedRecord
		if !o.cut {
			page = o.system.stream[o.next:]
			o.next, o.read = len(o.system.stream), o.system.now()
		}
		o.system.mu.Unlock()
		// Owners call the system while they view the replica.
		o.replica.Apply(page)
	}
}

func (o *quotaOwner) LastReadSent() (time.Duration, bool) {
	o.system.mu.Lock()
	defer o.system.mu.Unlock()
	return o.read, true
}

func (*quotaOwner) StoreLatency() time.Duration { return 0 }

var errNoAnswer = errors.New("no answer")

// Write implements Writer.
func (o *quotaOwner) Write(_ context.Context, records ...briarspring.KeyedRecord) error {
	time.Sleep(quotaWriteTime)
	o.system.mu.Lock()
	defer o.system.mu.Unlock()
	switch {
	case o.silent:
		o.held = append(o.held, records)
		return errNoAnswer
	case o.cut:
		return errNoAnswer
	}
	o.system.store(records)
	return nil
}

// release stores what got no answer, the last records first and twice.
func (o *quotaOwner) release() {
	o.system.mu.Lock()
	defer o.system.mu.Unlock()
	for i := len(o.held) - 1; i >= 0; i-- {
		o.system.store(o.held[i])
		o.system.store(o.held[i])
	}
	o.held, o.silent = nil, false
}

// SetOrganisations implements quotaEngine.
func (o *quotaOwner) SetOrganisations(_ time.Duration, list []dispatcher.Organisation, _ uint64) {
	o.list = list
	o.calls++
	for _, organisation := range list {
		if organisation.Name == "kask" {
			o.share = allocator.Share(organisation.Limit, organisation.Parts).MilliCPU()
		}
	}
	o.startTasks()
}

// startTasks starts the waiting tasks that fit into the share. Callers hold the
// ownership's mutex.
func (o *quotaOwner) startTasks() {
	s := o.system
	s.mu.Lock()
	defer s.mu.Unlock()
	for o.waiting >= o.task && o.task > 0 && o.used+o.possible+o.task <= o.share {
		o.used += o.task
		o.waiting -= o.task
	}
	sum := int64(0)
	for _, other := range s.owners {
		sum += other.used
	}
	assert.LessOrEqual(s.t, sum, s.limit, "in use in all data centres")
}

// OrganisationUse implements quotaEngine.
func (o *quotaOwner) OrganisationUse() map[string]dispatcher.OrganisationUse {
	if o.used+o.possible+o.waiting == 0 {
		return nil
	}
	return map[string]dispatcher.OrganisationUse{"kask": {Used: milliCPU(o.used), Possible: milliCPU(o.possible), Waiting: milliCPU(o.waiting)}}
}

// submit adds n tasks of a size.
func (o *quotaOwner) submit(n, size int64) {
	o.ow.mu.Lock()
	defer o.ow.mu.Unlock()
	o.task = size
	o.waiting += n * size
	o.startTasks()
}

// finish ends everything that runs.
func (o *quotaOwner) finish() {
	o.ow.mu.Lock()
	defer o.ow.mu.Unlock()
	o.used = 0
	o.startTasks()
}

// stop ends the owner and everything that runs or waits there.
func (o *quotaOwner) stop() {
	o.cancel()
	o.ow.mu.Lock()
	defer o.ow.mu.Unlock()
	o.used, o.waiting = 0, 0
}

func (o *quotaOwner) inUse() int64 {
	o.ow.mu.Lock()
	defer o.ow.mu.Unlock()
	return o.used
}

// parts returns the parts that the dispatcher was told.
func (o *quotaOwner) parts() int {
	o.ow.mu.Lock()
	defer o.ow.mu.Unlock()
	for _, organisation := range o.list {
		if organisation.Name == "kask" {
			return organisation.Parts
		}
	}
	return -1
}

// count returns the number of records with a key prefix in the stream.
func (s *quotaSystem) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.stream {
		if strings.HasPrefix(r.Key, prefix) {
			n++
		}
	}
	return n
}

// left returns the number of keys with a prefix that have a value.
func (s *quotaSystem) left(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := map[string]bool{}
	for _, r := range s.stream {
		if strings.HasPrefix(r.Key, prefix) {
			keys[r.Key] = true
			if len(r.Value) == 0 {
				delete(keys, r.Key)
			}
		}
	}
	return len(keys)
}

// setCut cuts an owner off the stream or joins it again.
func (o *quotaOwner) setCut(cut bool) {
	o.system.mu.Lock()
	defer o.system.mu.Unlock()
	o.cut = cut
}

// setSilent makes the owner's writes get no answer.
func (o *quotaOwner) setSilent() {
	o.system.mu.Lock()
	defer o.system.mu.Unlock()
	o.silent = true
}
