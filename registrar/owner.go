package registrar

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"briarspring"
	"briarspring/encoder"
)

// Claim is a claim that is in force.
type Claim struct {
	Token       uint64
	Previous    uint64 // Token of the claim that it replaced.
	Owner       string // Empty when the owner gave up the data centre.
	Incarnation int64
	Yields      bool // See briarspring.DataCentreClaim.
	ShortLeases bool // The same.
}

// Heartbeat is an owner's last heartbeat.
type Heartbeat struct {
	Content briarspring.OwnerHeartbeat
	At      time.Duration // When the heartbeat was read.
}

// pastClaim is a claim that was replaced.
type pastClaim struct {
	claim      Claim
	replacedAt time.Duration // When the claim that replaced it was read.
	gone       bool          // Its owner gives no more orders under it.
	goneAt     time.Duration // When the record that showed this was read.
	nameTaken  bool          // Known to be gone only because a later process has its name.
	heardAt    time.Duration // See ownership.
}

// maxPastClaims bounds the replaced claims kept for each data centre. By the
// time it is reached, the oldest have long ended.
const maxPastClaims = 64

// ownership holds the claims to one data centre.
type ownership struct {
	claim     Claim
	past      []pastClaim
	heartbeat Heartbeat
	heardAt   time.Duration // When the claim in force or its last heartbeat was read.
	silent    silentWorkers
}

// silentWorkers holds the workers that did not answer the owner with this token
// when it retired.
type silentWorkers struct {
	token     uint64
	leaseEnds map[string]time.Duration // By worker: when its lease has expired.
}

// ownershipOf returns the claims to a data centre; it creates an empty entry
// when there is none.
func (r *Registry) ownershipOf(dataCentre string) *ownership {
	o := r.owners[dataCentre]
	if o == nil {
		o = &ownership{}
		r.owners[dataCentre] = o
	}
	return o
}

// Claim returns the claim in force for a data centre; its token is zero when
// there is none.
func (r *Registry) Claim(dataCentre string) Claim { return r.ownershipOf(dataCentre).claim }

// Heartbeat returns the last heartbeat of the current owner.
func (r *Registry) Heartbeat(dataCentre string) Heartbeat { return r.ownershipOf(dataCentre).heartbeat }

// Inventory is the recorded inventory of a data centre.
type Inventory struct {
	Content briarspring.Inventory
	// Overwritten is true if an earlier owner has written since, so that a host that
	// reads the newest records would get its inventory.
	Overwritten bool
}

// Inventory returns what a data centre has that tasks may require, or false if no
// owner has recorded that yet.
func (r *Registry) Inventory(dataCentre string) (Inventory, bool) {
	v, ok := r.inventories[dataCentre]
	return v, ok
}

// applyInventory keeps the inventory of the newest owner.
func (r *Registry) applyInventory(dataCentre string, rec briarspring.KeyedRecord) error {
	content, err := encoder.DecodeInventory(rec.Value)
	if err != nil {
		return err
	}
	v := r.inventories[dataCentre]
	if v.Overwritten = content.Token < v.Content.Token; !v.Overwritten {
		v.Content = content
	}
	r.inventories[dataCentre] = v
	return nil
}

// Host returns the last presence record of a host.
func (r *Registry) Host(name string) (briarspring.HostPresence, bool) {
	p, ok := r.hosts[name]
	return p, ok
}

// HostSizes returns the processors of the smallest and the largest known host,
// in thousandths of a core, or zeros when no host is known.
func (r *Registry) HostSizes() (least, most int) {
	for _, p := range r.hosts {
		if least == 0 || p.MilliCPU < least {
			least = p.MilliCPU
		}
		most = max(most, p.MilliCPU)
	}
	return least, most
}

// PredecessorsGoneAt returns when it became certain that no earlier owner of a
// data centre still gives orders, and false while it is not certain. An owner
// that can't read the log stops giving orders after maxUnreachable.
func (r *Registry) PredecessorsGoneAt(now, maxUnreachable time.Duration, dataCentre string) (time.Duration, bool) {
	var last time.Duration
	for _, p := range r.ownershipOf(dataCentre).past {
		at := p.goneAt
		if !p.gone {
			at = p.replacedAt + maxUnreachable
		}
		if at > now {
			return 0, false
		}
		last = max(last, at)
	}
	return last, true
}

// PredecessorsYield reports whether each earlier owner of a data centre that may still
// give orders yields.
func (r *Registry) PredecessorsYield(now, maxUnreachable time.Duration, dataCentre string) bool {
	return !slices.ContainsFunc(r.ownershipOf(dataCentre).past, func(p pastClaim) bool {
		return !p.gone && !p.claim.Yields && p.replacedAt+maxUnreachable > now
	})
}

// PredecessorsNameTaken reports whether some earlier owner of a data centre that yields is
// known to be gone only because a later process has its name; that may run beside it.
func (r *Registry) PredecessorsNameTaken(now, maxUnreachable time.Duration, dataCentre string) bool {
	return slices.ContainsFunc(r.ownershipOf(dataCentre).past, func(p pastClaim) bool {
		return p.nameTaken && p.claim.Yields && p.replacedAt+maxUnreachable > now
	})
}

// RecentOwnersYield reports whether every owner of a data centre that was replaced
// within a time yields. Such owners use only workers that their inventory names.
func (r *Registry) RecentOwnersYield(now, within time.Duration, dataCentre string) bool {
	return !slices.ContainsFunc(r.ownershipOf(dataCentre).past, func(p pastClaim) bool {
		return p.claim.Owner != "" && !p.claim.Yields && p.replacedAt+within > now
	})
}

// SilentWorkers returns the workers that did not answer the previous owner when
// it retired, and when their leases have certainly expired.
func (r *Registry) SilentWorkers(dataCentre string) map[string]time.Duration {
	o := r.ownershipOf(dataCentre)
	for _, p := range slices.Backward(o.past) {
		if p.claim.Owner == "" {
			continue
		}
		if p.claim.Token == o.silent.token {
			return o.silent.leaseEnds
		}
		return nil
	}
	return nil
}

// applyClaim replaces the claim in force by one that names it as its
// predecessor, and ignores any other.
func (r *Registry) applyClaim(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	c, err := encoder.DecodeDataCentreClaim(rec.Value)
	if err != nil {
		return Change{}, err
	}
	o := r.ownershipOf(c.DataCentre)
	if o.claim.Token != c.Previous {
		return Change{}, nil
	}
	if o.claim.Token != 0 {
		p := pastClaim{claim: o.claim, replacedAt: now, heardAt: o.heardAt}
		// A process claims again, or gives up a data centre, only after its earlier
		// ownership has ended.
		byOwner := c.Owner == "" || c.Owner == o.claim.Owner && c.Incarnation == o.claim.Incarnation
		if byOwner || o.claim.Owner == "" || r.hosts[o.claim.Owner].Incarnation > o.claim.Incarnation {
			p.gone, p.goneAt = true, now
			p.nameTaken = !byOwner && o.claim.Owner != ""
		}
		o.past = append(o.past, p)
		o.past = o.past[max(0, len(o.past)-maxPastClaims):]
	}
	o.claim = Claim{Token: rec.Offset + 1, Previous: c.Previous, Owner: c.Owner, Incarnation: c.Incarnation, Yields: c.Yields, ShortLeases: c.ShortLeases}
	o.heardAt = now
	return Change{DataCentre: c.DataCentre}, nil
}

func (r *Registry) applyHeartbeat(now time.Duration, dataCentre string, rec briarspring.KeyedRecord) error {
	b, err := encoder.DecodeHeartbeat(rec.Value)
	if err != nil {
		return err
	}
	o := r.ownershipOf(dataCentre)
	if b.Token == o.claim.Token {
		o.heartbeat = Heartbeat{Content: b, At: now}
		o.heardAt = now
	}
	for i := range o.past {
		if p := &o.past[i]; p.claim.Token == b.Token {
			p.heardAt = now
		}
	}
	return nil
}

// countAsHeard counts all owners as heard of now: the newest records have at most one of the
// heartbeats of a data centre, and others may have been missed.
func (r *Registry) countAsHeard(now time.Duration) {
	for _, o := range r.owners {
		o.heardAt = now
		for i := range o.past {
			o.past[i].heardAt = now
		}
	}
}

// PredecessorsShortLeases reports whether every owner of a data centre that was replaced
// within a time gives short leases unless it has stored a heartbeat lately.
func (r *Registry) PredecessorsShortLeases(now, within time.Duration, dataCentre string) bool {
	return !slices.ContainsFunc(r.ownershipOf(dataCentre).past, func(p pastClaim) bool {
		return p.claim.Owner != "" && !p.claim.ShortLeases && p.replacedAt+within > now
	})
}

// PredecessorsHeardAt returns when the last heartbeat of an earlier owner of a data centre
// was read.
func (r *Registry) PredecessorsHeardAt(dataCentre string) time.Duration {
	var last time.Duration
	for _, p := range r.ownershipOf(dataCentre).past {
		if p.claim.Owner != "" {
			last = max(last, p.heardAt)
		}
	}
	return last
}

// PredecessorTokens returns the tokens of the earlier owners of a data centre that may still
// give orders, among them those that are gone only because a later process has their name.
func (r *Registry) PredecessorTokens(now, maxUnreachable time.Duration, dataCentre string) []uint64 {
	var tokens []uint64
	for _, p := range r.ownershipOf(dataCentre).past {
		if p.claim.Owner != "" && (!p.gone || p.nameTaken) && p.replacedAt+maxUnreachable > now {
			tokens = append(tokens, p.claim.Token)
		}
	}
	return tokens
}

// applyHost records the incarnation of a host's process and ends the claims of
// its earlier incarnations.
func (r *Registry) applyHost(now time.Duration, name string, rec briarspring.KeyedRecord) error {
	presence, err := encoder.DecodeHostPresence(rec.Value)
	if err != nil {
		return err
	}
	r.hosts[name] = presence
	for _, o := range r.owners {
		for i := range o.past {
			p := &o.past[i]
			if !p.gone && p.claim.Owner == name && p.claim.Incarnation < presence.Incarnation {
				p.gone, p.goneAt, p.nameTaken = true, now, true
			}
		}
	}
	return nil
}

// applyRetirement records that an owner gives no more orders.
func (r *Registry) applyRetirement(now time.Duration, rest string, rec briarspring.KeyedRecord) error {
	m, err := encoder.DecodeRetirement(rec.Value)
	if err != nil {
		return err
	}
	dataCentre, number, _ := strings.Cut(rest, "/")
	token, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return &encoder.MalformedError{Input: "retirement", Cause: err}
	}
	o := r.ownershipOf(dataCentre)
	if token > o.silent.token {
		o.silent = silentWorkers{token: token, leaseEnds: map[string]time.Duration{}}
		for _, w := range m.Silent {
			o.silent.leaseEnds[w.Worker] = now + w.LeaseLeft
		}
	}
	for i := range o.past {
		if p := &o.past[i]; (!p.gone || p.nameTaken) && p.claim.Token == token {
			p.gone, p.goneAt, p.nameTaken = true, now, false
		}
	}
	return nil
}
