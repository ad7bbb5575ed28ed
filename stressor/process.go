// Package stressor plays many clients that misbehave against a process under test,
// and observes the memory and the file descriptors of the process.
package stressor

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	bytesPerMiB  = 1 << 20
	pollInterval = 20 * time.Millisecond
	// logTailBytes is how much of a log is printed when a test fails.
	logTailBytes = 4000
)

// Bounds are what a process may occupy.
type Bounds struct {
	MemoryMiB   int // Peak resident memory.
	Descriptors int // Open at once.
}

// Process is a process under test.
type Process struct {
	cmd            *exec.Cmd
	logs           string
	done           chan struct{}
	maxDescriptors atomic.Int64 // Largest number of open descriptors that was seen.
}

// Start starts a process whose output goes to a file. It is killed when the test ends.
func Start(t testing.TB, cmd *exec.Cmd, logs string) *Process {
	f, err := os.Create(logs)
	require.NoError(t, err)
	defer f.Close()
	cmd.Stdout, cmd.Stderr = f, f
	require.NoError(t, cmd.Start())
	p := &Process{cmd: cmd, logs: logs, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // AssertAlive reports an exit.
	}()
	go p.watchDescriptors()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("%s", p.logTail())
		}
	})
	return p
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // Fails if it has exited.
	<-p.done
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// logTail returns the end of what the process has logged.
func (p *Process) logTail() []byte {
	logs, _ := os.ReadFile(p.logs)
	return logs[max(0, len(logs)-logTailBytes):]
}

// AssertAlive checks that the process has not exited.
func (p *Process) AssertAlive(t testing.TB) {
	t.Helper()
	select {
	case <-p.done:
		require.FailNow(t, "the process exited", "%s", p.logTail())
	default:
	}
}

// AssertBounds checks the peaks of memory and descriptors.
func (p *Process) AssertBounds(t testing.TB, b Bounds) {
	t.Helper()
	peak, err := p.peakMemory()
	require.NoError(t, err)
	descriptors := p.maxDescriptors.Load()
	t.Logf("peak memory %.1f MiB of %d, descriptors %d of %d", float64(peak)/bytesPerMiB, b.MemoryMiB, descriptors, b.Descriptors)
	assert.LessOrEqual(t, peak, int64(b.MemoryMiB)*bytesPerMiB, "peak resident memory")
	assert.LessOrEqual(t, descriptors, int64(b.Descriptors), "open descriptors")
}

// path returns the path of a file of the process under /proc.
func (p *Process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// watchDescriptors records the largest number of open descriptors until the process
// exits.
func (p *Process) watchDescriptors() {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-poll.C:
		}
		if files, err := os.ReadDir(p.path("fd")); err == nil {
			p.maxDescriptors.Store(max(p.maxDescriptors.Load(), int64(len(files))))
		}
	}
}

// NoPeakError reports a process of which the system doesn't state the peak memory.
type NoPeakError struct{ PID int }

// Error implements error.
func (e *NoPeakError) Error() string {
	return fmt.Sprintf("process %d has no peak of its memory", e.PID)
}

// peakMemory returns the peak resident memory of the process in bytes.
func (p *Process) peakMemory() (int64, error) {
	status, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kB << 10, err
		}
	}
	return 0, &NoPeakError{PID: p.cmd.Process.Pid}
}
