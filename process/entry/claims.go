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
	peerTimeout = 2 * time.Second // a peer that does not respond in this time is treated as unreachable
)

// newClaims creates the parts that execute calls at most once: the ledger of
// this entry's keys, the owner of claim shards, the guard and the leases.
func (e *Entry) newClaims() {
	e.ledger = &claim.Ledger{Now: e.Now, Violation: func(s string) { e.violation("at most once", s) }}
	e.owner = &claim.Owner{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log,
		Holds: func(duty string, now time.Time) bool {
			_, ok := e.leases.Held(duty, now)
			return ok
		},
		Violation: func(s string) { e.violation("claim", s) },
	}
	e.guard = &claim.Guard{
		Ledger: e.ledger, Instance: e.id, QueryRemote: e.queryOutcome, TakeRemote: e.takeClaim, Now: e.Now,
	}
	e.leases = &lease.Keeper{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log,
		Duties: append(claim.Duties(claim.Shards), orderDuties()...),
		Wants:  e.wantsDuty,
		Gained: e.owner.Gained, Lost: e.owner.Lost,
	}
}

// wantsDuty reports whether this entry is the preferred holder of a duty. A
// stopping entry wants none.
func (e *Entry) wantsDuty(duty string) bool {
	return !e.stopping.Load() && locate.Owner(e.candidates(), duty).ID == e.id
}

// queryOutcome queries the outcome of a bound key from the entry that it names.
func (e *Entry) queryOutcome(ctx context.Context, instance string, q claim.Query) (claim.Reply, error) {
	var reply claim.Reply
	addr, ok := e.peerAddr(instance)
	if !ok {
		return reply, fmt.Errorf("entry %s: %w", instance, peer.ErrUnreachable)
	}
	err := e.callPeer(ctx, addr, "Claim.Outcome", q, &reply)
	return reply, err
}

// takeClaim requests a claim from the owner of the shard, which may be this
// entry. It returns claim.ErrNotOwner if the owner is not known or denies it.
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

// claimCalls is the net/rpc service for the keys of plain calls.
type claimCalls struct{ e *Entry }

// Take claims a key in a shard that this entry owns.
func (c *claimCalls) Take(args claim.Claim, reply *claim.Grant) (err error) {
	defer peer.Recover(c.e.Log, &err)
	ctx, cancel := context.WithTimeout(c.e.background, peerTimeout)
	defer cancel()
	*reply = c.e.owner.Answer(ctx, args)
	return nil
}

// Outcome returns the outcome of a key that this entry may dispatch.
func (c *claimCalls) Outcome(args claim.Query, reply *claim.Reply) (err error) {
	defer peer.Recover(c.e.Log, &err)
	ctx, cancel := context.WithDeadline(c.e.background, args.Deadline)
	defer cancel()
	*reply = c.e.ledger.Answer(ctx, args)
	return nil
}
