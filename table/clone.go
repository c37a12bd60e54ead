package table

import "slices"

// Clone returns a deep copy, but for the LiftedFingerprints of services, which share their
// memory with the table. The copy has no index: its lookups find nothing until Build
// or Index has made one.
func (t *Table) Clone() *Table {
	c := &Table{
		Format:      t.Format,
		Version:     t.Version,
		Services:    slices.Clone(t.Services),
		Routes:      slices.Clone(t.Routes),
		Callers:     slices.Clone(t.Callers),
		Domains:     slices.Clone(t.Domains),
		Accounts:    slices.Clone(t.Accounts),
		RequireKeys: t.RequireKeys,
	}
	for i := range c.Accounts {
		c.Accounts[i].Keys = slices.Clone(t.Accounts[i].Keys)
	}
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(t.Services[i].Upstreams)
	}
	for i := range c.Routes {
		c.Routes[i].Shares = slices.Clone(t.Routes[i].Shares)
		c.Routes[i].Repeatable = slices.Clone(t.Routes[i].Repeatable)
	}
	return c
}
