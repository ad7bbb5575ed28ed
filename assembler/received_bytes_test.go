package assembler_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

// hostBytesPerSecond is what a host may read in a second at the two-year size.
const hostBytesPerSecond = 11_000

// inGrowingFleet runs a test in three data centres with a host that owns and five
// small ones each, at two sizes.
func inGrowingFleet(t *testing.T, name string, test func(t *testing.T, f *fleet)) {
	for _, workers := range []int{20, 200} {
		t.Run(fmt.Sprintf("%s/%d workers", name, workers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				size := fleetSize{workers: workers, hosts: 6, cpu: func(i int) int {
					if i == 0 {
						return 800
					}
					return 110
				}}
				f := newSizedFleet(t, 1, size, "tartu", "viljandi", "voru")
				defer f.end()
				time.Sleep(3 * time.Second)
				test(t, f)
			})
		})
	}
}

// assertReceived fails if the last host, which owns nothing, reads more than a host
// may while something happens for a span.
func assertReceived(t *testing.T, f *fleet, span time.Duration, happens func()) {
	t.Helper()
	h := f.host(f.centres[0], f.size.hosts-1)
	before := f.store.Received(h.caller)
	go happens()
	time.Sleep(span)
	perSecond := float64(f.store.Received(h.caller)-before) / span.Seconds()
	assert.Less(t, perSecond, float64(hostBytesPerSecond))
}

// Guards against records in the shared stream that grow with the fleet: every host
// reads that stream. A median host of 301 read 64 kB a second.
func TestReceivedBytes(t *testing.T) {
	inGrowingFleet(t, "at rest", func(t *testing.T, f *fleet) {
		assertReceived(t, f, 10*time.Second, func() {})
	})
	inGrowingFleet(t, "a tenth of the workers leave and come back", func(t *testing.T, f *fleet) {
		tenth := func(do func(id string)) {
			for i := range 20 {
				if i < f.size.workers/10 {
					for _, centre := range f.centres {
						do(fmt.Sprintf("worker-%s-%d", centre, i))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		assertReceived(t, f, 12*time.Second, func() {
			tenth(f.pool.Crash)
			time.Sleep(5 * time.Second) // Their entries disappear.
			tenth(f.pool.Restart)
		})
	})
	// Guards against a copy of the directory from each host that accepts a workflow
	// before it has read that there is one.
	inGrowingFleet(t, "a change of the directory is copied once a data centre", func(t *testing.T, f *fleet) {
		copies := func() int {
			page, err := f.store.Client("test").Read(t.Context(), briarspring.SharedStream, 0, 0)
			require.NoError(t, err)
			n := 0
			for _, r := range page.Records {
				if strings.HasPrefix(r.Key, "d/") && len(r.Value) > 0 {
					n++
				}
			}
			return n
		}
		before := copies()
		f.store.Put(briarspring.DirectoryStream, directoryRecord(t, 2))
		for i := range 40 {
			go f.submit(wideID(i), shortStep(1))
			time.Sleep(50 * time.Millisecond)
		}
		n := copies() - before
		assert.GreaterOrEqual(t, n, 1)
		assert.LessOrEqual(t, n, len(f.centres))
	})
}
