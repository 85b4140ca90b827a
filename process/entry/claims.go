package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/request/claim"
)

const (
	peerTimeout = 2 * time.Second // a peer that does not answer in this time is taken as unreachable
)

func (e *Entry) newClaims() {
	e.ledger = &claim.Ledger{Now: e.Now, Violation: func(s string) { e.violation("at most once", s) }}
	e.owner = &claim.Owner{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log,
		Holds: func(duty string, now time.Time) bool {
			_, ok := e.leases.Check(duty, now)
			return ok
		},
		Violation: func(s string) { e.violation("claim", s) },
	}
	e.guard = &claim.Guard{
		Ledger: e.ledger, Instance: e.id, Ask: e.askOutcome, TakeRemote: e.takeClaim, Now: e.Now,
	}
	e.leases = &lease.Keeper{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log,
		Duties: append(claim.Duties(claim.Shards), orderDuties()...),
		Wants:  e.wantsDuty,
		Gained: e.owner.Gained, Lost: e.owner.Lost,
	}
}

// wantsDuty tells whether this entry is the preferred holder of a duty.
func (e *Entry) wantsDuty(duty string) bool {
	return !e.stopping.Load() && locate.Owner(e.candidates(), duty).ID == e.id
}

// askOutcome asks another entry what became of a key.
func (e *Entry) askOutcome(ctx context.Context, instance string, q claim.Query) (claim.Reply, error) {
	var reply claim.Reply
	addr, ok := e.peerAddr(instance)
	if !ok {
		return reply, fmt.Errorf("entry %s: %w", instance, peer.ErrUnreachable)
	}
	err := e.callPeer(ctx, addr, "Claim.Outcome", q, &reply)
	return reply, err
}

// takeClaim asks the owner of a shard for a claim.
func (e *Entry) takeClaim(ctx context.Context, shard int, c claim.Claim) (claim.Grant, error) {
	owner := locate.Owner(e.candidates(), claim.Duty(shard))
	if owner.ID == e.id {
		return e.owner.Take(ctx, c)
	}
	addr, ok := e.peerAddr(owner.ID)
	if !ok {
		return claim.Grant{}, claim.ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var grant claim.Grant
	if err := e.callPeer(ctx, addr, "Claim.Take", c, &grant); err != nil {
		return grant, fmt.Errorf("take claim: %w", err)
	}
	switch {
	case grant.NotOwner:
		return grant, claim.ErrNotOwner
	case grant.Refusal != nil:
		return grant, grant.Refusal
	}
	return grant, nil
}

// claimCalls are the calls of other entries about keys.
type claimCalls struct{ e *Entry }

// Take claims a key of a shard that this entry owns.
func (c *claimCalls) Take(args claim.Claim, reply *claim.Grant) error {
	ctx, cancel := context.WithTimeout(c.e.background, peerTimeout)
	defer cancel()
	*reply = c.e.owner.Answer(ctx, args)
	return nil
}

// Outcome tells what became of a key that this entry may dispatch.
func (c *claimCalls) Outcome(args claim.Query, reply *claim.Reply) error {
	ctx, cancel := context.WithDeadline(c.e.background, args.Deadline)
	defer cancel()
	*reply = c.e.ledger.Answer(ctx, args)
	return nil
}
