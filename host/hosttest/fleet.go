// Package hosttest provides a fixed host.View for tests.
package hosttest

import "github.com/galenaseam/galenaseam/host"

// Fleet is a fixed list of members; the first is the local host.
type Fleet []host.Member

var _ host.View = Fleet(nil)

// Self returns the first member.
func (f Fleet) Self() host.Info { return f[0].Info }

// Members returns all members.
func (f Fleet) Members() []host.Member { return f }

// Lookup returns one member by ID.
func (f Fleet) Lookup(id host.ID) (host.Member, bool) {
	for _, m := range f {
		if m.ID == id {
			return m, true
		}
	}
	return host.Member{}, false
}
