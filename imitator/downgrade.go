package imitator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// DowngradeSlack is the time from an effect of a version of the directory to questions
// that the same host must not answer by an older one any more, as on the platform.
const DowngradeSlack = 250 * time.Millisecond

// recentVersions is the number of versions whose queues Recent returns.
const recentVersions = 4

// maxVersionQueues is the number of queues that changes add and have not dropped yet.
const maxVersionQueues = 3

// DirectoryVersion is a version of the directory and the queues that changes added.
type DirectoryVersion struct {
	Version uint64
	Queues  []string // Oldest first.
}

// DirectoryWatch makes versions of a directory, and records violations by hosts that
// go back to an older one in what they answer.
type DirectoryWatch struct {
	mu         sync.Mutex
	versions   []DirectoryVersion
	floors     map[string][]versionFloor // By host, in order of time.
	violations []string
	answers    int
}

// versionFloor is the oldest version that a host may follow from a time on.
type versionFloor struct {
	since   time.Time
	version uint64
}

// NewDirectoryWatch returns a watch whose first version has no added queues.
func NewDirectoryWatch(version uint64) *DirectoryWatch {
	return &DirectoryWatch{versions: []DirectoryVersion{{Version: version}}, floors: map[string][]versionFloor{}}
}

// Next makes the next version, which adds a queue or drops the oldest one, and passes it
// to write before any answer is compared with it.
func (w *DirectoryWatch) Next(step uint64, add bool, write func(DirectoryVersion)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.versions[len(w.versions)-1]
	next := DirectoryVersion{Version: last.Version + step, Queues: slices.Clone(last.Queues)}
	if n := len(next.Queues); n == maxVersionQueues || n > 0 && !add {
		next.Queues = next.Queues[1:]
	} else {
		next.Queues = append(next.Queues, fmt.Sprintf("extra-%d", next.Version))
	}
	w.versions = append(w.versions, next)
	write(next)
}

// Recent returns the queues of the last versions, newest version last.
func (w *DirectoryWatch) Recent() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, v := range w.versions[max(0, len(w.versions)-recentVersions):] {
		for _, q := range v.Queues {
			if !slices.Contains(names, q) {
				names = append(names, q)
			}
		}
	}
	return names
}

// Started records that a task of a queue was started by a host.
func (w *DirectoryWatch) Started(host, queue string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.oldest(0, queue, true); ok {
		w.raise(host, v, at)
	}
}

// Answered compares a host's answer on whether a queue exists with what the host followed
// before the question was sent.
func (w *DirectoryWatch) Answered(host, queue string, found bool, sent, received time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
	floor := uint64(0)
	for _, f := range w.floors[host] {
		if f.since.Add(DowngradeSlack).Before(sent) {
			floor = f.version
		}
	}
	v, ok := w.oldest(floor, queue, found)
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf("%s went back: it followed version %d or newer, and answers for queue %s, found %t, as only older versions allow",
			host, floor, queue, found))
		return
	}
	w.raise(host, v, received)
}

// oldest returns the oldest version from a floor on that has a queue, or hasn't.
func (w *DirectoryWatch) oldest(floor uint64, queue string, has bool) (uint64, bool) {
	for _, v := range w.versions {
		if v.Version >= floor && slices.Contains(v.Queues, queue) == has {
			return v.Version, true
		}
	}
	return 0, false
}

func (w *DirectoryWatch) raise(host string, version uint64, at time.Time) {
	floors := w.floors[host]
	if len(floors) == 0 || floors[len(floors)-1].version < version {
		w.floors[host] = append(floors, versionFloor{since: at, version: version})
	}
}

// Violations returns the violations that were recorded.
func (w *DirectoryWatch) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// Counts returns the number of versions made and of answers compared.
func (w *DirectoryWatch) Counts() (versions, answers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.versions), w.answers
}
