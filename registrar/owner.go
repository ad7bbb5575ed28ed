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
	Previous    uint64 // Token of the claim that it followed.
	Owner       string // Empty when the data centre was given up.
	Incarnation int64
}

// Beat is an owner's last sign of life.
type Beat struct {
	Content briarspring.OwnerBeat
	At      time.Duration // When it was read.
}

// pastClaim is a claim that was replaced.
type pastClaim struct {
	claim      Claim
	replacedAt time.Duration // When the claim that replaced it was read.
	gone       bool          // Its owner gives no more orders under it.
	goneAt     time.Duration // When that was read.
}

// maxPast bounds the replaced claims that are remembered of a data centre. The
// oldest are long over when it is reached.
const maxPast = 64

// owners is the state of the claims to one data centre.
type owners struct {
	claim  Claim
	past   []pastClaim
	beat   Beat
	silent silentWorkers
}

// silentWorkers did not answer the owner under a token when it retired.
type silentWorkers struct {
	token  uint64
	lapses map[string]time.Duration // When their leases have ended.
}

// of returns the state of a data centre's claims.
func (r *Registry) of(dataCentre string) *owners {
	o := r.owners[dataCentre]
	if o == nil {
		o = &owners{}
		r.owners[dataCentre] = o
	}
	return o
}

// Claim returns the claim in force for a data centre; its token is zero when
// there is none.
func (r *Registry) Claim(dataCentre string) Claim { return r.of(dataCentre).claim }

// Beat returns the last sign of life of the owner in force.
func (r *Registry) Beat(dataCentre string) Beat { return r.of(dataCentre).beat }

// Host returns the last presence of a host.
func (r *Registry) Host(name string) (briarspring.HostPresence, bool) {
	p, ok := r.hosts[name]
	return p, ok
}

// HostSizes returns the processors of the smallest and the largest host that is
// known, in thousandths of a core; zero when none is.
func (r *Registry) HostSizes() (least, most int) {
	for _, p := range r.hosts {
		if least == 0 || p.MilliCPU < least {
			least = p.MilliCPU
		}
		most = max(most, p.MilliCPU)
	}
	return least, most
}

// EarlierGone returns when it was known that no earlier owner of a data centre
// gives orders any more; false while that is not known. An owner that can't
// read the log gives none after maxUnreachable.
func (r *Registry) EarlierGone(now, maxUnreachable time.Duration, dataCentre string) (time.Duration, bool) {
	var last time.Duration
	for _, p := range r.of(dataCentre).past {
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

// Silent returns the workers that did not answer the last owner before the one
// in force, and when their leases have certainly ended.
func (r *Registry) Silent(dataCentre string) map[string]time.Duration {
	o := r.of(dataCentre)
	for _, p := range slices.Backward(o.past) {
		if p.claim.Owner == "" {
			continue
		}
		if p.claim.Token == o.silent.token {
			return o.silent.lapses
		}
		return nil
	}
	return nil
}

// applyClaim puts a claim in force that follows the present one.
func (r *Registry) applyClaim(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	c, err := encoder.DecodeDataCentreClaim(rec.Value)
	if err != nil {
		return Change{}, err
	}
	o := r.of(c.DataCentre)
	if o.claim.Token != c.Previous {
		return Change{}, nil
	}
	if o.claim.Token != 0 {
		p := pastClaim{claim: o.claim, replacedAt: now}
		// A process claims anew, or gives up, only after its earlier term has ended.
		own := c.Owner == "" || c.Owner == o.claim.Owner && c.Incarnation == o.claim.Incarnation
		if own || o.claim.Owner == "" || r.hosts[o.claim.Owner].Incarnation > o.claim.Incarnation {
			p.gone, p.goneAt = true, now
		}
		o.past = append(o.past, p)
		o.past = o.past[max(0, len(o.past)-maxPast):]
	}
	o.claim = Claim{Token: rec.Offset + 1, Previous: c.Previous, Owner: c.Owner, Incarnation: c.Incarnation}
	return Change{DataCentre: c.DataCentre}, nil
}

func (r *Registry) applyBeat(now time.Duration, dataCentre string, rec briarspring.KeyedRecord) error {
	b, err := encoder.DecodeOwnerBeat(rec.Value)
	if o := r.of(dataCentre); err == nil && b.Token == o.claim.Token {
		o.beat = Beat{Content: b, At: now}
	}
	return err
}

// applyHost notes a life of a process; what it owned in earlier ones is over.
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
				p.gone, p.goneAt = true, now
			}
		}
	}
	return nil
}

// applyRetirement notes that an owner gives no more orders.
func (r *Registry) applyRetirement(now time.Duration, rest string, rec briarspring.KeyedRecord) error {
	m, err := encoder.DecodeRetirement(rec.Value)
	if err != nil {
		return err
	}
	dataCentre, number, _ := strings.Cut(rest, "/")
	token, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return &encoder.MalformedError{What: "retirement", Cause: err}
	}
	o := r.of(dataCentre)
	if token > o.silent.token {
		o.silent = silentWorkers{token: token, lapses: map[string]time.Duration{}}
		for _, w := range m.Silent {
			o.silent.lapses[w.Worker] = now + w.LeaseLeft
		}
	}
	for i := range o.past {
		if p := &o.past[i]; !p.gone && p.claim.Token == token {
			p.gone, p.goneAt = true, now
		}
	}
	return nil
}
