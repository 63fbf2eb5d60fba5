package runs

// cordon is what the entries have reported of the cordon on the guard's data centre.
type cordon struct {
	// revision is the highest revision of the store at which an entry has learnt it.
	revision int64
	active   bool
}

// SetCordon records whether the guard's data centre is cordoned at a revision of the store. A
// cordoned table rejects starts, and what runs goes on. An entry that has missed newer revisions
// changes nothing. SetCordon returns true if the state has changed.
func (t *Table) SetCordon(revision int64, cordoned bool) bool {
	if revision <= t.cordon.revision {
		return false
	}
	changed := t.cordon.active != cordoned
	t.cordon = cordon{revision, cordoned}
	return changed
}

// Cordoned reports whether the guard's data centre is cordoned.
func (t *Table) Cordoned() bool { return t.cordon.active }
