// Package applier is the deterministic state machine of the platform's log:
// every reader that applies the same records in order of offset reaches the
// same state. It reads no clock and does no I/O.
package applier

import (
	"cmp"
	"slices"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// writers tracks the last record of each writer, to drop records that were
// appended twice or come from an older incarnation.
type writers map[string]writerState

type writerState struct {
	incarnation uint64
	sequence    uint64
}

// accept reports whether the record is new, and stores its sequence number if it
// is.
func (w writers) accept(r briarspring.Record) bool {
	last, known := w[r.Writer.Name]
	if known && r.Writer.Incarnation < last.incarnation {
		return false
	}
	if known && r.Writer.Incarnation == last.incarnation && r.Sequence <= last.sequence {
		return false
	}
	w[r.Writer.Name] = writerState{incarnation: r.Writer.Incarnation, sequence: r.Sequence}
	return true
}

func (w writers) encode() []*pb.WriterState {
	var ms []*pb.WriterState
	for name, s := range w {
		ms = append(ms, &pb.WriterState{Writer: name, Incarnation: s.incarnation, Sequence: s.sequence})
	}
	slices.SortFunc(ms, func(a, b *pb.WriterState) int { return cmp.Compare(a.Writer, b.Writer) })
	return ms
}

func decodeWriters(ms []*pb.WriterState) writers {
	w := writers{}
	for _, m := range ms {
		w[m.GetWriter()] = writerState{incarnation: m.GetIncarnation(), sequence: m.GetSequence()}
	}
	return w
}

// sortedKeys returns the sorted keys of m.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
