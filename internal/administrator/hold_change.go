package administrator

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// changeUpstream drains, undrains, ejects or restores an upstream.
func (s *Service) changeUpstream(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	peer := r.PathValue("peer")
	action := Action(r.PathValue("action") + "-upstream")
	var hold placer.Hold
	switch action {
	case ActionDrainUpstream:
		hold = placer.HoldDrained
	case ActionEjectUpstream:
		hold = placer.HoldEjected
	case ActionUndrainUpstream, ActionRestoreUpstream:
	default:
		return nil, noSuchAction()
	}
	return s.change(r, principal, action, peer, func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem) {
		if hold != "" {
			known, problem := s.findUpstream(ctx, peer)
			if problem != nil {
				return nil, problem
			}
			s.deleteStaleHolds(ctx, upstreamHolds, known)
		}
		if problem := s.writeHold(ctx, upstreamHolds+peer, hold, record); problem != nil {
			return nil, problem
		}
		if action == ActionRestoreUpstream {
			s.endEjections(ctx, peer, record)
		}
		return s.notifyHolds(ctx), nil
	})
}

// endEjections ends the automatic ejections of an upstream at all entries. Entries
// that do not answer end their ejections when a probe succeeds.
func (s *Service) endEjections(ctx context.Context, peer string, record *Record) {
	parts, _ := gather[Restored](ctx, s, CallRestore, encode(Restore{Peer: messenger.Peer(peer)}))
	ended := 0
	for _, p := range parts {
		if p.part.Ended {
			ended++
		}
	}
	if ended > 0 {
		record.Detail += "; entries that had ejected it by themselves: " + strconv.Itoa(ended)
	}
}

// changeEntry drains or undrains an entry.
func (s *Service) changeEntry(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	peer := r.PathValue("peer")
	action := Action(r.PathValue("action") + "-entry")
	var hold placer.Hold
	switch action {
	case ActionDrainEntry:
		hold = placer.HoldDrained
	case ActionUndrainEntry:
	default:
		return nil, noSuchAction()
	}
	return s.change(r, principal, action, peer, func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem) {
		if hold != "" {
			known, problem := s.findEntry(ctx, peer)
			if problem != nil {
				return nil, problem
			}
			s.deleteStaleHolds(ctx, entryHolds, known)
		}
		if problem := s.writeHold(ctx, entryHolds+peer, hold, record); problem != nil {
			return nil, problem
		}
		return s.notifyHolds(ctx), nil
	})
}

// findUpstream checks that the upstream exists and returns the names of all upstreams,
// or nil if an entry did not answer, since the list would then be incomplete.
func (s *Service) findUpstream(ctx context.Context, peer string) ([]messenger.Peer, *submitter.Problem) {
	parts, silent := gather[[]Upstream](ctx, s, CallUpstreams, nil)
	var known []messenger.Peer
	for _, p := range parts {
		for _, u := range p.part {
			known = append(known, u.Peer)
		}
	}
	if slices.Contains(known, messenger.Peer(peer)) {
		if len(silent) > 0 {
			known = nil
		}
		return known, nil
	}
	return nil, &submitter.Problem{Status: http.StatusNotFound, Title: "no such upstream", Detail: "no entry that answered is connected to it"}
}

// findEntry checks that the entry exists and returns the names of all entries.
func (s *Service) findEntry(ctx context.Context, peer string) ([]messenger.Peer, *submitter.Problem) {
	var known []messenger.Peer
	for _, p := range s.o.AskAll(ctx, CallEntry, nil) {
		known = append(known, p.Peer)
	}
	if slices.Contains(known, messenger.Peer(peer)) {
		return known, nil
	}
	return nil, &submitter.Problem{Status: http.StatusNotFound, Title: "no such entry"}
}

func noSuchAction() *submitter.Problem {
	return &submitter.Problem{Status: http.StatusNotFound, Title: "no such action"}
}
