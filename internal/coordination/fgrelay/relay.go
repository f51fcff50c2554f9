package fgrelay

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// Interval is how often Round is called. It bounds the delay of a state at a root,
	// for which gateways of other zones admit requests above a rate.
	Interval = 50 * time.Millisecond
	// digestInterval is how often gateways tell others which states they hold.
	digestInterval = 2 * Interval
	// maxBatchBytes keeps a datagram with the states of several gateways below the
	// usual MTU.
	maxBatchBytes = 1200
	// maxHeld bounds the states that a datagram names, for the same reason.
	maxHeld = 150
)

// ID identifies a state.
type ID struct {
	VM                    string
	Incarnation, Sequence uint64
}

// Message is what a gateway sends besides its own state.
type Message[T any] struct {
	// States are states of other gateways, and Tree is the tree in which the receiver
	// passes them on, counted from 1, or 0 if it does not.
	States []T
	Tree   int
	// Held names states that the sender holds, and Wanted those that it asks for.
	Held   []Held
	Wanted []uint32
}

// Kind is the purpose of a message, for the metrics.
type Kind string

// The kinds of messages.
const (
	// Distribution passes states on within a zone.
	Distribution Kind = "distribution"
	// Sponsored passes states on to other zones, for gateways of earlier versions.
	Sponsored Kind = "relay"
	// Digest names states that the sender holds or asks for.
	Digest Kind = "digest"
	// Repair holds states that were asked for.
	Repair Kind = "repair"
)

// Send is a message with its receivers.
type Send[T any] struct {
	Kind    Kind
	To      []fgsteer.MemberSpec
	Message Message[T]
}

// Sender is the gateway that has sent a message.
type Sender struct {
	VM string
	// PassesOn is set unless the gateway is of an earlier version.
	PassesOn bool
}

// Relay decides what becomes of the states that a gateway receives. It is not safe for
// concurrent use.
type Relay[T any] struct {
	self string
	id   func(T) ID
	size func(T) int

	layout    Layout
	sequences Sequences
	recent    recent[T]
	// toZone are states from other zones for the gateways of the own one. toZones are
	// those that go to all other zones of the own region, and toRegions to all other
	// regions, because those that should have sent them there are of earlier versions.
	toZone, toZones, toRegions Queue[T]
	round                      int
}

// NewRelay returns the relay of a gateway. id and size return a state's identity and its
// size in bytes.
func NewRelay[T any](self string, id func(T) ID, size func(T) int) *Relay[T] {
	return &Relay[T]{self: self, id: id, size: size}
}

// SetLayout replaces the layout.
func (r *Relay[T]) SetLayout(l Layout) {
	r.layout = l
	r.sequences.Prune()
}

// Own returns the gateways that get this gateway's own state directly. What is sent to
// other zones for gateways of earlier versions is returned too.
func (r *Relay[T]) Own(state T) (to []fgsteer.MemberSpec, wrapped []Send[T]) {
	r.recent.add(r.id(state), state)
	passOn, old := r.layout.entries(r.self, nil)
	to = append(append(to, r.layout.Peers()...), passOn...)
	if len(old) > 0 {
		wrapped = append(wrapped, Send[T]{Sponsored, old, Message[T]{States: []T{state}}})
	}
	return to, wrapped
}

// accept reports whether a state is newer than those before of its gateway.
func (r *Relay[T]) accept(state T) bool {
	id := r.id(state)
	if id.VM == r.self || !r.sequences.Accept(id.VM, id.Incarnation, id.Sequence) {
		return false
	}
	r.recent.add(id, state)
	return true
}

// ReceiveOwn takes a state that its gateway has sent itself. It reports whether the
// state is new, and returns what is to be sent at once.
func (r *Relay[T]) ReceiveOwn(from Sender, state T) (bool, []Send[T]) {
	if !r.accept(state) {
		return false, nil
	}
	z := r.layout.zoneOf[from.VM]
	switch {
	case z == nil:
	case !from.PassesOn:
		// It sends its states to all gateways of its region.
		if r.layout.sponsors(from.VM) {
			r.toRegions.Add(state, r.size(state))
		}
	case z != r.layout.own:
		return true, r.passOnFrom(z, []T{state})
	}
	return true, nil
}

// passOnFrom passes states from another zone on to the own one. Those from the own region
// are passed on at once: a sudden excess over a rate must be known to most gateways
// before they have spent what they may without reports. Those from other regions, which
// are late anyway and more, are collected until the next round.
func (r *Relay[T]) passOnFrom(z *zone, states []T) []Send[T] {
	if z.region == r.layout.own.region {
		return r.distribute(states)
	}
	for _, s := range states {
		r.toZone.Add(s, r.size(s))
	}
	return nil
}

// Receive takes a message. It returns the new states and what is to be sent at once.
func (r *Relay[T]) Receive(from Sender, m Message[T]) (accepted []T, sends []Send[T]) {
	for _, s := range m.States {
		if r.accept(s) {
			accepted = append(accepted, s)
		}
	}
	if len(accepted) > 0 {
		sends = r.passOn(from, m.Tree-1, accepted)
	}
	if sender, ok := r.layout.find(from.VM); ok {
		to := []fgsteer.MemberSpec{sender}
		if wanted := r.recent.missing(m.Held); len(wanted) > 0 {
			sends = append(sends, Send[T]{Digest, to, Message[T]{Wanted: wanted}})
		}
		for _, batch := range r.batches(r.recent.get(m.Wanted)) {
			sends = append(sends, Send[T]{Repair, to, Message[T]{States: batch}})
		}
	}
	return accepted, sends
}

// passOn passes on new states that another gateway has passed on to this one.
func (r *Relay[T]) passOn(from Sender, tree int, states []T) []Send[T] {
	z := r.layout.zoneOf[from.VM]
	switch {
	case z == nil:
		return nil
	case z == r.layout.own:
		if tree < 0 && from.PassesOn {
			return r.passDown(states)
		}
		if children := r.layout.Children(tree); len(children) > 0 {
			return []Send[T]{{Distribution, children, Message[T]{States: states, Tree: tree + 1}}}
		}
		return nil
	}
	if !from.PassesOn && z.region != r.layout.own.region {
		for _, s := range states {
			r.toZones.Add(s, r.size(s))
		}
	}
	if from.PassesOn && !r.layout.IsRoot() && len(r.layout.Peers()) > 0 {
		// No root of the zone has got them.
		return []Send[T]{{Repair, r.layout.Peers(), Message[T]{States: states}}}
	}
	return r.passOnFrom(z, states)
}

// Round returns what is to be sent in a round.
func (r *Relay[T]) Round() []Send[T] {
	r.round++
	var sends []Send[T]
	if batches := r.toZone.Take(maxBatchBytes); !r.layout.isDirect() {
		for _, batch := range batches {
			sends = append(sends, r.distribute(batch)...)
		}
	}
	sends = append(sends, r.sponsor(&r.toZones, func(z *zone) bool { return z.region == r.layout.own.region })...)
	sends = append(sends, r.sponsor(&r.toRegions, func(z *zone) bool { return z.region != r.layout.own.region })...)
	if r.round%int(digestInterval/Interval) == 0 && !r.layout.isDirect() {
		sends = append(sends, r.digests()...)
	}
	return sends
}

// distribute passes states from other zones on to the own one.
func (r *Relay[T]) distribute(states []T) []Send[T] {
	if tree, ok := r.layout.rootOf(); ok {
		return []Send[T]{{Distribution, r.layout.Children(tree), Message[T]{States: states, Tree: tree + 1}}}
	}
	if !r.layout.own.passesOn {
		return []Send[T]{{Distribution, r.layout.Peers(), Message[T]{States: states}}}
	}
	// The sender sees other trees than this gateway, whose children lack the states too:
	// what comes down the tree now is no longer new here, and not passed on.
	sends := r.passDown(states)
	for _, s := range states {
		t := r.layout.own.treeOf(r.id(s).VM)
		sends = append(sends, Send[T]{Distribution, r.layout.own.roots[t : t+1], Message[T]{States: []T{s}, Tree: t + 1}})
	}
	return sends
}

// passDown passes states that have not come down their trees on to the children of this
// gateway in these trees.
func (r *Relay[T]) passDown(states []T) []Send[T] {
	byTree := make([][]T, len(r.layout.trees))
	for _, s := range states {
		origin := r.id(s).VM
		if len(byTree) > 0 && r.layout.zoneOf[origin] != r.layout.own {
			t := r.layout.own.treeOf(origin)
			byTree[t] = append(byTree[t], s)
		}
	}
	var sends []Send[T]
	for t, states := range byTree {
		if children := r.layout.Children(t); len(states) > 0 && len(children) > 0 {
			sends = append(sends, Send[T]{Distribution, children, Message[T]{States: states, Tree: t + 1}})
		}
	}
	return sends
}

// sponsor passes states on to the roots of other zones.
func (r *Relay[T]) sponsor(q *Queue[T], accept func(*zone) bool) []Send[T] {
	var order []fgsteer.MemberSpec
	states := map[string][]T{}
	for _, batch := range q.Take(maxBatchBytes) {
		for _, s := range batch {
			passOn, old := r.layout.entries(r.id(s).VM, accept)
			for _, m := range append(passOn, old...) {
				if states[m.VM] == nil {
					order = append(order, m)
				}
				states[m.VM] = append(states[m.VM], s)
			}
		}
	}
	var sends []Send[T]
	for _, m := range order {
		for _, batch := range r.batches(states[m.VM]) {
			sends = append(sends, Send[T]{Sponsored, []fgsteer.MemberSpec{m}, Message[T]{States: batch}})
		}
	}
	return sends
}

// batches divides states into datagrams.
func (r *Relay[T]) batches(states []T) [][]T {
	var q Queue[T]
	for _, s := range states {
		q.Add(s, r.size(s))
	}
	return q.Take(maxBatchBytes)
}

// digests tells a gateway of the own zone for each tree which states from other zones this
// one holds, and those that fetch them for another zone which states it passes on as a
// root. So states that a dead gateway should have passed on still arrive.
func (r *Relay[T]) digests() []Send[T] {
	var order []fgsteer.MemberSpec
	held := map[string][]Held{}
	add := func(m fgsteer.MemberSpec, ok bool, h Held) {
		if !ok || m.VM == r.self {
			return
		}
		if held[m.VM] == nil {
			order = append(order, m)
		}
		held[m.VM] = append(held[m.VM], h)
	}
	own, sibling := r.layout.own, r.layout.sibling()
	round := r.round / int(digestInterval/Interval)
	r.recent.digest(digestDelay, func(origin string, h Held) {
		z := r.layout.zoneOf[origin]
		if z != own {
			m, ok := r.layout.mate(origin, round)
			add(m, ok, h)
		}
		if round%2 == 0 && z != nil && z != sibling && r.layout.isRootFor(origin) {
			m, ok := sibling.backup(origin)
			add(m, ok, h)
		}
	})
	if round%2 == 1 {
		// A round later, by which the states have been fetched and passed on unless two
		// roots are dead: one here, or both there.
		r.recent.digest(digestDelay+digestInterval, func(origin string, h Held) {
			z := r.layout.zoneOf[origin]
			if m, ok := own.backup(origin); ok && m.VM == r.self && z != nil && z != sibling {
				m, ok := sibling.last(origin)
				add(m, ok, h)
			}
		})
	}
	var sends []Send[T]
	for _, m := range order {
		for all := held[m.VM]; len(all) > 0; {
			n := min(len(all), maxHeld)
			sends = append(sends, Send[T]{Digest, []fgsteer.MemberSpec{m}, Message[T]{Held: all[:n]}})
			all = all[n:]
		}
	}
	return sends
}
