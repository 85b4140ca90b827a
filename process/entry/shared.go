package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/process/share"
	"github.com/eelgrassdock/eelgrassdock/request/claim"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	peerTimeout  = 2 * time.Second // a peer that does not answer in this time is taken as unreachable
	renewPeriod  = 250 * time.Millisecond
	sweepPeriod  = 2 * time.Second
	configPeriod = time.Second
	startTimeout = 30 * time.Second // time to read the configuration at the start
	goodbyeTime  = 2 * time.Second  // time to hand over leases at the end
)

var violations = expvar.NewMap("violations")

// Health is the answer to GET /v1/health.
type Health struct {
	ID       string `json:"id"`
	Stopping bool   `json:"stopping"`
	Stale    bool   `json:"stale"`
	Version  int64  `json:"version"`
}

// locateAnswer is the answer to GET /v1/entries.
type locateAnswer struct {
	Entries []locate.Entry `json:"entries"`
	Until   time.Time      `json:"until"`
}

// violation counts and logs a promise that was seen broken.
func (e *Entry) violation(rule, detail string) {
	violations.Add(rule, 1)
	e.Log.WithFields(logrus.Fields{"rule": rule, "entry": e.id}).Error("invariant violated: " + detail)
	if e.Violation != nil {
		e.Violation(rule, detail)
	}
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (e *Entry) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.Log.WithError(err).Debug("answer could not be written")
	}
}

// join connects the entry with the others and the platform.
func (e *Entry) join(ctx context.Context) error {
	if err := e.startMembers(); err != nil {
		return err
	}
	e.startClaims()
	e.startShares()
	l, err := net.Listen("tcp", e.Settings.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server, err := e.rpcServer()
	if err != nil {
		_ = l.Close()
		return err
	}
	e.peerListener = l
	e.wg.Go(func() { _ = peer.Serve(l, server) })
	if err := e.startConfig(ctx); err != nil {
		return err
	}
	run := func(name string, f func(context.Context) error) {
		e.wg.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				e.Log.WithError(err).Error(name + " ended")
			}
		})
	}
	run("membership", e.members.Run)
	run("leases", e.leases.Run)
	run("claims", e.owner.Run)
	run("shares", e.runShares)
	run("configuration", e.runConfig)
	return nil
}

func (e *Entry) startMembers() error {
	set := e.Settings
	e.members = &member.Node{
		Self: member.Member{
			ID: e.id, Addr: set.Addr, Probe: set.Peer, RPC: set.Peer, Place: set.Place, Region: set.Region,
		},
		Seeds:   e.seeds,
		Changed: func(list []member.Member) { e.membersChanged(list) },
	}
	return nil
}

// seeds gives the members that the platform's list of instances names.
func (e *Entry) seeds(ctx context.Context) ([]member.Member, error) {
	list, err := e.Platform.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	var seeds []member.Member
	for _, i := range list {
		if i.Peer != "" && i.Peer != e.Settings.Peer {
			seeds = append(seeds, member.Member{ID: i.ID, Addr: i.Addr, Probe: i.Peer, RPC: i.Peer, Place: i.Place, Region: i.Region})
		}
	}
	return seeds, nil
}

func (e *Entry) membersChanged([]member.Member) {
	e.lender.Moved(e.now(), func(account string) bool { return locate.Home(e.entries(), account).ID == e.id })
	e.reconfigure()
}

// entries lists the live entries as the membership knows them.
func (e *Entry) entries() []locate.Entry {
	members := e.members.Members()
	list := make([]locate.Entry, 0, len(members)+1)
	for _, m := range members {
		list = append(list, locate.Entry{ID: m.ID, Addr: m.Addr, Place: m.Place, Region: m.Region, Leaving: m.Leaving})
	}
	if len(list) == 0 && !e.stopping.Load() {
		list = append(list, locate.Entry{ID: e.id, Addr: e.Settings.Addr, Place: e.Settings.Place, Region: e.Settings.Region})
	}
	return list
}

// peerAddr finds the address for calls to an entry.
func (e *Entry) peerAddr(id string) (string, bool) {
	for _, m := range e.members.Members() {
		if m.ID == id {
			return m.RPC, true
		}
	}
	return "", false
}

// leave takes the entry out of the locate answers.
func (e *Entry) leave() { e.members.Drain() }

func (e *Entry) locate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	region := e.Settings.Region
	if place := query.Get("place"); place != "" {
		for _, entry := range e.entries() {
			if entry.Place == place {
				region = entry.Region
			}
		}
	}
	list, _ := locate.Answer(e.entries(), query.Get("account"), query.Get("service"), query.Get("place"), region, e.now())
	e.writeJSON(w, locateAnswer{Entries: list, Until: e.now().Add(e.keep())})
}

func (e *Entry) startClaims() {
	e.ledger = &claim.Ledger{Now: e.Now, Violation: func(s string) { e.violation("at most once", s) }}
	e.owner = &claim.Owner{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log,
		Violation: func(s string) { e.violation("claim", s) },
	}
	e.guard = &claim.Guard{
		Ledger: e.ledger, Instance: e.id, Ask: e.askOutcome, TakeRemote: e.takeRemote, Now: e.Now,
	}
	e.leases = &lease.Keeper{
		Platform: e.Platform, Holder: e.id, Now: e.Now, Log: e.Log, Duties: claim.Duties(claim.Shards),
		Wants:  func(duty string) bool { return locate.Home(e.entries(), duty).ID == e.id },
		Gained: e.owner.Gained, Lost: e.owner.Lost,
	}
}

// askOutcome asks another entry what became of a key.
func (e *Entry) askOutcome(ctx context.Context, instance string, q claim.Query) (claim.Reply, error) {
	var reply claim.Reply
	addr, ok := e.peerAddr(instance)
	if !ok {
		return reply, fmt.Errorf("entry %s: %w", instance, peer.ErrUnreachable)
	}
	err := e.peers.Call(ctx, addr, "Claim.Outcome", q, &reply)
	return reply, err
}

// takeRemote asks the owner of a shard for a claim.
func (e *Entry) takeRemote(ctx context.Context, shard int, c claim.Claim) (claim.Grant, error) {
	owner := locate.Home(e.entries(), claim.Duty(shard))
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
	if err := e.peers.Call(ctx, addr, "Claim.Take", c, &grant); err != nil {
		return grant, err
	}
	switch {
	case grant.NotOwner:
		return grant, claim.ErrNotOwner
	case grant.Refusal != nil:
		return grant, grant.Refusal
	}
	return grant, nil
}

func (e *Entry) startShares() {
	e.lender = &share.Owner{
		NotBefore: e.now().Add(share.LongTerm + share.Margin),
		Violation: func(s string) { e.violation("share", s) },
	}
	e.borrower = &share.Borrower{
		Entry: e.id, Live: func() int { return len(e.entries()) }, Borrow: e.borrow,
		Go:        func(task func()) { e.wg.Go(task) },
		Violation: func(s string) { e.violation("share", s) },
	}
}

func (e *Entry) borrow(ctx context.Context, account string, ask share.Ask) (share.Share, error) {
	home := locate.Home(e.entries(), account)
	if home.ID == e.id {
		return e.lender.Lend(ask, e.now())
	}
	addr, ok := e.peerAddr(home.ID)
	if !ok {
		return share.Share{}, fmt.Errorf("owner of account %s: %w", account, peer.ErrUnreachable)
	}
	var s share.Share
	err := e.peers.Call(ctx, addr, "Share.Borrow", ask, &s)
	return s, err
}

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

// acquire admits a request within the limits of its account.
func (e *Entry) acquire(c call, tokens int64) (share.Grant, error) {
	limit := c.account.Limit
	return e.borrower.Acquire(c.account.ID, c.caller, share.Limit(limit), tokens, c.arrived)
}

func (e *Entry) releaseGrant(g share.Grant) { e.borrower.Release(g, e.now()) }

// estimateTokens gives the tokens that a request is expected to use.
func (e *Entry) estimateTokens(c call, req CompletionRequest) int64 {
	estimate := e.lengths.Predict(req.Model, c.account.ID, req.Max)
	return int64(engine.Tokens(req.Prompt)) + int64(estimate.Mean(0))
}

func (e *Entry) accountWeight(account string) float64 {
	if a := e.config().Account(account); a != nil {
		return float64(1 + a.Rank)
	}
	return 1
}

// rpcServer gives the server of calls between entries.
func (e *Entry) rpcServer() (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, service := range map[string]any{
		"Claim": &claimCalls{e}, "Share": &shareCalls{e}, "Config": &configCalls{e}, "Operator": &operatorCalls{e},
	} {
		if err := server.RegisterName(name, service); err != nil {
			return nil, fmt.Errorf("register calls %s: %w", name, err)
		}
	}
	return server, nil
}

type (
	claimCalls struct{ e *Entry }
	shareCalls struct{ e *Entry }
)

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

// Borrow lends a share of an account that this entry owns.
func (c *shareCalls) Borrow(args share.Ask, reply *share.Share) error {
	s, err := c.e.lender.Lend(args, c.e.now())
	*reply = s
	return err
}

// config gives the configuration in force, or nil.
func (e *Entry) config() *config.Index { return e.index.Load() }

func (e *Entry) version() int64 {
	if x := e.config(); x != nil {
		return x.Document.Version
	}
	return 0
}

func (e *Entry) stale() bool { return e.config() == nil }

// Publish stores the first version of the configuration.
func Publish(ctx context.Context, p platform.Platform, doc config.Document) error {
	store := &config.Store{Platform: p}
	_, err := store.Change(ctx, 0, func(d *config.Document) error {
		version := d.Version
		*d = doc
		d.Version = version
		return nil
	}, "publish")
	if err != nil {
		return fmt.Errorf("store configuration: %w", err)
	}
	return nil
}

func (e *Entry) startConfig(ctx context.Context) error {
	e.store = config.Store{Platform: e.Platform, Now: e.Now}
	until := e.now().Add(startTimeout)
	for {
		doc, err := e.store.Load(ctx)
		if err == nil && doc.Version > 0 {
			e.install(doc)
			return nil
		}
		if e.now().After(until) || !sleepUntil(ctx, e.now().Add(configPeriod/4), e.now()) {
			return fmt.Errorf("read configuration: %w", err)
		}
	}
}

func (e *Entry) install(doc config.Document) {
	if x := e.config(); x != nil && x.Document.Version >= doc.Version {
		return
	}
	e.index.Store(config.NewIndex(doc))
	e.reconfigure()
}

// reconfigure tells the desks of new endpoints or entries.
func (e *Entry) reconfigure() {
	x := e.config()
	if x == nil {
		return
	}
	e.desks.Range(func(_, d any) bool {
		d.(*desk).configure(x)
		return true
	})
}

func (e *Entry) runConfig(ctx context.Context) error {
	for sleepUntil(ctx, e.now().Add(configPeriod), e.now()) {
		head, err := e.store.ReadHead(ctx)
		if err != nil || head.Version <= e.version() {
			continue
		}
		if doc, err := e.store.Load(ctx); err == nil {
			e.install(doc)
		}
	}
	return nil
}

type configCalls struct{ e *Entry }

// Version gives the version in force at this entry.
func (c *configCalls) Version(_ int, reply *int64) error {
	*reply = c.e.version()
	return nil
}

func (e *Entry) sortedWatches(service string) []*watch {
	return slices.Clone(e.desk(service).watches())
}

type operatorCalls struct{ e *Entry }

// Ping answers.
func (c *operatorCalls) Ping(_ int, reply *int) error {
	*reply = 1
	return nil
}

func (e *Entry) operatorRoutes(_ *httprouter.Router) {}

// Kill ends the entry at once, as a crash does. It is for failure tests.
func (e *Entry) Kill() {
	e.killed.Store(true)
	e.Abort()
	if e.cancel != nil {
		e.cancel()
	}
	if e.server != nil {
		_ = e.server.Close()
	}
	if e.peerListener != nil {
		_ = e.peerListener.Close()
	}
}
