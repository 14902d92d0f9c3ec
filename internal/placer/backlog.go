package placer

import "sardinelock.dev/sardinelock/internal/messenger"

// Backlog returns how many tasks wait for the services of an agent. Starts carry this
// number, so that the agent does not delay results to an entry that waits for credit.
func (p *Placer) Backlog(peer messenger.Peer) int {
	a := p.agents[peer]
	if a == nil {
		return 0
	}
	n := 0
	for _, s := range a.memberships {
		n += s.service.waiting
	}
	return n
}
