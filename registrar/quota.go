package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"briarspring"
	"briarspring/allocator"
	"briarspring/encoder"
)

// maxQuotaTotal bounds the parts that a record says were moved so far, so that sums
// don't overflow. It is reached after 14,000 years of a whole limit moved each
// millisecond.
const maxQuotaTotal = 1 << 52

// quotaState holds the split of the organisations' limits over data centres.
//
// A share is the initial parts, less what was given, plus what was received, by the
// newest grant of each data centre. Whether a grant counts depends on its place among
// claims, which are never deleted, on itself, and on the grants that it relies on. A
// grant of a correct owner relies only on grants that the owner had read. Any other one
// counts from when those that it relies on do, and its giver does without the parts
// meanwhile. So the state depends on the set of grants and not on their order, and
// stays the same when owners delete superseded ones.
type quotaState struct {
	revision      uint64
	pool          []string        // Sorted; empty before the first pool record.
	poolKeys      map[string]bool // Of later pool records, which have no effect.
	organisations map[string]map[string]*quotaLedger
	grants        map[string]*quotaGrant // By key, those that are in the stream.
	requests      map[string]briarspring.QuotaRequest
}

// quotaLedger holds what one data centre has given of one organisation's limit.
type quotaLedger struct {
	chain     []*quotaGrant // In the order of the stream; none gives less than an earlier one.
	effective int           // Number of grants of chain up to the one that counts.
	void      []*quotaGrant // Grants without effect: impossible ones, late ones and repetitions.
}

type quotaGrant struct {
	key     string
	offset  uint64
	content briarspring.QuotaGrant
	total   int // Sum of content.Given.
	// possible is true if the grant was valid by itself at its place in the stream.
	possible bool
}

func newQuotaState() *quotaState {
	return &quotaState{
		poolKeys: map[string]bool{}, organisations: map[string]map[string]*quotaLedger{},
		grants: map[string]*quotaGrant{}, requests: map[string]briarspring.QuotaRequest{},
	}
}

// isQuotaLedger reports whether a key is that of a pool or a grant.
func isQuotaLedger(key string) bool {
	return strings.HasPrefix(key, prefixQuotaPool) || strings.HasPrefix(key, prefixQuotaGrant)
}

// QuotaRevision returns a number that changes whenever shares may have changed.
func (r *Registry) QuotaRevision() uint64 { return r.quota.revision }

// QuotaPool returns the data centres among which limits are split, sorted, or none
// before that is recorded. The caller must not change the list.
func (r *Registry) QuotaPool() []string { return r.quota.pool }

// QuotaMembers returns the data centres that may hold parts: those of the pool and
// those with a claim, sorted.
func (r *Registry) QuotaMembers() []string {
	members := slices.Clone(r.quota.pool)
	for name, o := range r.owners {
		if o.claim.Token != 0 {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// QuotaParts returns the parts of an organisation's limit that a data centre holds.
// Parts in a grant that doesn't count yet belong to nobody.
func (r *Registry) QuotaParts(dataCentre, organisation string) int {
	if len(r.quota.pool) == 0 {
		return 0
	}
	ledgers := r.quota.organisations[organisation]
	parts := allocator.Initial(r.quota.pool, dataCentre)
	for _, l := range ledgers {
		parts += l.given()[dataCentre]
	}
	if l := ledgers[dataCentre]; l != nil {
		parts -= l.totalGiven()
	}
	return max(0, parts)
}

// QuotaGiven returns what a data centre has given of an organisation's limit so far, by
// receiver. Grants that don't count yet are included.
func (r *Registry) QuotaGiven(dataCentre, organisation string) map[string]int {
	l := r.quota.organisations[organisation][dataCentre]
	if l == nil || len(l.chain) == 0 {
		return map[string]int{}
	}
	return maps.Clone(l.chain[len(l.chain)-1].content.Given)
}

// QuotaReceived returns what a data centre has received of an organisation's limit so
// far, by giver.
func (r *Registry) QuotaReceived(dataCentre, organisation string) map[string]int {
	received := map[string]int{}
	for giver, l := range r.quota.organisations[organisation] {
		if n := l.given()[dataCentre]; n > 0 {
			received[giver] = n
		}
	}
	return received
}

// QuotaRequest returns the parts by organisation that the current owner of a data
// centre requests to hold in all. The caller must not change the map.
func (r *Registry) QuotaRequest(dataCentre string) map[string]int {
	q, ok := r.quota.requests[dataCentre]
	if o := r.owners[dataCentre]; !ok || o == nil || o.claim.Token == 0 || o.claim.Token != q.Token {
		return nil
	}
	return q.Parts
}

// QuotaOveruse returns the parts by organisation that runs in a data centre use beyond
// what it holds, as its current owner has recorded: after a limit was lowered, until
// enough of them have ended or enough parts were given.
func (r *Registry) QuotaOveruse(dataCentre string) map[string]int {
	q, ok := r.quota.requests[dataCentre]
	if o := r.owners[dataCentre]; !ok || len(q.InUse) == 0 || o == nil || o.claim.Token == 0 || o.claim.Token != q.Token {
		return nil
	}
	over := map[string]int{}
	for organisation, n := range q.InUse {
		if more := n - r.QuotaParts(dataCentre, organisation); more > 0 {
			over[organisation] = more
		}
	}
	return over
}

// QuotaInUse returns the parts in use that the current owner of a data centre has
// recorded, see QuotaOveruse. The caller must not change the map.
func (r *Registry) QuotaInUse(dataCentre string) map[string]int {
	q, ok := r.quota.requests[dataCentre]
	if o := r.owners[dataCentre]; !ok || o == nil || o.claim.Token != q.Token {
		return nil
	}
	return q.InUse
}

// MovedQuota returns the organisations of which any data centre has given parts, sorted.
func (r *Registry) MovedQuota() []string { return slices.Sorted(maps.Keys(r.quota.organisations)) }

// SupersededQuota returns at most limit keys of records without effect that the owner
// of a data centre may delete. A superseded grant follows the void ones that were
// written after it: without it, a host that restores its state might count those.
func (r *Registry) SupersededQuota(dataCentre string, limit int) []string {
	var keys []string
	if len(r.quota.pool) > 0 && r.quota.pool[0] == dataCentre {
		keys = slices.Sorted(maps.Keys(r.quota.poolKeys))
	}
	for _, organisation := range r.MovedQuota() {
		l := r.quota.organisations[organisation][dataCentre]
		if l == nil {
			continue
		}
		superseded := l.chain[:max(0, l.effective-1)]
		if len(l.void) > 0 {
			superseded = l.void
		}
		for _, g := range superseded {
			keys = append(keys, g.key)
		}
		if len(keys) >= limit {
			return keys[:limit]
		}
	}
	return keys[:min(limit, len(keys))]
}

func (r *Registry) applyQuota(kind, rest string, rec briarspring.KeyedRecord) error {
	switch kind {
	case prefixQuotaPool:
		return r.applyQuotaPool(rec)
	case prefixQuotaGrant:
		return r.applyQuotaGrant(rec)
	}
	// The newest record of the key counts, whatever it replaces, so that hosts which
	// read only that one agree.
	if len(r.quota.requests[rest].InUse) > 0 {
		r.quota.revision++
	}
	delete(r.quota.requests, rest)
	if len(rec.Value) == 0 {
		return nil
	}
	q, err := encoder.DecodeQuotaRequest(rec.Value)
	if err != nil {
		return err
	}
	impossible := func(_ string, n int) bool { return n <= 0 || n > briarspring.QuotaParts }
	maps.DeleteFunc(q.Parts, impossible)
	maps.DeleteFunc(q.InUse, impossible)
	if len(q.InUse) > 0 {
		r.quota.revision++
	}
	r.quota.requests[rest] = q
	return nil
}

// applyQuotaPool keeps the first pool.
func (r *Registry) applyQuotaPool(rec briarspring.KeyedRecord) error {
	q := r.quota
	if len(rec.Value) == 0 {
		delete(q.poolKeys, rec.Key)
		return nil
	}
	p, err := encoder.DecodeQuotaPool(rec.Value)
	if err != nil {
		return err
	}
	if len(p.DataCentres) > briarspring.QuotaParts {
		return nil
	}
	if len(q.pool) > 0 {
		q.poolKeys[rec.Key] = true
		return nil
	}
	q.pool = p.DataCentres
	q.revision++
	return nil
}

// applyQuotaGrant adds a grant to its ledger.
func (r *Registry) applyQuotaGrant(rec briarspring.KeyedRecord) error {
	q := r.quota
	q.remove(rec.Key)
	if len(rec.Value) == 0 {
		return nil
	}
	content, err := encoder.DecodeQuotaGrant(rec.Value)
	if err != nil {
		return err
	}
	if !r.isQuotaMember(content.DataCentre) || content.Organisation == "" {
		return nil
	}
	maps.DeleteFunc(content.Given, func(_ string, n int) bool { return n == 0 })
	maps.DeleteFunc(content.Received, func(_ string, n int) bool { return n == 0 })
	g := &quotaGrant{key: rec.Key, offset: rec.Offset, content: content}
	ledgers := q.organisations[content.Organisation]
	if ledgers == nil {
		ledgers = map[string]*quotaLedger{}
		q.organisations[content.Organisation] = ledgers
	}
	l := ledgers[content.DataCentre]
	if l == nil {
		l = &quotaLedger{}
		ledgers[content.DataCentre] = l
	}
	q.grants[rec.Key] = g
	g.possible = r.isPossible(g)
	l.add(g)
	q.settle(content.Organisation)
	return nil
}

func (r *Registry) isQuotaMember(dataCentre string) bool {
	if _, ok := slices.BinarySearch(r.quota.pool, dataCentre); ok {
		return true
	}
	o := r.owners[dataCentre]
	return o != nil && o.claim.Token != 0
}

// isPossible reports whether a grant is by the owner in force, names only known data
// centres, and gives no more than its giver had by its own account. It sets the total.
func (r *Registry) isPossible(g *quotaGrant) bool {
	c := g.content
	if o := r.owners[c.DataCentre]; len(r.quota.pool) == 0 || o == nil || o.claim.Token == 0 || o.claim.Token != c.Token {
		return false
	}
	given, ok := r.sumOfParts(c.DataCentre, c.Given)
	received, ok2 := r.sumOfParts(c.DataCentre, c.Received)
	g.total = given
	return ok && ok2 && given <= allocator.Initial(r.quota.pool, c.DataCentre)+received
}

// sumOfParts returns the sum of the parts moved between a data centre and others, or
// false if one of them is unknown or a number is out of range.
func (r *Registry) sumOfParts(dataCentre string, parts map[string]int) (sum int, ok bool) {
	for name, n := range parts {
		if name == dataCentre || n < 0 || n > maxQuotaTotal || !r.isQuotaMember(name) {
			return 0, false
		}
		if sum += n; sum > maxQuotaTotal {
			return 0, false
		}
	}
	return sum, true
}

// add adds the newest grant.
func (l *quotaLedger) add(g *quotaGrant) {
	if g.possible && l.extends(g) {
		l.chain = append(l.chain, g)
	} else {
		l.void = append(l.void, g)
	}
}

// remove removes a grant. Those that were void beside it may count without it.
func (l *quotaLedger) remove(g *quotaGrant) {
	all := slices.DeleteFunc(slices.Concat(l.chain, l.void), func(other *quotaGrant) bool { return other == g })
	slices.SortFunc(all, func(a, b *quotaGrant) int { return cmp.Compare(a.offset, b.offset) })
	l.chain, l.void = nil, nil
	for _, other := range all {
		l.add(other)
	}
}

// extends reports whether a grant gives more than the last one, and nobody less.
func (l *quotaLedger) extends(g *quotaGrant) bool {
	if len(l.chain) == 0 {
		return g.total > 0
	}
	last := l.chain[len(l.chain)-1]
	for name, n := range last.content.Given {
		if g.content.Given[name] < n {
			return false
		}
	}
	return g.total > last.total
}

// given returns what counts as given, by receiver.
func (l *quotaLedger) given() map[string]int {
	if l.effective == 0 {
		return nil
	}
	return l.chain[l.effective-1].content.Given
}

// totalGiven returns the sum of the last grant, whether it counts yet or not.
func (l *quotaLedger) totalGiven() int {
	if len(l.chain) == 0 {
		return 0
	}
	return l.chain[len(l.chain)-1].total
}

// settle determines the last grant that counts of each data centre: the largest set in
// which no grant relies on parts that no other one gives.
func (q *quotaState) settle(organisation string) {
	q.revision++
	ledgers := q.organisations[organisation]
	for _, l := range ledgers {
		l.effective = len(l.chain)
	}
	for changed := true; changed; {
		changed = false
		for dataCentre, l := range ledgers {
			for l.effective > 0 && !covered(ledgers, dataCentre, l.chain[l.effective-1]) {
				l.effective--
				changed = true
			}
		}
	}
}

func covered(ledgers map[string]*quotaLedger, dataCentre string, g *quotaGrant) bool {
	for giver, n := range g.content.Received {
		if l := ledgers[giver]; l == nil || l.given()[dataCentre] < n {
			return false
		}
	}
	return true
}

// remove removes the grant that was recorded under a key.
func (q *quotaState) remove(key string) {
	g := q.grants[key]
	if g == nil {
		return
	}
	delete(q.grants, key)
	ledgers := q.organisations[g.content.Organisation]
	l := ledgers[g.content.DataCentre]
	l.remove(g)
	if len(l.chain) == 0 && len(l.void) == 0 {
		delete(ledgers, g.content.DataCentre)
	}
	q.settle(g.content.Organisation)
	if len(ledgers) == 0 {
		delete(q.organisations, g.content.Organisation)
	}
}

// prune removes superseded records before end that are no longer in the stream.
func (q *quotaState) prune(kept map[string]bool, end uint64) {
	maps.DeleteFunc(q.poolKeys, func(key string, _ bool) bool { return !kept[key] })
	for key, g := range q.grants {
		l := q.organisations[g.content.Organisation][g.content.DataCentre]
		if !kept[key] && g.offset < end && (l.effective == 0 || l.chain[l.effective-1] != g) {
			q.remove(key)
		}
	}
}
