package fgrelay

import "time"

// positionLifetime is how long a gateway may be silent until a state of an earlier
// incarnation is accepted again: its VM's clock may have been set back before its
// latest start.
const positionLifetime = 5 * time.Second

// maxSilence is how long a silent gateway is remembered.
const maxSilence = time.Minute

// Sequences tells new states from those that were received before, or that a frozen
// relay or a slow link has kept until later ones arrived. The zero value is ready to
// use. It is not safe for concurrent use.
type Sequences struct {
	last map[string]position
}

// position identifies a state of a gateway.
type position struct {
	incarnation, sequence uint64
	received              time.Time
}

// Accept reports whether a state is newer than all states of its gateway before, and
// records it. A later incarnation has a higher number.
func (s *Sequences) Accept(vm string, incarnation, sequence uint64) bool {
	if s.last == nil {
		s.last = map[string]position{}
	}
	now := time.Now()
	p, known := s.last[vm]
	if known && (incarnation < p.incarnation || incarnation == p.incarnation && sequence <= p.sequence) &&
		(incarnation == p.incarnation || now.Sub(p.received) < positionLifetime) {
		return false
	}
	s.last[vm] = position{incarnation: incarnation, sequence: sequence, received: now}
	return true
}

// Prune forgets gateways that have been silent for maxSilence.
func (s *Sequences) Prune() {
	for vm, p := range s.last {
		if time.Since(p.received) > maxSilence {
			delete(s.last, vm)
		}
	}
}
