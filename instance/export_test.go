package instance

// KeptNotices returns the number of notices of processes that are not listed.
func (t *Table) KeptNotices() int { return len(t.kept) }
