package fgblock

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
)

// MaxAnswers is the number of sites in an answer.
const MaxAnswers = 3

// SiteID is the index of a site.
type SiteID uint16

// SiteState tells whether a site takes callers.
type SiteState uint8

// The states of a site.
const (
	SiteServing SiteState = iota
	SiteDrained
)

// Answer lists sites in order of preference.
type Answer struct {
	sites [MaxAnswers]SiteID
	count int
}

// Len returns the number of sites.
func (a *Answer) Len() int { return a.count }

// Site returns the site at a position.
func (a *Answer) Site(i int) SiteID { return a.sites[i] }

// Directory answers which sites serve an address. Readers take no locks;
// writers must not run at the same time as each other.
type Directory struct {
	view atomic.Pointer[view]
}

// view is one consistent state. The block table and the policies are shared by
// the views before and after a change of a site's state.
type view struct {
	table    *Table
	policies [][]SiteID
	states   []SiteState
}

// NewDirectory returns a directory of serving sites. Each policy lists sites
// in order of preference.
func NewDirectory(t *Table, policies [][]SiteID, sites int) (*Directory, error) {
	for i, p := range policies {
		for _, s := range p {
			if int(s) >= sites {
				return nil, fmt.Errorf("policy %d names site %d; accepted are 0 to %d", i, s, sites-1)
			}
		}
	}
	d := &Directory{}
	d.view.Store(&view{table: t, policies: policies, states: make([]SiteState, sites)})
	return d, nil
}

// SetTable replaces the block table.
func (d *Directory) SetTable(t *Table) {
	next := *d.view.Load()
	next.table = t
	d.view.Store(&next)
}

// SetSite changes the state of a site. The block table stays as it is.
func (d *Directory) SetSite(s SiteID, state SiteState) {
	next := *d.view.Load()
	next.states = slices.Clone(next.states)
	next.states[s] = state
	d.view.Store(&next)
}

// Lookup returns the serving sites for an address in order of preference. It
// does not allocate.
func (d *Directory) Lookup(a netip.Addr) Answer {
	v := d.view.Load()
	var out Answer
	p, ok := v.table.Lookup(a)
	if !ok || int(p) >= len(v.policies) {
		return out
	}
	for _, s := range v.policies[p] {
		if out.count == MaxAnswers {
			break
		}
		if v.states[s] == SiteServing {
			out.sites[out.count] = s
			out.count++
		}
	}
	return out
}
