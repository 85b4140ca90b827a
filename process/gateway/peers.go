package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	fetchLimit    = time.Second            // for reading the routing table of a peer
	registerPause = 300 * time.Millisecond // after a failed registration
	registerLimit = 2 * time.Second
	seedPause     = 200 * time.Millisecond // before a seed is asked for a routing table; doubles with each
	seedMost      = time.Second            // longest of these pauses, for a start into an outage
	payloadBytes  = 8
)

type (
	// Peers answers calls of other instances.
	Peers struct{ g *Gateway }

	// Stored is the routing table in force at a peer, as the store holds it,
	// with the members and endpoints that the peer knows.
	Stored struct {
		Version   int64
		Data      []byte
		Members   []member.Member
		Endpoints []roster.Endpoint // none if the peer has not read their list
	}
)

// Table gives the routing table in force, and on demand what else an instance
// needs that starts while the store is away.
func (p *Peers) Table(all bool, reply *Stored) error {
	counters.Add("tables_given", 1)
	if s := p.g.stored.Load(); s != nil {
		reply.Version, reply.Data = s.version, s.data
	}
	if !all {
		return nil
	}
	reply.Members = p.g.members.Members()
	if p.g.Roster.IsReady() {
		reply.Endpoints = p.g.Roster.All()
	}
	return nil
}

// TakeTable puts a routing table in force that the store or a peer gave.
func (g *Gateway) TakeTable(data []byte, version int64, source string) {
	t, err := g.Decode(data)
	if err != nil {
		counters.Add("tables_unreadable", 1)
		g.Log.WithError(err).WithFields(logrus.Fields{"event": "table_unreadable", "source": source}).
			Error("routing table cannot be read; the earlier one stays in force")
		return
	}
	if !g.Tables.Install(t) {
		return
	}
	g.stored.Store(&storedTable{version: t.Version, data: data})
	g.Log.WithFields(logrus.Fields{
		"event": "table_installed", "version": t.Version, "row": version, "source": source,
		"routes": len(t.Routes), "accounts": len(t.Accounts),
	}).Info("routing table in force")
	g.refreshDesks()
	if g.members != nil {
		g.members.Nudge()
	}
}

// Configuration follows the row that holds the routing table.
func (g *Gateway) Configuration(key string) func(rows []mirror.Row) {
	return func(rows []mirror.Row) {
		for _, r := range rows {
			if r.Key == key && !r.Gone {
				g.TakeTable(r.Value, r.Version, "store")
			}
		}
	}
}

// seeds lists the instances that have registered. Some may be gone.
func (g *Gateway) seeds(ctx context.Context) ([]member.Member, error) {
	rows, err := g.registered(ctx)
	if err != nil {
		return nil, err
	}
	var list []member.Member
	for _, r := range rows {
		if r.ID != g.id {
			list = append(list, r.Member)
		}
	}
	return list, nil
}

// payload tells other instances which routing table is in force here.
func (g *Gateway) payload() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(g.Tables.Version()+1))
}

// onPayload fetches the routing table of a peer that has a newer one.
func (g *Gateway) onPayload(from string, data []byte) {
	if len(data) < payloadBytes {
		counters.Add("payloads_malformed", 1)
		return
	}
	version := int64(binary.BigEndian.Uint64(data)) - 1
	if version <= g.Tables.Version() || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	g.spawn(func() {
		defer g.fetching.Store(false)
		for _, m := range g.members.Members() {
			if m.ID == from {
				g.fetch(m.RPC, false)
			}
		}
	})
}

// fetch reads the routing table of a peer, and with all its members and endpoints.
func (g *Gateway) fetch(addr string, all bool) {
	ctx, cancel := context.WithTimeout(g.base, fetchLimit)
	defer cancel()
	var s Stored
	if err := g.peers.Call(ctx, addr, "Peers.Table", all, &s); err != nil {
		g.Log.WithError(err).WithFields(logrus.Fields{"event": "peer_unanswered", "peer": addr}).
			Warn("peer did not give its routing table")
		return
	}
	if len(s.Data) > 0 {
		g.TakeTable(s.Data, s.Version, "peer "+addr)
	}
	if len(s.Endpoints) > 0 && !g.Roster.IsReady() {
		g.Roster.Borrow(s.Endpoints)
		g.Log.WithFields(logrus.Fields{"event": "endpoints_borrowed", "peer": addr, "endpoints": len(s.Endpoints)}).
			Info("serving with the endpoints that a peer knows until the store gives their list")
	}
	g.members.SetSeeds(s.Members)
}

// register makes this instance known to the store.
func (g *Gateway) register() {
	row, err := json.Marshal(g.self())
	if err != nil {
		g.Log.WithError(err).Error("row of this instance cannot be written")
		return
	}
	for {
		ctx, cancel := context.WithTimeout(g.base, registerLimit)
		err := g.Register(ctx, g.Settings.Name, row, false)
		cancel()
		if err == nil {
			return
		}
		g.Log.WithError(err).WithField("event", "register_failed").Warn("store did not take the row of this instance")
		if !sleep.For(g.base, registerPause/2+jitter(registerPause)) {
			return
		}
	}
}

// askSeeds learns the members from a seed once, and the routing table and the
// endpoints from seeds while the store does not give them. While the store
// answers, there is nothing more to ask for: a fleet that waits for its first
// configuration would only keep the seeds busy.
func (g *Gateway) askSeeds() {
	pause := seedPause
	for first := true; sleep.For(g.base, pause/2+jitter(pause)); first = false {
		away := g.anyFeed((*feed).unanswered)
		if !first && !away {
			if g.informed() {
				return
			}
			continue
		}
		seeds := slices.DeleteFunc(slices.Clone(g.live().Seeds), func(addr string) bool { return addr == g.Settings.Peer })
		if len(seeds) == 0 || !first && g.informed() {
			return
		}
		addr := seeds[rand.IntN(len(seeds))]
		g.spawn(func() { g.fetch(addr, true) })
		pause = min(pause*2, seedMost)
	}
}

// informed tells whether the routing table and the endpoints are known.
func (g *Gateway) informed() bool { return g.Tables.Current() != nil && g.Roster.IsReady() }

func (g *Gateway) self() member.Member {
	s := &g.Settings
	return member.Member{ID: g.id, Addr: s.Callers, Probe: s.Probe, RPC: s.Peer, Place: s.Place, Region: s.Region}
}

func (g *Gateway) listenPeers() (net.Listener, error) {
	l, err := net.Listen("tcp", g.Settings.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	server := rpc.NewServer()
	if err := server.Register(&Peers{g: g}); err != nil {
		return nil, errors.CombineErrors(fmt.Errorf("register peer calls: %w", err), l.Close())
	}
	g.spawn(func() { _ = peer.Serve(l, server) })
	return l, nil
}

// instances gives the number of live instances, this one included.
func (g *Gateway) instances() int {
	if g.members == nil {
		return 1
	}
	return max(len(g.members.Members()), 1)
}

// Locate gives the addresses that callers of a place should use: those of
// their place, else of their region, else all, without those that are stopping
// or seem to be gone.
func (g *Gateway) Locate(region, place string) []string {
	var near, regional, all, rest []string
	for _, m := range g.members.Members() {
		rest = append(rest, m.Addr)
		if m.Leaving || m.ID != g.id && g.members.Status(m.ID) != member.Alive {
			continue
		}
		all = append(all, m.Addr)
		if m.Region == region {
			regional = append(regional, m.Addr)
		}
		if m.Place == place {
			near = append(near, m.Addr)
		}
	}
	for _, list := range [][]string{near, regional, all} {
		if len(list) > 0 {
			return list
		}
	}
	return rest
}
