package registrar_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

var quotaCentres = []string{"tartu", "viljandi", "voru"}

// quotaStream is a shared stream with the state of a host that follows it.
type quotaStream struct {
	t       require.TestingT
	records []briarspring.KeyedRecord
	live    *registrar.Registry
	number  int
}

func newQuotaStream(t require.TestingT, pool ...string) *quotaStream {
	s := &quotaStream{t: t, live: registrar.New()}
	if len(pool) > 0 {
		s.pool(pool...)
	}
	return s
}

func (s *quotaStream) add(key string, value []byte) uint64 {
	rec := briarspring.KeyedRecord{Key: key, Value: value, Offset: uint64(len(s.records))}
	s.records = append(s.records, rec)
	// Malformed records are part of the histories.
	_, _ = s.live.Apply(time.Second, rec)
	return rec.Offset
}

func (s *quotaStream) attempt() string {
	s.number++
	return fmt.Sprint(s.number)
}

func (s *quotaStream) pool(names ...string) {
	value, err := encoder.EncodeQuotaPool(briarspring.QuotaPool{DataCentres: names})
	require.NoError(s.t, err)
	s.add(registrar.QuotaPoolKey(s.attempt()), value)
}

// claim replaces the claim to a data centre and returns the new token.
func (s *quotaStream) claim(dataCentre string) uint64 {
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{
		DataCentre: dataCentre, Previous: s.live.Claim(dataCentre).Token, Owner: "host", Incarnation: int64(len(s.records)),
	})
	require.NoError(s.t, err)
	return s.add(registrar.ClaimKey(dataCentre, s.attempt()), value) + 1
}

func (s *quotaStream) grant(g briarspring.QuotaGrant) {
	value, err := encoder.EncodeQuotaGrant(g)
	require.NoError(s.t, err)
	s.number++
	s.add(registrar.QuotaGrantKey(g.DataCentre, g.Organisation, g.Token, s.number, "x"), value)
}

// next returns the grant of n more parts that a correct owner writes.
func (s *quotaStream) next(token uint64, from, to, organisation string, n int) briarspring.QuotaGrant {
	given := s.live.QuotaGiven(from, organisation)
	given[to] += n
	return briarspring.QuotaGrant{
		Token: token, DataCentre: from, Organisation: organisation, Given: given, Received: s.live.QuotaReceived(from, organisation),
	}
}

func (s *quotaStream) request(dataCentre string, token uint64, parts map[string]int) {
	value, err := encoder.EncodeQuotaRequest(briarspring.QuotaRequest{Token: token, Parts: parts})
	require.NoError(s.t, err)
	s.add(registrar.QuotaRequestKey(dataCentre), value)
}

// newest returns the newest record of each key when the stream had a length.
func (s *quotaStream) newest(length int) map[string]briarspring.KeyedRecord {
	newest := map[string]briarspring.KeyedRecord{}
	for _, rec := range s.records[:length] {
		newest[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(newest, rec.Key)
		}
	}
	return newest
}

// restored returns the state of a host that begins to read the newest records at a
// length, reads the keys from a page's first key on when the stream has a later length,
// and follows up to length until.
func (s *quotaStream) restored(r *registrar.Registry, length, later int, page string, until int) *registrar.Registry {
	var records []briarspring.KeyedRecord
	for key, rec := range s.newest(length) {
		if key < page {
			records = append(records, rec)
		}
	}
	for key, rec := range s.newest(later) {
		if key >= page {
			records = append(records, rec)
		}
	}
	slices.SortFunc(records, func(a, b briarspring.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	r.Restore(time.Second, records, uint64(length))
	for _, rec := range s.records[length:until] {
		_, _ = r.Apply(time.Second, rec)
	}
	return r
}

// followed returns the state of a host that has read a length.
func (s *quotaStream) followed(length int) *registrar.Registry {
	r := registrar.New()
	for _, rec := range s.records[:length] {
		_, _ = r.Apply(time.Second, rec)
	}
	return r
}

// describeQuota lists everything that the registry tells of quotas.
func describeQuota(r *registrar.Registry) string {
	var b strings.Builder
	fmt.Fprintln(&b, r.QuotaPool(), r.QuotaMembers(), r.MovedQuota())
	for _, dataCentre := range quotaCentres {
		fmt.Fprintln(&b, dataCentre, r.QuotaRequest(dataCentre), r.SupersededQuota(dataCentre, 1000))
		for _, organisation := range []string{"kask", "han/bit"} {
			fmt.Fprintln(&b, organisation, r.QuotaParts(dataCentre, organisation), r.QuotaGiven(dataCentre, organisation), r.QuotaReceived(dataCentre, organisation))
		}
	}
	return b.String()
}

// describeShares lists the parts of all data centres.
func describeShares(r *registrar.Registry) string {
	return fmt.Sprint(func() (parts []int) {
		for _, dataCentre := range quotaCentres {
			parts = append(parts, r.QuotaParts(dataCentre, "kask"), r.QuotaParts(dataCentre, "han/bit"))
		}
		return parts
	}())
}

func sumOfParts(r *registrar.Registry, organisation string) (sum int) {
	for _, dataCentre := range r.QuotaMembers() {
		sum += r.QuotaParts(dataCentre, organisation)
	}
	return sum
}

// assertQuota checks the parts of tartu, viljandi and voru in a host that followed the
// stream and in ones that restored it at each point.
func assertQuota(t *testing.T, s *quotaStream, want ...int) {
	t.Helper()
	check := func(r *registrar.Registry, name string) {
		for i, dataCentre := range quotaCentres {
			assert.Equal(t, want[i], r.QuotaParts(dataCentre, "kask"), "%s: %s", name, dataCentre)
		}
	}
	check(s.live, "followed")
	for length := range len(s.records) + 1 {
		check(s.restored(registrar.New(), length, length, "", len(s.records)), fmt.Sprintf("restored at %d", length))
	}
}

func TestQuotaGrants(t *testing.T) {
	t.Run("there are no parts before the pool is recorded", func(t *testing.T) {
		s := newQuotaStream(t)
		token := s.claim("tartu")
		s.grant(briarspring.QuotaGrant{Token: token, DataCentre: "tartu", Organisation: "kask", Given: map[string]int{"voru": 1}})
		assertQuota(t, s, 0, 0, 0)
	})
	t.Run("the first pool counts, with the remainder at its first data centre", func(t *testing.T) {
		s := newQuotaStream(t, quotaCentres...)
		s.pool("voru")
		assertQuota(t, s, 3334, 3333, 3333)
		assert.Len(t, s.live.SupersededQuota("tartu", 10), 1)
		assert.Empty(t, s.live.SupersededQuota("voru", 10))
	})
	t.Run("a data centre that joins later can receive parts", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		token := s.claim("tartu")
		s.grant(s.next(token, "tartu", "voru", "kask", 100))
		assertQuota(t, s, 5000, 5000, 0)
		s.claim("voru")
		s.grant(s.next(token, "tartu", "voru", "kask", 100))
		assertQuota(t, s, 4900, 5000, 100)
	})
	t.Run("a grant that is repeated or comes after a later one counts once", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		token := s.claim("tartu")
		first := s.next(token, "tartu", "viljandi", "kask", 100)
		s.grant(first)
		s.grant(s.next(token, "tartu", "viljandi", "kask", 50))
		s.grant(first)
		s.grant(first)
		assertQuota(t, s, 4850, 5150, 0)
	})
	// Parts would be used twice: by the successor, which doesn't know of the grant, and
	// by the receiver.
	t.Run("a late grant of a replaced owner is void", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		token := s.claim("tartu")
		late := s.next(token, "tartu", "viljandi", "kask", 100)
		s.claim("tartu")
		s.grant(late)
		assertQuota(t, s, 5000, 5000, 0)
	})
	t.Run("a successor goes on from its predecessor's grants", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		s.grant(s.next(s.claim("tartu"), "tartu", "viljandi", "kask", 100))
		s.grant(s.next(s.claim("tartu"), "tartu", "viljandi", "kask", 10))
		assertQuota(t, s, 4890, 5110, 0)
	})
	// With superseded grants deleted, each of the newest ones gives more than the
	// initial parts, and would be impossible without the other.
	// A grant that takes parts back is void beside an earlier one, but not without it, and
	// would then hide a later one.
	t.Run("void grants are deleted before superseded ones", func(t *testing.T) {
		s := newQuotaStream(t, quotaCentres...)
		token := s.claim("tartu")
		s.grant(s.next(token, "tartu", "viljandi", "kask", 100))
		s.grant(briarspring.QuotaGrant{Token: token, DataCentre: "tartu", Organisation: "kask", Given: map[string]int{"voru": 300}})
		s.grant(s.next(token, "tartu", "viljandi", "kask", 50))
		for range 2 {
			keys := s.live.SupersededQuota("tartu", 10)
			require.Len(t, keys, 1)
			s.add(keys[0], nil)
			assertQuota(t, s, 3184, 3483, 3333)
		}
		assert.Empty(t, s.live.SupersededQuota("tartu", 10))
	})
	t.Run("parts that go back and forth survive the deletion of superseded grants", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		tartu, viljandi := s.claim("tartu"), s.claim("viljandi")
		for range 3 {
			s.grant(s.next(tartu, "tartu", "viljandi", "kask", 4000))
			s.grant(s.next(viljandi, "viljandi", "tartu", "kask", 9000))
			s.grant(s.next(tartu, "tartu", "viljandi", "kask", 5000))
		}
		for _, dataCentre := range quotaCentres {
			for _, key := range s.live.SupersededQuota(dataCentre, 100) {
				s.add(key, nil)
			}
		}
		assertQuota(t, s, 5000, 5000, 0)
		assert.Empty(t, s.live.SupersededQuota("tartu", 10))
		assert.Len(t, s.newest(len(s.records)), 5) // The pool, two claims, two grants.
	})
}

// Guards against records that take effect on some hosts only, or that create parts.
func TestImpossibleQuotaGrants(t *testing.T) {
	cases := map[string]func(g *briarspring.QuotaGrant){
		"to an unknown data centre": func(g *briarspring.QuotaGrant) { g.Given = map[string]int{"narva": 1} },
		"by an unknown data centre": func(g *briarspring.QuotaGrant) { g.DataCentre = "narva" },
		"to itself":                 func(g *briarspring.QuotaGrant) { g.Given = map[string]int{"tartu": 1} },
		"of more than is held":      func(g *briarspring.QuotaGrant) { g.Given = map[string]int{"viljandi": 5001} },
		"of a negative number":      func(g *briarspring.QuotaGrant) { g.Given = map[string]int{"viljandi": -1} },
		"that overflows":            func(g *briarspring.QuotaGrant) { g.Given = map[string]int{"viljandi": 1 << 62, "voru": 1 << 62} },
		"that overflows and claims to have received as much": func(g *briarspring.QuotaGrant) {
			g.Given = map[string]int{"viljandi": 1 << 62, "voru": 1 << 62}
			g.Received = map[string]int{"viljandi": 1 << 62, "voru": 1 << 62}
		},
		"of a negative number received":    func(g *briarspring.QuotaGrant) { g.Received = map[string]int{"viljandi": -1} },
		"received from an unknown giver":   func(g *briarspring.QuotaGrant) { g.Received = map[string]int{"narva": 10} },
		"without an organisation":          func(g *briarspring.QuotaGrant) { g.Organisation = "" },
		"of nothing":                       func(g *briarspring.QuotaGrant) { g.Given = nil },
		"under the token of another owner": func(g *briarspring.QuotaGrant) { g.Token++ },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := newQuotaStream(t, "tartu", "viljandi")
			s.claim("voru")
			token := s.claim("tartu")
			g := briarspring.QuotaGrant{Token: token, DataCentre: "tartu", Organisation: "kask", Given: map[string]int{"viljandi": 100}}
			change(&g)
			s.grant(g)
			assertQuota(t, s, 5000, 5000, 0)
		})
	}
	t.Run("that relies on parts not received yet counts from when they are", func(t *testing.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		tartu, viljandi := s.claim("tartu"), s.claim("viljandi")
		s.grant(briarspring.QuotaGrant{
			Token: tartu, DataCentre: "tartu", Organisation: "kask", Given: map[string]int{"voru": 0, "viljandi": 5500}, Received: map[string]int{"viljandi": 1000},
		})
		assertQuota(t, s, 0, 5000, 0)
		s.grant(s.next(viljandi, "viljandi", "tartu", "kask", 1000))
		assertQuota(t, s, 500, 9500, 0)
	})
}

func TestQuotaRequests(t *testing.T) {
	s := newQuotaStream(t, "tartu", "viljandi")
	token := s.claim("tartu")
	s.request("tartu", token, map[string]int{"kask": 7000, "none": 0, "much": 10001})
	assert.Equal(t, map[string]int{"kask": 7000}, s.live.QuotaRequest("tartu"))
	s.claim("tartu")
	assert.Empty(t, s.live.QuotaRequest("tartu"), "of a replaced owner")
	s.request("tartu", s.live.Claim("tartu").Token, map[string]int{"kask": 6000})
	assert.Equal(t, map[string]int{"kask": 6000}, s.live.QuotaRequest("tartu"))
	// A host that restores reads only this one.
	s.request("tartu", token, map[string]int{"kask": 8000})
	assert.Empty(t, s.live.QuotaRequest("tartu"), "hidden by a late one")
}

// TestQuotaHistories checks that hosts agree on quotas however they have read the
// stream, and that no part exists twice, in random histories.
func TestQuotaHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newQuotaStream(t)
		var old []briarspring.QuotaGrant
		organisation := rapid.SampledFrom([]string{"kask", "han/bit"})
		centre := rapid.SampledFrom(quotaCentres)
		parts := rapid.MapOfN(rapid.SampledFrom(append(slices.Clone(quotaCentres), "narva")), rapid.IntRange(0, 12000), 0, 3)
		actions := map[string]func(){
			"pool":  func() { s.pool(rapid.SampledFrom([][]string{{"tartu", "viljandi"}, quotaCentres}).Draw(t, "pool")...) },
			"claim": func() { s.claim(centre.Draw(t, "centre")) },
			"grant": func() {
				from, to, name := centre.Draw(t, "from"), centre.Draw(t, "to"), organisation.Draw(t, "organisation")
				held := s.live.QuotaParts(from, name)
				if held == 0 || from == to || s.live.Claim(from).Token == 0 {
					return
				}
				g := s.next(s.live.Claim(from).Token, from, to, name, rapid.IntRange(1, held).Draw(t, "parts"))
				old = append(old, g)
				if rapid.Bool().Draw(t, "written") {
					s.grant(g)
				}
			},
			"late": func() {
				if len(old) > 0 {
					s.grant(rapid.SampledFrom(old).Draw(t, "old"))
				}
			},
			"impossible": func() {
				from := centre.Draw(t, "from")
				s.grant(briarspring.QuotaGrant{
					Token: s.live.Claim(from).Token, DataCentre: from, Organisation: organisation.Draw(t, "organisation"),
					Given: parts.Draw(t, "given"), Received: parts.Draw(t, "received"),
				})
			},
			"malformed": func() { s.add(registrar.QuotaGrantKey("tartu", "kask", 1, 1, s.attempt()), []byte{0xff}) },
			"request": func() {
				from := centre.Draw(t, "from")
				token := s.live.Claim(from).Token + uint64(rapid.IntRange(0, 1).Draw(t, "late"))
				s.request(from, token, map[string]int{organisation.Draw(t, "organisation"): rapid.IntRange(0, 10000).Draw(t, "parts")})
			},
			"delete": func() {
				for _, key := range s.live.SupersededQuota(centre.Draw(t, "centre"), rapid.IntRange(1, 5).Draw(t, "limit")) {
					shares := describeShares(s.live)
					s.add(key, nil)
					require.Equal(t, shares, describeShares(s.live), "after the deletion of %s", key)
				}
			},
		}
		kinds := append(slices.Sorted(maps.Keys(actions)), "grant", "grant", "delete", "late")
		for range rapid.IntRange(5, 50).Draw(t, "length") {
			actions[rapid.SampledFrom(kinds).Draw(t, "kind")]()
			for _, name := range []string{"kask", "han/bit"} {
				require.LessOrEqual(t, sumOfParts(s.live, name), briarspring.QuotaParts)
			}
		}
		n := len(s.records)
		want := describeQuota(s.live)
		for length := range n + 1 {
			r := s.restored(registrar.New(), length, length, "", length)
			require.Equal(t, describeQuota(s.followed(length)), describeQuota(r), "restored at %d", length)
		}
		length := rapid.IntRange(0, n).Draw(t, "restored at")
		later := rapid.IntRange(length, n).Draw(t, "later pages at")
		page := rapid.SampledFrom([]string{"", "g/", "g/tartu/", "g/tartu/kask", "g/viljandi/", "gp", "gw", "o/", "p"}).Draw(t, "page")
		require.Equal(t, want, describeQuota(s.restored(registrar.New(), length, later, page, n)), "with later pages")
		// A host that has lost its place in the stream restores over what it has.
		behind := s.followed(rapid.IntRange(0, length).Draw(t, "behind"))
		require.Equal(t, want, describeQuota(s.restored(behind, length, later, page, n)), "restored again")
	})
}

// With correct owners only, all parts exist at each point.
func TestQuotaSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newQuotaStream(t, "tartu", "viljandi")
		centre := rapid.SampledFrom(quotaCentres)
		for range rapid.IntRange(5, 40).Draw(t, "length") {
			from, to := centre.Draw(t, "from"), centre.Draw(t, "to")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 || s.live.Claim(from).Token == 0 {
				s.claim(from)
			} else if held := s.live.QuotaParts(from, "kask"); held > 0 && from != to && s.live.Claim(to).Token != 0 {
				s.grant(s.next(s.live.Claim(from).Token, from, to, "kask", rapid.IntRange(1, held).Draw(t, "parts")))
				require.Equal(t, held, s.live.QuotaParts(from, "kask")+s.live.QuotaGiven(from, "kask")[to]-before(s, from, to))
			}
			require.Equal(t, briarspring.QuotaParts, sumOfParts(s.live, "kask"))
		}
	})
}

// before returns what a data centre had given to another one before the last record.
func before(s *quotaStream, from, to string) int {
	return s.followed(len(s.records)-1).QuotaGiven(from, "kask")[to]
}
