package fgentry

// outcomeRan is the logged outcome of a request that was answered.
const outcomeRan = "ran"

// destination is where a request was sent: an upstream or a peer, or neither
// when it was refused here.
type destination struct {
	upstream, peer string
}

// logDecision writes the one line that each VM logs for a routing or placement
// decision. Keys and their digests never appear in it.
func (e *Entry) logDecision(c *call, d destination, outcome, reason string) {
	e.logger.Info("request", "requestId", c.id, "workspace", c.workspace, "vm", e.settings.raw.VM,
		"upstream", d.upstream, "peer", d.peer, "outcome", outcome, "reason", reason)
}
