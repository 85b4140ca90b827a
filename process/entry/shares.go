package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/process/share"
)

const (
	renewPeriod = 250 * time.Millisecond // period of the renewal of borrowed shares that are due
	sweepPeriod = 2 * time.Second        // period of the removal of unused loans
)

func (e *Entry) newShares() {
	// Lending starts when the shares of an earlier owner must have expired;
	// otherwise the sum of shares could exceed an account's limit.
	e.lender = &share.Owner{
		NotBefore: e.now().Add(share.LongTerm + share.Margin),
		Violation: func(s string) { e.violation("share", s) },
	}
	e.borrower = &share.Borrower{
		Entry: e.id, Live: func() int { return len(e.candidates()) }, Borrow: e.borrow,
		Go:        func(task func()) { e.spawn(task) },
		Violation: func(s string) { e.violation("share", s) },
	}
}

// borrow requests a share of an account's limit from the owner of the account,
// which may be this entry.
func (e *Entry) borrow(ctx context.Context, account string, ask share.Request) (share.Share, error) {
	home := locate.Owner(e.candidates(), account)
	if home.ID == e.id {
		return e.lender.Lend(ask, e.now())
	}
	addr, ok := e.peerAddr(home.ID)
	if !ok {
		return share.Share{}, fmt.Errorf("owner of account %s: %w", account, peer.ErrUnreachable)
	}
	var s share.Share
	err := e.callPeer(ctx, addr, "Share.Borrow", ask, &s)
	return s, err
}

// runShares renews borrowed shares and removes unused loans until ctx ends.
func (e *Entry) runShares(ctx context.Context) error {
	renew, sweep := time.NewTicker(renewPeriod), time.NewTicker(sweepPeriod)
	defer renew.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			e.borrower.Close()
			return nil
		case <-renew.C:
			e.borrower.Renew(e.now())
		case <-sweep.C:
			e.lender.Sweep(e.now())
		}
	}
}

// admit accepts a request that is expected to use the given number of tokens,
// within the limits of its account.
func (e *Entry) admit(c call, tokens int64) (share.Grant, error) {
	return e.borrower.Acquire(c.account.ID, c.caller, share.Limit(c.account.Limit), tokens, c.arrived)
}

func (e *Entry) releaseGrant(g share.Grant) { e.borrower.Release(g, e.now()) }

// estimateTokens returns the number of tokens that a request is expected to
// use, including its prompt.
func (e *Entry) estimateTokens(c call, req CompletionRequest) int64 {
	estimate := e.lengths.Predict(req.Model, c.account.ID, req.Max)
	return int64(engine.EstimateTokens(req.Prompt)) + int64(estimate.Mean(0))
}

// accountWeight returns the weight of an account in the queues.
func (e *Entry) accountWeight(account string) float64 {
	if a := e.config().Account(account); a != nil {
		return float64(1 + a.Rank)
	}
	return 1
}

// shareCalls is the net/rpc service for account limits.
type shareCalls struct{ e *Entry }

// Borrow lends a share of an account that this entry owns.
func (c *shareCalls) Borrow(args share.Request, reply *share.Share) (err error) {
	defer peer.Recover(c.e.Log, &err)
	s, err := c.e.lender.Lend(args, c.e.now())
	*reply = s
	return err
}
