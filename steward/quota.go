package steward

import (
	"context"
	"maps"
	"slices"
	"time"

	"briarspring"
	"briarspring/allocator"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/sleeper"
)

const (
	// quotaInterval is the time between two looks at requests and needs. A request and
	// the grant that answers it each wait for one, and are written and read once.
	quotaInterval = 50 * time.Millisecond
	// minRequestInterval is the minimum time between two requests of an owner.
	minRequestInterval = 100 * time.Millisecond
	// quotaReadTime is how long a stored record may take to be read back before it is
	// written again. Reads of a slow store take 0.8 s.
	quotaReadTime = 2 * time.Second
	// quotaDeleteInterval is the time between two deletions of superseded records, of
	// at most maxQuotaDeletions. Hosts that restore their state read pages for less.
	quotaDeleteInterval = 2 * time.Second
	maxQuotaDeletions   = 64
)

// quotaEngine is what the quotas of organisations apply to.
type quotaEngine interface {
	SetOrganisations(now time.Duration, list []dispatcher.Organisation, directoryVersion uint64)
	OrganisationUse() map[string]dispatcher.OrganisationUse
}

// quotaBook is what an owner knows and has decided of the parts of limits. The
// ownership's mutex guards it.
type quotaBook struct {
	engine     quotaEngine // Nil before the takeover is complete.
	version    uint64      // Of the directory that is passed on.
	revision   uint64      // Of the registry's quotas that are passed on.
	dirty      bool        // Something else to pass on has changed.
	passed     bool        // The dispatcher knows the organisations of some directory.
	known      map[string]dispatcher.Organisation
	removed    map[string]bool // Organisations in known that are no longer in the directory.
	limited    []string        // Names in known that have a limit, sorted.
	allocators map[string]*allocator.Allocator
	decided    map[string]*quotaDecision // Last decision of this ownership by organisation.
	received   map[string]int            // Parts received so far, by organisation, for log lines.
	lastNumber int                       // Number of the last grant.
	targets    map[string]int            // To request at present.
	inUse      map[string]int            // To record at present, see briarspring.QuotaRequest.
	requested  map[string]int            // As stored last, see requestRows.

	requestedAt, poolAt, deletedAt time.Duration // When such records were stored last.
}

// quotaDecision is a grant that may not have been read back.
type quotaDecision struct {
	content  briarspring.QuotaGrant
	total    int // Sum of content.Given.
	number   int
	storedAt time.Duration // Zero until the write is answered.
}

func newQuotaBook() quotaBook {
	return quotaBook{
		known: map[string]dispatcher.Organisation{}, removed: map[string]bool{}, allocators: map[string]*allocator.Allocator{},
		decided: map[string]*quotaDecision{}, targets: map[string]int{},
		// Nothing of this kind was stored recently.
		requestedAt: -time.Hour, poolAt: -time.Hour, deletedAt: -time.Hour,
	}
}

// quotaLoop decides on requests and grants until the context ends.
func (ow *ownership) quotaLoop(ctx context.Context) {
	tick := time.NewTicker(quotaInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if ow.decideQuotas(ow.config.Now()) {
			notify(ow.quotaWrites)
		}
	}
}

// quotaWriteLoop writes what quotaLoop has decided, and retries until it is stored.
func (ow *ownership) quotaWriteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.quotaWrites:
		}
		if !ow.writeQuotas(ctx) {
			_ = sleeper.For(ctx, retryPause)
			notify(ow.quotaWrites)
		}
	}
}

// writeQuotas writes the records that are due under new attempt IDs. It returns false if
// they may not have been stored.
func (ow *ownership) writeQuotas(ctx context.Context) bool {
	records, stored := ow.quotaRecords(ow.config.Now())
	if len(records) == 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := ow.config.Shared.Write(callCtx, records...); err != nil {
		ow.logger.Debug("failed to write quotas, retrying", "records", len(records), "error", err)
		return false
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	stored(ow.config.Now())
	return true
}

// viewQuotas calls f with the registry if the claim is in force. Callers hold mu.
func (ow *ownership) viewQuotas(f func(r *registrar.Registry)) {
	ow.config.Replica.View(func(r *registrar.Registry) {
		if ow.quota.engine != nil && r.Claim(ow.config.DataCentre).Token == ow.claim.Token {
			f(r)
		}
	})
}

// passOrganisations passes the organisations and the parts held to the dispatcher if
// they have changed. Callers hold mu.
func (ow *ownership) passOrganisations(now time.Duration, r *registrar.Registry) {
	b := &ow.quota
	directory, ok := ow.config.Catalogue.Directory()
	// A directory without organisations is passed on once: until then the dispatcher
	// starts no work of organisations, as their limits are not known.
	if !ok || len(directory.Organisations) == 0 && len(b.known) == 0 && !b.dirty && b.passed {
		return
	}
	changed := directory.Version != b.version || len(b.known) == 0
	if !changed && !b.dirty && r.QuotaRevision() == b.revision {
		return
	}
	if changed {
		b.setDirectory(directory)
	}
	ow.logReceived(r)
	b.revision, b.dirty, b.passed = r.QuotaRevision(), false, true
	overuse := ow.overuse(r)
	list := make([]dispatcher.Organisation, 0, len(b.known))
	for _, name := range slices.Sorted(maps.Keys(b.known)) {
		o := b.known[name]
		o.Parts = briarspring.QuotaParts
		if !o.Limit.IsZero() {
			o.Parts = ow.heldQuota(r, name)
		}
		b.known[name] = o
		o.Parts = max(0, o.Parts-overuse[name])
		list = append(list, o)
	}
	b.engine.SetOrganisations(now, list, b.version)
}

// setDirectory takes over the organisations of a directory. Those that are no longer in
// it keep their last limit until they use nothing.
func (b *quotaBook) setDirectory(directory briarspring.Directory) {
	b.version = directory.Version
	for name := range b.known {
		b.removed[name] = true
	}
	seen := map[string]bool{}
	for _, o := range directory.Organisations {
		if !seen[o.Name] {
			seen[o.Name] = true
			delete(b.removed, o.Name)
			b.known[o.Name] = dispatcher.Organisation{Name: o.Name, Weight: o.Weight, Limit: o.Limit}
		}
	}
	b.setLimited()
}

func (b *quotaBook) setLimited() {
	b.limited = b.limited[:0]
	for name, o := range b.known {
		if !o.Limit.IsZero() {
			b.limited = append(b.limited, name)
		}
	}
	slices.Sort(b.limited)
}

// forgetRemoved drops removed organisations that use nothing and wait for nothing.
func (b *quotaBook) forgetRemoved(use map[string]dispatcher.OrganisationUse) {
	for name := range b.removed {
		if _, ok := use[name]; ok && !b.known[name].Limit.IsZero() {
			continue
		}
		delete(b.removed, name)
		delete(b.known, name)
		delete(b.allocators, name)
		b.dirty = true
	}
	if b.dirty {
		b.setLimited()
	}
}

// heldQuota returns the parts of an organisation's limit that this data centre may use:
// those of the registry, less what was decided to be given and was not read back.
func (ow *ownership) heldQuota(r *registrar.Registry, organisation string) int {
	held := r.QuotaParts(ow.config.DataCentre, organisation)
	if d := ow.quota.decided[organisation]; d != nil {
		held -= max(0, d.total-sumOf(r.QuotaGiven(ow.config.DataCentre, organisation)))
	}
	return max(0, held)
}

func sumOf(parts map[string]int) (sum int) {
	for _, n := range parts {
		sum += n
	}
	return sum
}

// logReceived logs the parts that were received since the last call.
func (ow *ownership) logReceived(r *registrar.Registry) {
	received := map[string]int{}
	for _, name := range r.MovedQuota() {
		received[name] = sumOf(r.QuotaReceived(ow.config.DataCentre, name))
		if n := received[name] - ow.quota.received[name]; n > 0 && ow.quota.received != nil {
			ow.logger.Info("quota received", "organisation", name, "parts", n, "held", ow.heldQuota(r, name))
		}
	}
	ow.quota.received = received
}

// decideQuotas updates what this data centre requests and decides what it gives. It
// returns whether there may be records to write.
func (ow *ownership) decideQuotas(now time.Duration) (write bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.viewQuotas(func(r *registrar.Registry) {
		b := &ow.quota
		ow.passOrganisations(now, r)
		if len(b.known) == 0 && len(b.requested) == 0 {
			return
		}
		use := b.engine.OrganisationUse()
		b.forgetRemoved(use)
		write = len(b.limited) > 0 || len(b.requested) > 0
		if len(r.QuotaPool()) == 0 {
			return
		}
		b.targets, b.inUse = map[string]int{}, map[string]int{}
		requests := ow.otherRequests(r)
		fresh, ok := ow.config.ReplicaFreshness.LastReadSent()
		current := ok && now-fresh <= readGapAge
		for _, name := range b.limited {
			o := b.known[name]
			u := use[name]
			need := allocator.NeedOf(o.Limit, u.Used.Add(u.Possible), u.Waiting)
			if target := allocator.Target(need, o.Parts); target > 0 {
				b.targets[name] = target
			}
			if need.InUse > o.Parts {
				b.inUse[name] = need.InUse
			}
			if current {
				ow.giveQuota(now, r, name, need, requests[name])
			}
		}
		// What was decided is deducted before the dispatcher can start anything.
		ow.passOrganisations(now, r)
	})
	return write
}

// overuse returns what runs in other data centres use beyond their shares, by
// organisation. Each data centre does without that much: it has its share of a lowered
// limit, but the limit is used up elsewhere until those runs end.
func (ow *ownership) overuse(r *registrar.Registry) map[string]int {
	sum := map[string]int{}
	for _, dataCentre := range r.QuotaMembers() {
		if dataCentre == ow.config.DataCentre {
			continue
		}
		for organisation, n := range r.QuotaOveruse(dataCentre) {
			sum[organisation] += n
		}
	}
	return sum
}

// requestRows returns one map of what is requested and what is in use beyond the share, to
// compare records.
func requestRows(targets, inUse map[string]int) map[string]int {
	rows := maps.Clone(targets)
	if rows == nil {
		rows = map[string]int{}
	}
	for name, n := range inUse {
		rows[name+"/in-use"] = n
	}
	return rows
}

// otherRequests returns what other data centres request, by organisation.
func (ow *ownership) otherRequests(r *registrar.Registry) map[string]map[string]int {
	requests := map[string]map[string]int{}
	for _, dataCentre := range r.QuotaMembers() {
		if dataCentre == ow.config.DataCentre {
			continue
		}
		for organisation, parts := range r.QuotaRequest(dataCentre) {
			if requests[organisation] == nil {
				requests[organisation] = map[string]int{}
			}
			requests[organisation][dataCentre] = parts
		}
	}
	return requests
}

// giveQuota decides what to give of an organisation's limit. The next decision waits
// until the last one has been read back.
func (ow *ownership) giveQuota(now time.Duration, r *registrar.Registry, organisation string, need allocator.Need, targets map[string]int) {
	b := &ow.quota
	held := b.known[organisation].Parts
	a := b.allocators[organisation]
	if len(targets) == 0 && held <= allocator.Initial(r.QuotaPool(), ow.config.DataCentre) {
		delete(b.allocators, organisation)
		return
	}
	given := r.QuotaGiven(ow.config.DataCentre, organisation)
	if d := b.decided[organisation]; d != nil && d.total > sumOf(given) {
		return
	}
	if a == nil {
		a = allocator.New(ow.config.DataCentre)
		b.allocators[organisation] = a
	}
	fleet := allocator.Fleet{Initial: map[string]int{}, Held: map[string]int{}, Targets: targets, Overuse: map[string]int{}}
	for _, name := range r.QuotaMembers() {
		fleet.Overuse[name] = r.QuotaOveruse(name)[organisation]
		fleet.Initial[name] = allocator.Initial(r.QuotaPool(), name)
		fleet.Held[name] = r.QuotaParts(name, organisation)
	}
	more := a.Give(now, need, fleet)
	if len(more) == 0 {
		return
	}
	for to, n := range more {
		given[to] += n
	}
	b.lastNumber++
	b.decided[organisation] = &quotaDecision{number: b.lastNumber, total: sumOf(given), content: briarspring.QuotaGrant{
		Token: ow.claim.Token, DataCentre: ow.config.DataCentre, Organisation: organisation, Given: given,
		Received: r.QuotaReceived(ow.config.DataCentre, organisation),
	}}
	b.dirty = true
	ow.logger.Info("giving quota", "organisation", organisation, "to", more, "number", b.lastNumber, "held", held-sumOf(more),
		"in-use", need.InUse, "needed", need.Total, "requested", targets)
}

// quotaRecords returns the records that are due, and a function to call under mu when
// they are stored.
func (ow *ownership) quotaRecords(now time.Duration) (records []briarspring.KeyedRecord, stored func(now time.Duration)) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	b := &ow.quota
	var onStored []func(now time.Duration)
	add := func(key string, value []byte, err error, f func(now time.Duration)) {
		if err != nil {
			ow.logger.Error("quota can't be encoded", "key", key, "error", err)
			return
		}
		records = append(records, briarspring.KeyedRecord{Key: key, Value: value})
		onStored = append(onStored, f)
	}
	ow.viewQuotas(func(r *registrar.Registry) {
		if len(r.QuotaPool()) == 0 {
			if len(b.limited) > 0 && now-b.poolAt > quotaReadTime {
				value, err := encoder.EncodeQuotaPool(briarspring.QuotaPool{DataCentres: ow.quotaPool()})
				add(registrar.QuotaPoolKey(registrar.NewAttemptID()), value, err, func(now time.Duration) { b.poolAt = now })
			}
			return
		}
		if rows := requestRows(b.targets, b.inUse); ow.requestDue(now, r) {
			value, err := encoder.EncodeQuotaRequest(briarspring.QuotaRequest{Token: ow.claim.Token, Parts: b.targets, InUse: b.inUse})
			add(registrar.QuotaRequestKey(ow.config.DataCentre), value, err, func(now time.Duration) { b.requested, b.requestedAt = rows, now })
		}
		for _, name := range slices.Sorted(maps.Keys(b.decided)) {
			d := b.decided[name]
			if d.storedAt != 0 && now-d.storedAt < quotaReadTime || d.total <= sumOf(r.QuotaGiven(ow.config.DataCentre, name)) {
				continue
			}
			value, err := encoder.EncodeQuotaGrant(d.content)
			key := registrar.QuotaGrantKey(ow.config.DataCentre, name, ow.claim.Token, d.number, registrar.NewAttemptID())
			add(key, value, err, func(now time.Duration) { d.storedAt = now })
		}
		if now-b.deletedAt >= quotaDeleteInterval {
			for _, key := range r.SupersededQuota(ow.config.DataCentre, maxQuotaDeletions) {
				add(key, nil, nil, func(now time.Duration) { b.deletedAt = now })
			}
		}
	})
	return records, func(now time.Duration) {
		for _, f := range onStored {
			f(now)
		}
	}
}

// quotaPool returns all data centres, sorted.
func (ow *ownership) quotaPool() []string {
	names := append(slices.Clone(ow.config.DataCentres), ow.config.DataCentre)
	slices.Sort(names)
	return slices.Compact(names)
}

// requestDue reports whether the recorded request has to be replaced. One that is stored
// and not read back yet counts as recorded.
func (ow *ownership) requestDue(now time.Duration, r *registrar.Registry) bool {
	b := &ow.quota
	recorded := requestRows(r.QuotaRequest(ow.config.DataCentre), r.QuotaInUse(ow.config.DataCentre))
	rows := requestRows(b.targets, b.inUse)
	if now-b.requestedAt < minRequestInterval || !allocator.RequestChanged(recorded, rows) {
		return false
	}
	return now-b.requestedAt >= quotaReadTime || allocator.RequestChanged(b.requested, rows)
}
