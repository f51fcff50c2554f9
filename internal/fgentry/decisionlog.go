package fgentry

// outcomeRan is the logged outcome of a request that got a response.
const outcomeRan = "ran"

// destination is the upstream or the peer to which a request was sent. It is
// empty if the request was refused here.
type destination struct {
	upstream, peer string
}

// logDecision writes one log line for each routing or placement decision of
// this VM. Keys and their digests never appear in it.
func (e *Entry) logDecision(c *call, d destination, outcome, reason string) {
	e.logger.Info("request", "requestId", c.id, "workspace", c.workspace, "vm", e.settings.raw.VM,
		"upstream", d.upstream, "peer", d.peer, "outcome", outcome, "reason", reason)
}
