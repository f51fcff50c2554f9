package fgentry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

const (
	// exchangeInterval separates the messages to each neighbour.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange, so that a silent connection is
	// replaced.
	exchangeTimeout = 2 * time.Second
)

// peerService answers the calls of other entry processes.
type peerService struct {
	fgwire.DRPCPeerUnimplementedServer

	entry *Entry
}

// Exchange records the caller's state and returns this process's.
func (s *peerService) Exchange(_ context.Context, in *fgwire.NodeState) (*fgwire.NodeState, error) {
	s.entry.hear(in)
	return s.entry.nodeState(), nil
}

func (e *Entry) nodeState() *fgwire.NodeState {
	n := &fgwire.NodeState{
		Incarnation:       e.incarnation.String(),
		Vm:                e.settings.raw.VM,
		ConfigGeneration:  e.config.Generation(),
		MembersGeneration: e.members.Generation(),
	}
	e.reportPlacement(n)
	return e.limits.report(n)
}

func (e *Entry) hear(n *fgwire.NodeState) {
	e.reports.Add(fgmember.NewReport(n.GetIncarnation(), n.GetConfigGeneration()))
	e.hearPlacement(n)
	e.limits.hear(n)
}

// exchangeLoop swaps states with all peers at each interval and at each change
// of the configuration.
func (e *Entry) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.exchangeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.config.Changed():
		case <-e.members.Changed():
		}
	}
}

func (e *Entry) exchangeAll(ctx context.Context) {
	e.hear(e.nodeState())
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, m := range e.members.State().All() {
		if m.Incarnation == e.incarnation.String() {
			continue
		}
		wg.Go(func() { e.exchangeWith(ctx, m) })
	}
}

func (e *Entry) exchangeWith(ctx context.Context, m fgmember.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := fgwire.NewDRPCPeerClient(e.dialer.RPC(ctx, m.PeerAddress))
	answer, err := client.Exchange(ctx, e.nodeState())
	if err != nil {
		e.logger.V(1).Info("exchange failed", "peer", m.VM, "error", err.Error())
		return
	}
	e.hear(answer)
}
