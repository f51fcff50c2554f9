package fgquota

import (
	"hash/fnv"
	"time"
)

const (
	// A peer that has sent no report for silentTimeout, or for silentIntervals
	// report intervals if that is longer, is out of touch. Report intervals are longer
	// in a large fleet. Until then each side may spend all tokens: with 800 ms, three VMs
	// cut off from each other while demand rose to eight times the rate got 3,147
	// requests in 5 s where 2,660 are allowed.
	silentTimeout   = 450 * time.Millisecond
	silentIntervals = 1.4
	// contactCheckInterval bounds the work of finding silent peers between two ticks.
	contactCheckInterval = 20 * time.Millisecond
	// catchUpTime is how long two VMs must have been out of touch for each to report all
	// uses to the other: their reports of changes were lost.
	catchUpTime = 2500 * time.Millisecond
	// isolationTimeout is how long a VM that lacks the store and is in touch with at
	// most half of the VMs spends its floor. The others reuse the floor of a VM that is
	// no longer registered after peerRetention, which is longer by a margin for the
	// time until a VM notices that it has lost the store and its lease has ended.
	isolationTimeout = 8 * time.Second
	peerRetention    = isolationTimeout + 3*time.Second
	// minorityRetention replaces peerRetention at a VM in touch with at most half of the
	// VMs, since the others may then be the majority, which goes on without the store.
	minorityRetention = time.Minute
	// bitsPerMember sizes the bitmap of Unheard. With 8 bits for each member, one in 24
	// of the VMs in touch counts as unheard by mistake if a third is unheard.
	bitsPerMember = 8
	// maxBitmapBytes keeps the bitmap of a fleet of thousands within a datagram. With
	// fewer bits than minBitmapBytes has, small fleets would often share them.
	minBitmapBytes, maxBitmapBytes = 32, 512
)

// Unheard is the set of registered VMs that a VM has not heard lately. The zero value
// is empty. A few are listed by their hashes. More are set in a bitmap, in which
// others may share their bits: those wrongly count as unheard.
type Unheard struct {
	Hashes []uint32
	Bitmap []byte
}

// contains reports whether the set may contain a VM.
func (u Unheard) contains(hash uint32) bool {
	for _, h := range u.Hashes {
		if h == hash {
			return true
		}
	}
	if len(u.Bitmap) == 0 {
		return false
	}
	bit := hash % uint32(8*len(u.Bitmap))
	return u.Bitmap[bit/8]&(1<<(bit%8)) != 0
}

// newUnheard returns the set of the VMs with these hashes, of a fleet of a size.
func newUnheard(hashes []uint32, members int) Unheard {
	size := max(minBitmapBytes, min(maxBitmapBytes, (members*bitsPerMember+7)/8))
	if 4*len(hashes) <= size {
		return Unheard{Hashes: hashes}
	}
	u := Unheard{Bitmap: make([]byte, size)}
	for _, h := range hashes {
		bit := h % uint32(8*size)
		u.Bitmap[bit/8] |= 1 << (bit % 8)
	}
	return u
}

// hashName returns the hash that identifies a VM or a workspace in reports.
func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// peer is the state that another VM reported.
type peer struct {
	incarnation uint64
	sequence    uint64
	lastReport  time.Time
	// lastMutual is when the last report arrived that acknowledges this VM's. deaf means
	// that the latest one does not.
	lastMutual time.Time
	deaf       bool
	// inTouch means that the VMs hear each other, and inTouchSince and apartSince are
	// when that last began and ended. losses counts its ends.
	inTouch                  bool
	inTouchSince, apartSince time.Time
	losses                   int
	members                  int
	unregistered             time.Time
	uses                     map[uint32]*peerUse
}

func (p *peer) use(workspace uint32) *peerUse {
	u := p.uses[workspace]
	if u == nil {
		u = &peerUse{}
		p.uses[workspace] = u
	}
	return u
}

// meet records that the peer is in touch. It reports whether the peer has missed
// reports for so long that it needs all uses, to tell old ones from new.
func (p *peer) meet(now time.Time) bool {
	if p.inTouch {
		return false
	}
	p.inTouch, p.inTouchSince = true, now
	return now.Sub(p.apartSince) > catchUpTime
}

// contact is what this VM knows of its contact with the others at the last tick.
type contact struct {
	// vms is the number of VMs that may spend, inTouch how many of them are in touch
	// with this one, which is counted.
	vms, inTouch int
	// apart are the known peers that are not in touch.
	apart []*peer
	// anchored is when this VM last had the store or was in touch with most VMs.
	anchored time.Time
	isolated bool
	// nextCheck is when the next peer may become silent.
	nextCheck time.Time
}

// SetSelf sets the name by which the others acknowledge this VM's reports. Without
// it, all reports that are heard count as acknowledged.
func (l *Limiter) SetSelf(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = vm
}

// SetMembers sets the registered VMs.
func (l *Limiter) SetMembers(vms []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = make(map[string]bool, len(vms))
	for _, vm := range vms {
		l.members[vm] = true
	}
	for vm, p := range l.peers {
		switch {
		case l.members[vm]:
			p.unregistered = time.Time{}
		case p.unregistered.IsZero():
			p.unregistered = time.Now()
		}
	}
	l.countVMs()
}

// countVMs counts the registered VMs and those that were until lately. Peers in touch
// may know of more.
func (l *Limiter) countVMs() {
	l.contact.vms = l.known()
	for _, p := range l.peers {
		if p.inTouch {
			l.contact.vms = max(l.contact.vms, p.members)
		}
	}
}

func (l *Limiter) known() int {
	n := max(1, len(l.members))
	for vm := range l.peers {
		if !l.members[vm] {
			n++
		}
	}
	return n
}

// Known returns how many VMs this one counts among those that may spend.
func (l *Limiter) Known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known()
}

// ObserveStore records how long ago the store is known to have responded to any VM in
// touch. It must be called before Tick.
func (l *Limiter) ObserveStore(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seen := time.Now().Add(-age); seen.After(l.contact.anchored) {
		l.contact.anchored = seen
	}
}

// updateContact determines which peers are in touch, and drops those that were
// deregistered long ago.
func (l *Limiter) updateContact(now time.Time, elapsed time.Duration) {
	timeout := silenceTimeout(elapsed)
	c := &l.contact
	c.inTouch, c.apart = 1, c.apart[:0]
	for _, p := range l.peers {
		switch {
		case !p.deaf && now.Sub(p.lastReport) < timeout:
			c.inTouch++
			l.reportAll = p.meet(now) || l.reportAll
			continue
		case p.inTouch:
			p.inTouch, p.apartSince = false, now
			p.losses++
		}
		c.apart = append(c.apart, p)
	}
	l.countVMs()
	retention := minorityRetention
	if 2*c.inTouch > c.vms {
		c.anchored, retention = now, peerRetention
	}
	c.isolated = now.Sub(c.anchored) > isolationTimeout
	l.scheduleCheck(now)
	for vm, p := range l.peers {
		if !p.inTouch && !p.unregistered.IsZero() && now.Sub(p.unregistered) > retention && now.Sub(p.lastReport) > retention {
			delete(l.peers, vm)
		}
	}
}

// scheduleCheck sets when the next peer may become silent.
func (l *Limiter) scheduleCheck(now time.Time) {
	next := now.Add(time.Minute)
	for _, p := range l.peers {
		if silent := p.lastReport.Add(silenceTimeout(l.interval)); p.inTouch && silent.Before(next) {
			next = silent
		}
	}
	if earliest := now.Add(contactCheckInterval); next.Before(earliest) {
		next = earliest
	}
	l.contact.nextCheck = next
}

// checkContact divides the buckets as soon as a peer becomes silent, instead of at the
// next tick. Peers that have reported since only postpone the check.
func (l *Limiter) checkContact(now time.Time) {
	if now.Before(l.contact.nextCheck) {
		return
	}
	inTouch, timeout := 1, silenceTimeout(l.interval)
	for _, p := range l.peers {
		if !p.deaf && now.Sub(p.lastReport) < timeout {
			inTouch++
		}
	}
	if inTouch >= l.contact.inTouch {
		l.scheduleCheck(now)
		return
	}
	l.updateContact(now, l.interval)
	for _, b := range l.buckets {
		b.refill(now)
		l.divide(b, now)
		b.allowance = min(b.allowance, max(b.tokens, 0))
	}
}

func silenceTimeout(interval time.Duration) time.Duration {
	return max(silentTimeout, time.Duration(silentIntervals*float64(interval)))
}

// Unheard returns the registered VMs that this one has not heard lately, for the next
// report.
func (l *Limiter) Unheard() Unheard {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, timeout := time.Now(), silenceTimeout(l.interval)
	var hashes []uint32
	for vm := range l.members {
		if p := l.peers[vm]; vm != l.self && (p == nil || now.Sub(p.lastReport) >= timeout) {
			hashes = append(hashes, hashName(vm))
		}
	}
	return newUnheard(hashes, len(l.members))
}
