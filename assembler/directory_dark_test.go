package assembler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/imitator"
)

// restartInTheDark kills all hosts, lets operators change the directory meanwhile, and
// starts the hosts while a stream can't be read for a time.
func (f *fleet) restartInTheDark(late string, lateTime time.Duration, operate func()) {
	var killed []*testHost
	for _, centre := range f.centres {
		for i := range f.size.hosts {
			h := f.host(centre, i)
			f.remove(h)
			killed = append(killed, h)
		}
	}
	time.Sleep(time.Second)
	operate()
	time.Sleep(time.Second)
	end := f.store.BeginOutage(imitator.StreamOutage{Stream: late, Silent: true})
	for i, h := range killed {
		f.start(h.centre, i%f.size.hosts)
	}
	time.Sleep(lateTime)
	end()
}

// Guards against a data centre that stays out of service for good, or that is used though
// it is out of service, since no host saw the operators' last change when it was made: a
// host that starts finds an older copy of the record, or none.
func TestOutOfServiceChangedWhileAllHostsAreAway(t *testing.T) {
	const id = "0000000000000047"
	out := func(f *fleet, out bool) {
		f.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(tartu, out))
	}
	changes := []struct {
		name          string
		before, after bool
		operate       func(f *fleet)
	}{
		{"returned", true, false, func(f *fleet) { out(f, false) }},
		{"returned, and the history is gone", true, false, func(f *fleet) { out(f, false); f.store.TrimHistory() }},
		{"returned and taken out again", true, true, func(f *fleet) { out(f, false); out(f, true) }},
		{"taken out", false, true, func(f *fleet) { out(f, true) }},
		{"taken out and returned", false, false, func(f *fleet) { out(f, true); out(f, false) }},
	}
	for _, late := range []string{briarspring.SharedStream, briarspring.DirectoryStream} {
		for _, c := range changes {
			inVirtualTime(t, c.name+", "+late+" is read last", func(t *testing.T, f *fleet) {
				require.True(t, f.submit(id, shortStep(1), shortStep(2, 0)))
				time.Sleep(200 * time.Millisecond)
				out(f, c.before)
				require.Eventually(t, func() bool { return f.pool.Starts() == 1 }, 2*time.Second, 10*time.Millisecond, "the second step waits")
				time.Sleep(300 * time.Millisecond)
				f.restartInTheDark(late, 3*time.Second, func() { c.operate(f) })
				time.Sleep(12 * time.Second)
				synctest.Wait()
				assert.Equal(t, c.after, f.pool.Starts() == 1, "starts: %d", f.pool.Starts())
				assertNoViolations(t, f)
			}, tartu)
		}
	}
}
