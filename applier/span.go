package applier

import "slices"

// Span is a half-open range of task indexes.
type Span struct {
	First uint32
	End   uint32
}

// Len returns the number of indexes in the span.
func (s Span) Len() uint32 { return s.End - s.First }

// spans is a sorted list of disjoint spans.
type spans []Span

// find returns the position of the span that contains index, or -1.
func (s spans) find(index uint32) int {
	i, found := slices.BinarySearchFunc(s, index, func(sp Span, index uint32) int {
		if sp.End <= index {
			return -1
		}
		if sp.First > index {
			return 1
		}
		return 0
	})
	if !found {
		return -1
	}
	return i
}

// remove removes one index and reports whether it was there.
func (s *spans) remove(index uint32) bool {
	i := s.find(index)
	if i < 0 {
		return false
	}
	sp := (*s)[i]
	switch {
	case sp.Len() == 1:
		*s = slices.Delete(*s, i, i+1)
	case index == sp.First:
		(*s)[i].First++
	case index == sp.End-1:
		(*s)[i].End--
	default:
		(*s)[i].End = index
		*s = slices.Insert(*s, i+1, Span{First: index + 1, End: sp.End})
	}
	return true
}

// removeRange removes every index of the half-open range and returns how many
// there were.
func (s *spans) removeRange(first, end uint32) uint32 {
	var kept spans
	var removed uint32
	for _, sp := range *s {
		left := Span{First: sp.First, End: min(sp.End, first)}
		right := Span{First: max(sp.First, end), End: sp.End}
		removed += sp.Len()
		if left.First < left.End {
			kept = append(kept, left)
			removed -= left.Len()
		}
		if right.First < right.End {
			kept = append(kept, right)
			removed -= right.Len()
		}
	}
	*s = kept
	return removed
}

// add inserts a half-open range of indexes, which may overlap existing spans.
func (s *spans) add(first, end uint32) {
	if first >= end {
		return
	}
	s.removeRange(first, end)
	i, _ := slices.BinarySearchFunc(*s, first, func(sp Span, first uint32) int {
		if sp.First < first {
			return -1
		}
		return 1
	})
	*s = slices.Insert(*s, i, Span{First: first, End: end})
}

// count returns the number of indexes.
func (s spans) count() uint32 {
	var n uint32
	for _, sp := range s {
		n += sp.Len()
	}
	return n
}
