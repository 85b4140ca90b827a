package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/rpc"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/internal/background"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	leaveTime = 500 * time.Millisecond // time for the leave message to spread through the membership
)

// violations counts the violated invariants by rule.
var violations = expvar.NewMap("violations")

// Health is the response to GET /v1/health.
type Health struct {
	ID       string `json:"id"`
	Stopping bool   `json:"stopping"`
	Stale    bool   `json:"stale"`
	Version  int64  `json:"version"`
}

// violation counts and logs a violated invariant.
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

// join creates the parts of the entry, connects it to the other entries and the
// platform, and waits until it has received the configuration.
func (e *Entry) join(ctx context.Context) error {
	e.newConfig()
	e.newClaims()
	e.newShares()
	e.newOrders()
	e.members = e.newMembers()
	e.newOperators()
	e.watchVerdicts()
	l, err := intake.Listen(e.Settings.Peer, e.budget)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server, err := e.rpcServer()
	if err != nil {
		_ = l.Close()
		return err
	}
	e.peerListener = l
	gate := e.newGate(l, "peer")
	gate.Raw, gate.Most = true, intake.PeerConns(e.Settings.Files)
	e.wg.Go(func() { _ = peer.ServePaced(gate, server, nil, e.budget) })
	if e.socket, err = member.ListenUDP(e.Settings.Peer); err != nil {
		return fmt.Errorf("listen for membership: %w", err)
	}
	e.members.Send = e.sendDatagram
	e.socket.Panicked = func(fault *panics.Recovered) { background.Log(e.Log, fault) }
	e.keep(func() { _ = e.socket.Serve(e.receive) })
	e.startRegistration()
	e.task("membership", e.members.Run)
	e.task("configuration", e.holder.Run)
	if err := e.waitConfig(ctx); err != nil {
		return err
	}
	e.task("leases", e.leases.Run)
	e.task("claims", e.owner.Run)
	e.task("shares", e.runShares)
	e.task("reaper", e.runReaper)
	e.task("quarantine", e.runQuarantine)
	for _, r := range e.reconcilers {
		e.task("orders", r.Run)
	}
	return nil
}

func (e *Entry) reaches(addr string) bool { return e.Reaches == nil || e.Reaches(addr) }

func (e *Entry) sendDatagram(addr string, data []byte) error {
	if !e.reaches(addr) {
		return nil // a datagram on a cut link is lost without an error
	}
	return e.socket.Send(addr, data)
}

// callPeer calls an RPC method of another entry.
func (e *Entry) callPeer(ctx context.Context, addr, method string, args, reply any) error {
	if !e.reaches(addr) {
		return fmt.Errorf("call %s of %s: %w", method, addr, peer.ErrLost)
	}
	return e.peers.Call(ctx, addr, method, args, reply)
}

// keep runs a task in the background that has to go on, and begins it again if it panics.
func (e *Entry) keep(task func()) {
	e.wg.Go(func() { background.Keep(e.background, e.Log, task) })
}

// task runs a part of the entry in the background until the entry ends.
func (e *Entry) task(name string, run func(context.Context) error) {
	e.keep(func() {
		if err := run(e.background); err != nil && e.background.Err() == nil {
			e.Log.WithError(err).Error(name + " task failed")
		}
	})
}

// rpcServer returns the net/rpc server for calls from other entries.
func (e *Entry) rpcServer() (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, calls := range map[string]any{
		"Claim": &claimCalls{e}, "Share": &shareCalls{e}, "Config": &configCalls{e}, "Operator": &operatorCalls{e},
	} {
		if err := server.RegisterName(name, calls); err != nil {
			return nil, fmt.Errorf("register calls %s: %w", name, err)
		}
	}
	return server, nil
}

// deregisterAndWait removes the entry's registration, and waits for leaveTime
// while the leave message spreads.
func (e *Entry) deregisterAndWait() {
	ctx, cancel := context.WithTimeout(e.background, leaveTime)
	defer cancel()
	e.deregister(ctx, e.id)
	<-ctx.Done()
}

// untilKilled wraps the platform so that a killed entry, like a crashed one,
// writes nothing more.
func (e *Entry) untilKilled(p platform.Platform) platform.Platform {
	commit := p.Commit
	p.Commit = func(ctx context.Context, ops []platform.Op) error {
		if e.killed.Load() {
			return platform.ErrDown
		}
		return commit(ctx, ops)
	}
	return p
}

// Kill ends the entry at once, without a graceful stop, to simulate a crash in
// failure tests.
func (e *Entry) Kill() {
	e.killed.Store(true)
	if !e.ready.Load() {
		return
	}
	e.Abort()
	_ = e.server.Close()
	_ = e.peerListener.Close()
	e.cancel()
}
