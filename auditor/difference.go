package auditor

import (
	"fmt"
	"strconv"

	"briarspring"
)

// ChangeKind is what happened to an entry.
type ChangeKind uint8

// The kinds of changes.
const (
	Added   ChangeKind = 1
	Removed ChangeKind = 2
	Changed ChangeKind = 3
)

// String returns the kind in lower case.
func (k ChangeKind) String() string {
	names := [...]string{"", "added", "removed", "changed"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// FieldChange is a field with its values in both versions.
type FieldChange struct {
	Field         string // In kebab case.
	Before, After string
}

// Change is an entry that isn't the same in both versions.
type Change struct {
	Kind        ChangeKind
	Name        string
	Fields      []FieldChange // Of changed entries only.
	KeysAdded   int
	KeysRemoved int
}

// Difference is what a draft changes of the version in force. It contains no key.
type Difference struct {
	Before, After uint64        // Versions.
	Fields        []FieldChange // Of the configuration as a whole.
	Queues        []Change
	Organisations []Change
}

// Empty reports whether nothing but the version differs.
func (d *Difference) Empty() bool {
	return len(d.Fields) == 0 && len(d.Queues) == 0 && len(d.Organisations) == 0
}

// compare returns what differs. Entries are the same if their names are; among queues of
// one name they are told apart by their order, and of organisations the first one counts.
// Removed entries come last.
func (a *audit) compare(before, after briarspring.Directory) *Difference {
	d := &Difference{Before: before.Version, After: after.Version}
	d.Fields = changed(nil, "keys-required", before.KeysRequired, after.KeysRequired)
	d.Queues = compareEntries(queuesByName(before), queuesByName(after), func(b, q *briarspring.Queue) Change {
		return Change{Name: a.show(q.Name), Fields: a.queueFields(b, q)}
	})
	d.Organisations = compareEntries(organisationsByName(before), organisationsByName(after), a.compareOrganisations)
	return d
}

// entry is an entry with what identifies it in both versions.
type entry[T any] struct {
	id    string
	value *T
}

// compareEntries returns the entries that differ. The function describes the change from
// one value to another and is given the zero value for the version without the entry,
// except for the name.
func compareEntries[T any](before, after []entry[T], describe func(before, after *T) Change) []Change {
	var changes []Change
	old := map[string]*T{}
	for _, e := range before {
		old[e.id] = e.value
	}
	present := map[string]bool{}
	for _, e := range after {
		present[e.id] = true
		b, known := old[e.id]
		if !known {
			c := describe(new(T), e.value)
			c.Kind, c.Fields = Added, nil
			changes = append(changes, c)
			continue
		}
		c := describe(b, e.value)
		if c.Kind = Changed; len(c.Fields) > 0 || c.KeysAdded > 0 || c.KeysRemoved > 0 {
			changes = append(changes, c)
		}
	}
	for _, e := range before {
		if !present[e.id] {
			c := describe(new(T), e.value)
			c.Kind, c.Fields, c.KeysAdded, c.KeysRemoved = Removed, nil, 0, c.KeysAdded
			changes = append(changes, c)
		}
	}
	return changes
}

func queuesByName(d briarspring.Directory) []entry[briarspring.Queue] {
	var list []entry[briarspring.Queue]
	seen := map[string]int{}
	for i := range d.Queues {
		q := &d.Queues[i]
		seen[q.Name]++
		list = append(list, entry[briarspring.Queue]{id: q.Name + "\x00" + strconv.Itoa(seen[q.Name]), value: q})
	}
	return list
}

func organisationsByName(d briarspring.Directory) []entry[briarspring.Organisation] {
	var list []entry[briarspring.Organisation]
	seen := map[string]bool{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		if o.Name != "" && !seen[o.Name] {
			seen[o.Name] = true
			list = append(list, entry[briarspring.Organisation]{id: o.Name, value: o})
		}
	}
	return list
}

// changed appends a field if its values differ.
func changed[T comparable](list []FieldChange, field string, before, after T) []FieldChange {
	if before == after {
		return list
	}
	return append(list, FieldChange{Field: field, Before: fmt.Sprint(before), After: fmt.Sprint(after)})
}

func (a *audit) queueFields(b, q *briarspring.Queue) []FieldChange {
	var list []FieldChange
	list = changed(list, "host", a.show(b.Host), a.show(q.Host))
	list = changed(list, "prefix", a.show(b.Prefix), a.show(q.Prefix))
	list = changed(list, "service", a.show(b.Service), a.show(q.Service))
	list = changed(list, "priority", b.Priority, q.Priority)
	list = changed(list, "max-attempts", b.MaxAttempts, q.MaxAttempts)
	list = changed(list, "stretch", b.Stretch, q.Stretch)
	list = changed(list, "target-latency", b.Allowance, q.Allowance)
	list = changed(list, "externally-advised", b.ExternallyAdvised, q.ExternallyAdvised)
	return changed(list, "public", b.Public, q.Public)
}

func (a *audit) compareOrganisations(b, o *briarspring.Organisation) Change {
	c := Change{Name: a.show(o.Name)}
	c.Fields = changed(c.Fields, "weight", b.Weight, o.Weight)
	c.Fields = changed(c.Fields, "limit-milli-cpu", b.Limit.MilliCPU(), o.Limit.MilliCPU())
	c.Fields = changed(c.Fields, "limit-memory-mib", b.Limit.MemoryMiB(), o.Limit.MemoryMiB())
	c.Fields = changed(c.Fields, "limit-accelerators", b.Limit.Accelerators(), o.Limit.Accelerators())
	before, after := keySet(b), keySet(o)
	for k := range after {
		if !before[k] {
			c.KeysAdded++
		}
	}
	for k := range before {
		if !after[k] {
			c.KeysRemoved++
		}
	}
	return c
}

func keySet(o *briarspring.Organisation) map[briarspring.KeyDigest]bool {
	set := map[briarspring.KeyDigest]bool{}
	for _, k := range o.Keys {
		set[k] = true
	}
	return set
}
