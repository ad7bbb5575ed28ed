package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startBeside starts another process of a host whose present one stays.
func (f *fleet) startBeside(h *testHost) *testHost {
	var number int
	_, err := fmt.Sscanf(h.name, "host-"+h.centre+"-%d", &number)
	require.NoError(f.t, err)
	return f.start(h.centre, number)
}

// endWith ends a process that f does not know any more.
func (f *fleet) endWith(h *testHost) {
	f.cutOff(h, true, true, true)
	h.cancel()
	<-h.done
}

// Guards against a new process of a host that takes its earlier one for gone, while that
// still renews the lease of a worker that only it can reach.
func TestTwoProcessesOfAHost(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		inVirtualTime(t, after.String()+" after the earlier one was cut off", func(t *testing.T, f *fleet) {
			const id = "0000000000000041"
			f.submit(id, longRunningStep(12))
			assertRunning(t, f, id, time.Second)
			earlier, only := f.owner(tartu), f.workerOf(id)
			defer f.endWith(earlier)
			for i := range hostsPerCentre {
				if h := f.host(tartu, i); h != earlier {
					f.pool.Cut(h.caller, only, true)
				}
			}
			f.cutOff(earlier, true, true, true)
			f.pool.Cut(earlier.caller, only, false)
			time.Sleep(after)
			later := f.startBeside(earlier)
			f.pool.Cut(later.caller, only, true)
			time.Sleep(12 * time.Second)
			assert.Empty(t, f.pool.Violations())
		}, tartu)
	}
}
