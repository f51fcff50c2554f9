package fgblock

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
)

// MaxSites is the maximum number of sites in a SiteList.
const MaxSites = 3

// SiteID is the index of a site in the directory.
type SiteID uint16

// SiteState reports whether a site accepts callers.
type SiteState uint8

// The states of a site.
const (
	// SiteServing means that the site accepts callers.
	SiteServing SiteState = iota
	// SiteDrained means that look-ups leave the site out.
	SiteDrained
)

// SiteList is the result of a look-up: sites in order of preference.
type SiteList struct {
	sites [MaxSites]SiteID
	count int
}

// Len returns the number of sites.
func (l *SiteList) Len() int { return l.count }

// Site returns the i-th preferred site, counted from 0.
func (l *SiteList) Site(i int) SiteID { return l.sites[i] }

// Directory finds the sites that serve an address. Readers take no locks and may
// run concurrently with one writer; writers must not run concurrently.
type Directory struct {
	view atomic.Pointer[view]
}

// view is an immutable version of the directory. A change of a site's state makes
// a new view that shares the block table and the policies with the old one.
type view struct {
	table    *Table
	policies [][]SiteID
	states   []SiteState
}

// NewDirectory returns a directory in which all sites are serving. Each policy
// lists sites in order of preference.
func NewDirectory(t *Table, policies [][]SiteID, sites int) (*Directory, error) {
	for i, p := range policies {
		for _, s := range p {
			if int(s) >= sites {
				return nil, fmt.Errorf("policy %d refers to site %d; valid sites are 0 to %d", i, s, sites-1)
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

// SetSite changes the state of a site.
func (d *Directory) SetSite(s SiteID, state SiteState) {
	next := *d.view.Load()
	next.states = slices.Clone(next.states)
	next.states[s] = state
	d.view.Store(&next)
}

// Lookup returns the preferred serving sites for an address. It does not allocate.
func (d *Directory) Lookup(a netip.Addr) SiteList {
	v := d.view.Load()
	var out SiteList
	p, ok := v.table.Lookup(a)
	if !ok || int(p) >= len(v.policies) {
		return out
	}
	for _, s := range v.policies[p] {
		if out.count == MaxSites {
			break
		}
		if v.states[s] == SiteServing {
			out.sites[out.count] = s
			out.count++
		}
	}
	return out
}
