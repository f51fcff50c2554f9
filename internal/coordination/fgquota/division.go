package fgquota

import "time"

// VMs that are not in touch with each other divide each bucket. Each side spends the
// fraction of its members: a floor of 1/n of rate and burst for each of the n VMs that
// may spend. The floors sum to 1, whoever is in touch with whom, and no side depends on
// the clock of another.

// peerUse is a peer's use of one workspace's rate.
type peerUse struct {
	// reported means that the peer has reported a use.
	reported bool
	admitted int64
	demand   float64
	// While the peer is apart, and until its first report after that, held is what was
	// left to it and has not been reported as spent, and fraction its part of the bucket.
	// loss is the value of peer.losses for which held is kept.
	loss     int
	held     float64
	fraction float64
}

// isApart reports whether what is left to the peer is held apart from the tokens.
func (u *peerUse) isApart() bool { return u.fraction > 0 }

// sample is the state of a bucket at an earlier tick.
type sample struct {
	at                      time.Time
	tokens, fraction, spent float64
}

// history is the number of samples kept: more than a silenceTimeout needs.
const history = 8

// divide sets the fraction of the bucket that the VMs in touch may spend.
func (l *Limiter) divide(b *bucket, now time.Time) {
	elapsed := now.Sub(b.divided)
	b.divided = now
	floor := 1 / float64(l.contact.vms)
	fraction := float64(l.contact.inTouch) * floor
	var lost time.Time
	for _, p := range l.contact.apart {
		u := p.use(b.hash)
		u.fraction = floor
		if u.loss == p.losses {
			u.held += floor * b.rate * elapsed.Seconds()
			continue
		}
		last := b.sampleAt(p.lastMutual)
		u.loss, u.held = p.losses, floor*(last.whole()+b.rate*now.Sub(last.at).Seconds())
		if lost.IsZero() || p.lastMutual.Before(lost) {
			lost = p.lastMutual
		}
	}
	if l.contact.isolated {
		fraction = 0
	}
	fraction = min(fraction, 1)
	if !lost.IsZero() {
		b.split(b.sampleAt(lost), fraction, now)
	}
	b.fraction = fraction
	b.tokens = min(b.tokens, b.capacity())
}

// whole returns the tokens of all VMs at the time of the sample.
func (s sample) whole() float64 {
	if s.tokens <= 0 || s.fraction == 0 {
		return 0
	}
	return s.tokens / s.fraction
}

// sampleAt returns the latest sample before a time, or the oldest one.
func (b *bucket) sampleAt(at time.Time) sample {
	if len(b.samples) == 0 {
		return sample{at: b.refilled, tokens: b.tokens, fraction: b.fraction, spent: b.spent}
	}
	s := b.samples[0]
	for _, next := range b.samples[1:] {
		if next.at.After(at) {
			break
		}
		s = next
	}
	return s
}

// split reduces the tokens to those that this side would have if it had had only its
// fraction since the last mutual contact.
func (b *bucket) split(since sample, fraction float64, now time.Time) {
	tokens := fraction*since.whole() + min(since.tokens, 0)
	tokens = min(tokens+fraction*b.rate*now.Sub(since.at).Seconds(), fraction*b.burst) - (b.spent - since.spent)
	b.tokens = min(b.tokens, tokens)
}

// capacity returns the most tokens that the VMs in touch may have: their part of the
// burst. They may have at least one, with which they serve small workspaces.
func (b *bucket) capacity() float64 {
	if b.fraction == 0 {
		return 0
	}
	return max(b.fraction*b.burst, min(1, b.burst))
}

func (b *bucket) remember(now time.Time) {
	if len(b.samples) == history {
		copy(b.samples, b.samples[1:])
		b.samples = b.samples[:history-1]
	}
	b.samples = append(b.samples, sample{at: now, tokens: b.tokens, fraction: b.fraction, spent: b.spent})
}

// settleTime is how long after a peer is back in touch its first report of a use may
// arrive: within two report intervals. Later, the tokens may have been refilled
// without what was held.
const settleTime = 1500 * time.Millisecond

// backlogTime is how long after a pause a VM still reads reports that waited for it.
const backlogTime = 100 * time.Millisecond

// spend subtracts the tokens that a peer has spent since its last report. Tokens that
// were held for the peer are spent first. What is left of them returns to the bucket
// once the peer is in touch, but only as far as the peer may still have them: it may
// have spent them at any time, and its own bucket overflowed at its part of the burst.
func (b *bucket) spend(p *peer, u *peerUse, spent float64, now time.Time) {
	if p.inTouch && now.Sub(p.inTouchSince) > settleTime {
		u.held, u.fraction = 0, 0
	}
	if resumed := now.Sub(b.resumed); resumed < backlogTime || u.isApart() && resumed < settleTime {
		// Most of this was spent while this VM was paused and had no refill. It has
		// begun again without tokens, so that nothing is subtracted or returned.
		if u.held = 0; p.inTouch {
			b.fraction = min(b.fraction+u.fraction, 1)
			u.fraction = 0
		}
		return
	}
	if !u.isApart() {
		b.tokens = min(b.tokens-spent, b.capacity())
		b.spent += spent
		return
	}
	if spent > u.held {
		b.tokens -= spent - u.held
		u.held = 0
	} else {
		u.held = max(0, min(u.held, u.fraction*b.burst)-spent)
	}
	if p.inTouch {
		b.fraction = min(b.fraction+u.fraction, 1)
		b.tokens = min(b.tokens+u.held, b.capacity())
		u.held, u.fraction = 0, 0
	}
}
