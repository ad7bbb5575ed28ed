package briarspring

import "crypto/sha256"

// KeyDigest identifies an organisation's key without holding it.
type KeyDigest [16]byte

// DigestKey returns the digest of a key: the start of its SHA-256 hash. Keys are
// random, so that 128 bits suffice.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Organisation is a group of callers with a limit on what it has running.
type Organisation struct {
	Name   string
	Keys   []KeyDigest
	Weight float64   // Share of the fleet when all is full, relative to the others.
	Limit  Resources // Limit on what runs in the whole fleet; a zero field is no limit.
}

// KeyIndex finds the organisation of a key. It doesn't change.
type KeyIndex struct {
	organisations map[KeyDigest]string
}

// NewKeyIndex returns an index of the given organisations by the digests of their keys;
// it keeps the map.
func NewKeyIndex(organisations map[KeyDigest]string) *KeyIndex {
	return &KeyIndex{organisations: organisations}
}

// Organisation returns the organisation that a digest belongs to. Its time tells nothing
// of any key: what is looked up is a hash, and whoever knew parts of a stored digest
// would be no closer to a key with that digest.
func (x *KeyIndex) Organisation(d KeyDigest) (name string, ok bool) {
	name, ok = x.organisations[d]
	return name, ok
}

// QuotaParts is the number of parts into which each organisation's limit is split.
const QuotaParts = 10_000

// QuotaPool names the data centres among which the parts of each limit are split
// evenly at first.
type QuotaPool struct {
	DataCentres []string
}

// QuotaGrant records which parts of an organisation's limit a data centre has
// given to others so far.
type QuotaGrant struct {
	Token        uint64 // Token of the giving data centre's owner.
	DataCentre   string // The giving data centre.
	Organisation string
	Given        map[string]int // Parts by receiving data centre, in total since the first grant.
	// Received holds the parts that the giver knew to have received when it wrote the
	// record, by giving data centre, in total. With it, hosts that restore their state
	// can tell that the giver had what it gives though earlier records were deleted.
	Received map[string]int
}

// QuotaRequest lists the parts that a data centre needs to hold in all, for the
// organisations whose tasks wait for more than it holds. A total, unlike a
// difference, stays right while grants arrive.
type QuotaRequest struct {
	Token uint64         // Token of the data centre's owner.
	InUse map[string]int // Parts that runs use, by organisation, where that is more than is held.
	Parts map[string]int // By organisation.
}
