package cataloguer

import (
	"briarspring"
)

// maxNamedConflicts bounds the organisations that a warning about one version names.
const maxNamedConflicts = 16

// indexOrganisations returns the organisations of a directory that count, and the index
// of their keys. Of organisations with one name, and of those that have the same key, the
// first counts. It also returns the names of organisations that lost something by that.
func indexOrganisations(list []briarspring.Organisation) (counting []briarspring.Organisation, index *briarspring.KeyIndex, conflicts []string) {
	names := map[string]bool{}
	owners := map[briarspring.KeyDigest]string{}
	for _, o := range list {
		// Workflows without an organisation have an empty name.
		if o.Name == "" || names[o.Name] {
			conflicts = append(conflicts, o.Name)
			continue
		}
		names[o.Name] = true
		var keys []briarspring.KeyDigest
		for _, k := range o.Keys {
			owner, taken := owners[k]
			if !taken {
				owners[k] = o.Name
				keys = append(keys, k)
			} else if owner != o.Name {
				conflicts = append(conflicts, owner+" and "+o.Name)
			}
		}
		o.Keys = keys
		counting = append(counting, o)
	}
	return counting, briarspring.NewKeyIndex(owners), conflicts
}

// warnOfConflicts logs which organisations of a version are in conflict, without keys.
func (c *Catalogue) warnOfConflicts(version uint64, conflicts []string) {
	if len(conflicts) == 0 {
		return
	}
	c.config.Logger.Warn("organisations with the same name, without a name, or with the same key: the first one counts", "version", version,
		"organisations", conflicts[:min(len(conflicts), maxNamedConflicts)], "conflicts", len(conflicts))
}

// Snapshot returns the current directory with the index of its keys, or false as
// Directory does. Both are of one version.
func (c *Catalogue) Snapshot() (briarspring.Directory, *briarspring.KeyIndex, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory, c.index, c.loaded && c.read
}
