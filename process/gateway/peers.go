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
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/delta"
	"github.com/eelgrassdock/eelgrassdock/process/logging"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	fetchLimit    = time.Second             // until a peer begins to send its routing table
	feedHead      = 1500 * time.Millisecond // before a table that a peer has is fetched, if the feed works; polls fail after 1.4 s
	feedProgress  = 200 * time.Millisecond  // a feed that received bytes within this time may be receiving the table
	registerPause = 300 * time.Millisecond  // mean pause after a failed registration
	registerLimit = 2 * time.Second
	seedPause     = 200 * time.Millisecond // mean pause before a seed is queried; doubles with each query
	maxSeedPause  = time.Second            // upper bound of seedPause, for a start during an outage of the store
	witnesses     = 2                      // further members that are asked for their routing table before the first one is in force
	witnessLimit  = 300 * time.Millisecond // until they begin to send it
	payloadBytes  = 8
	tableShare    = 0.5 // of the link of an instance that tables for others take at most
)

type (
	// Peers is the net/rpc service for calls of other instances.
	Peers struct{ g *Gateway }

	// Wanted is a request for the routing table in force. With All, the answer also
	// holds what an instance needs if it starts while the store is unreachable.
	Wanted struct {
		All  bool
		Held []uint64 // hashes of the documents that the caller has
	}

	// Stored is the routing table in force at a peer, and on demand the members and
	// endpoints that the peer has.
	Stored struct {
		Version   int64
		Data      []byte        // as in the store; only in answers to Table
		Document  delta.Encoded // the same; only in answers to Current
		Members   []member.Member
		Endpoints []roster.Endpoint // empty if the peer has not read the list of endpoints
		Evacuated []string          // places; earlier builds name none
	}
)

// Current returns the routing table in force.
func (p *Peers) Current(wanted Wanted, reply *Stored) (err error) {
	defer peer.Recover(p.g.Log, &err)
	counters.Add("tables_given", 1)
	if s := p.g.stored.Load(); s != nil {
		e, err := p.g.documents.Encode(s.data, wanted.Held)
		if err != nil {
			return fmt.Errorf("encode routing table: %w", err)
		}
		reply.Version, reply.Document = s.version, e
		counters.Add("table_bytes_given", int64(len(e.Data)))
	}
	reply.Evacuated = p.g.evacuated()
	p.addState(wanted.All, reply)
	return nil
}

// Table is Current for instances of earlier builds, with the table as it is in the
// store.
func (p *Peers) Table(all bool, reply *Stored) (err error) {
	defer peer.Recover(p.g.Log, &err)
	counters.Add("tables_given", 1)
	if s := p.g.stored.Load(); s != nil {
		reply.Version, reply.Data = s.version, s.data
		counters.Add("table_bytes_given", int64(len(s.data)))
	}
	p.addState(all, reply)
	return nil
}

func (p *Peers) addState(all bool, reply *Stored) {
	if !all {
		return
	}
	reply.Members = p.g.members.Members()
	if p.g.Roster.IsReady() {
		reply.Endpoints = p.g.Roster.All()
	}
}

// InstallTable decodes a routing table from the store or a peer, and puts it in
// force if it is newer than the current one. If it cannot be decoded, the
// current table stays in force.
func (g *Gateway) InstallTable(data []byte, version int64, source string) {
	g.installTable(data, version, origin{source: source})
}

func (g *Gateway) installTable(data []byte, version int64, from origin) {
	begun := time.Now()
	t, err := g.Decode(data)
	if err != nil {
		counters.Add("tables_unreadable", 1)
		if others, due := g.tableFaults.Add(from.source, "table", time.Now()); due {
			g.Log.WithFields(logrus.Fields{
				"event": "table_unreadable", "source": from.source, "error": logging.ShortError(err), "others": others,
			}).Error("routing table cannot be decoded; the current one stays in force")
		}
		return
	}
	g.tableFaults.Remove(from.source)
	if !g.Tables.Install(t) {
		return
	}
	now := time.Now()
	g.stored.Store(&storedTable{version: t.Version, data: data})
	g.installed.Store(&now)
	g.coolPending()
	g.Log.WithFields(logrus.Fields{
		"event": "table_installed", "version": t.Version, "row": version, "source": from.source,
		"routes": len(t.Routes), "accounts": len(t.Accounts), "open": t.Open, "bytes": len(data),
		"received": from.bytes, "took": from.took.Milliseconds(), "decoded": now.Sub(begun).Milliseconds(),
	}).Info("routing table installed")
	g.refreshEnginePools()
	if g.members != nil {
		g.members.Nudge()
	}
}

// ConfigurationHandler returns a function for mirror.Table.Changed that puts the
// routing table in the row with this key of a table of the store in force.
func (g *Gateway) ConfigurationHandler(table, key string) func(rows []mirror.Row) {
	g.configuration = table
	return func(rows []mirror.Row) {
		for _, r := range rows {
			if r.Key == key && !r.Gone {
				g.installTable(r.Value, r.Version, g.feeds[table].latestOrigin())
			}
		}
	}
}

// seeds returns the other registered instances. Some of them may be gone. The rows are read
// after this instance has tried to write its own one: of two instances that start together,
// one then finds the other.
func (g *Gateway) seeds(ctx context.Context) ([]member.Member, error) {
	select {
	case <-g.registerTried:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the registration of this instance: %w", ctx.Err())
	}
	rows, err := g.registered(ctx)
	if err != nil {
		return nil, err
	}
	var list []member.Member
	near := int64(0)
	for _, r := range rows {
		if r.Region == g.Settings.Region {
			near++
		}
		if r.ID != g.id {
			list = append(list, r.Member)
		}
	}
	g.nearRows.Store(near + 1)
	return list, nil
}

// payload returns the version of the routing table in force, plus 1, and the latest row of
// each table, as the data that membership messages carry.
func (g *Gateway) payload() []byte {
	return g.appendProgress(binary.BigEndian.AppendUint64(nil, uint64(g.Tables.Version()+1)))
}

// onPayload fetches the routing table of a peer whose version is newer, unless the feed
// brings it: a table on two ways at once would take the links twice.
func (g *Gateway) onPayload(from string, data []byte) {
	if len(data) < payloadBytes {
		counters.Add("payloads_malformed", 1)
		return
	}
	g.onProgress(from, data[payloadBytes:])
	version := int64(binary.BigEndian.Uint64(data)) - 1
	if version <= g.Tables.Version() || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	g.spawn(func() {
		defer g.fetching.Store(false)
		if !g.awaitFeed(version) {
			return
		}
		for _, m := range g.listMembers() {
			if m.ID == from {
				g.fetch(m.RPC, false)
			}
		}
	})
}

// awaitFeed waits for a version of the routing table while the feeds work, for feedHead
// and as long as bytes arrive. It reports whether the version is still missing.
func (g *Gateway) awaitFeed(version int64) bool {
	head := time.Now().Add(feedHead/2 + jitter(feedHead))
	for g.Tables.Version() < version {
		switch {
		case g.anyFeed((*feed).unanswered):
			return true
		case time.Now().Before(head), g.feeds[g.configuration].receiving(feedProgress):
		default:
			return true
		}
		if !sleep.For(g.base, feedProgress/2) {
			return false
		}
	}
	return false
}

// current requests the routing table of a peer, in the way of earlier builds if the peer
// is one.
func (g *Gateway) current(addr string, all bool, limit time.Duration) (s Stored, received int64, _ error) {
	wanted := Wanted{All: all, Held: g.documents.Sums()}
	received, err := g.peers.Fetch(g.base, addr, "Peers.Current", wanted, &s, limit, peerStall)
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		received, err = g.peers.Fetch(g.base, addr, "Peers.Table", all, &s, limit, peerStall)
	}
	counters.Add("table_bytes_taken", received)
	if err != nil || s.Document.Sum == 0 {
		return s, received, err
	}
	s.Data, err = g.documents.Decode(s.Document)
	if err != nil {
		g.documents.Drop()
	}
	return s, received, err
}

// fetch reads the routing table of a peer, and with all also its members and
// endpoints.
func (g *Gateway) fetch(addr string, all bool) {
	begun := time.Now()
	s, received, err := g.current(addr, all, fetchLimit)
	took := time.Since(begun)
	if err != nil {
		g.Log.WithError(err).WithFields(logrus.Fields{
			"event": "peer_unanswered", "peer": addr, "took": took.Milliseconds(), "bytes": received,
		}).Warn("routing table could not be fetched from a peer")
		return
	}
	from := origin{source: "peer " + addr, took: took, bytes: received}
	// An instance serves once it has a routing table and endpoints. It must not do so
	// before it knows of evacuations.
	g.borrowEvacuated(s.Evacuated, from.source)
	if len(s.Data) > 0 && g.Tables.Current() == nil {
		g.takeNewest(addr, &s, &from)
	}
	if len(s.Data) > 0 {
		g.installTable(s.Data, s.Version, from)
	}
	if len(s.Endpoints) > 0 && !g.Roster.IsReady() {
		// The peer may run an earlier version that checked them less.
		s.Endpoints = slices.DeleteFunc(s.Endpoints, func(e roster.Endpoint) bool { return e.Check() != nil })
		g.Roster.Borrow(s.Endpoints)
		g.Log.WithFields(logrus.Fields{"event": "endpoints_borrowed", "peer": addr, "endpoints": len(s.Endpoints)}).
			Info("using the endpoints of a peer until their list can be read from the store")
	}
	if all {
		g.members.SetSeeds(s.Members)
	}
}

// takeNewest replaces the first routing table of this instance, from a seed, by that of
// another member if this is newer. A seed that is behind would bring back what was in
// force before, such as a key that has been withdrawn. The evacuated places of all that
// answer count.
func (g *Gateway) takeNewest(seed string, s *Stored, from *origin) {
	list := slices.DeleteFunc(slices.Clone(s.Members), func(m member.Member) bool { return m.ID == g.id || m.RPC == seed || m.Leaving })
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	type answer struct {
		Stored
		origin
	}
	list = list[:min(len(list), witnesses)]
	answers := make(chan answer, len(list))
	for _, m := range list {
		g.spawn(func() {
			begun := time.Now()
			other, received, err := g.current(m.RPC, false, witnessLimit)
			if err != nil {
				other = Stored{}
			}
			answers <- answer{other, origin{source: "peer " + m.RPC, took: time.Since(begun), bytes: received}}
		})
	}
	limit := time.NewTimer(witnessLimit)
	defer limit.Stop()
	for range list {
		select {
		case a := <-answers:
			g.borrowEvacuated(a.Evacuated, a.source)
			if len(a.Data) > 0 && a.Version > s.Version {
				s.Version, s.Data, *from = a.Version, a.Data, a.origin
			}
		case <-limit.C:
			return
		}
	}
}

// register writes the row of this instance to the store, and retries until that
// succeeds or the instance stops.
func (g *Gateway) register() {
	tried := func() { g.registerOnce.Do(func() { close(g.registerTried) }) }
	defer tried()
	row, err := json.Marshal(g.self())
	if err != nil {
		g.Log.WithError(err).Error("row of this instance cannot be encoded")
		return
	}
	for !g.Stopping() {
		ctx, cancel := context.WithTimeout(g.base, registerLimit)
		err := g.Register(ctx, g.Settings.Name, row, false)
		cancel()
		tried()
		if err == nil {
			return
		}
		g.Log.WithError(err).WithField("event", "register_failed").Warn("row of this instance could not be written to the store")
		if !sleep.For(g.base, registerPause/2+jitter(registerPause)) {
			return
		}
	}
}

// fetchFromSeeds fetches the members from a seed once, and the routing table
// and the endpoints from seeds while the store is unreachable. It sends no
// further requests while the store answers: a fleet that waits for its first
// configuration would only keep the seeds busy.
func (g *Gateway) fetchFromSeeds() {
	pause := seedPause
	for first := true; sleep.For(g.base, pause/2+jitter(pause)); first = false {
		unanswered := g.anyFeed((*feed).unanswered)
		if !first && !unanswered {
			if g.initialized() {
				return
			}
			continue
		}
		seeds := slices.DeleteFunc(slices.Clone(g.currentSettings().Seeds), func(addr string) bool { return addr == g.Settings.Peer })
		if len(seeds) == 0 || !first && g.initialized() {
			return
		}
		addr := seeds[rand.IntN(len(seeds))]
		g.spawn(func() { g.fetch(addr, true) })
		pause = min(pause*2, maxSeedPause)
	}
}

// initialized reports whether this instance has a routing table and the
// endpoints.
func (g *Gateway) initialized() bool { return g.Tables.Current() != nil && g.Roster.IsReady() }

func (g *Gateway) self() member.Member {
	s := &g.Settings
	return member.Member{ID: g.id, Addr: s.Callers, Probe: s.Probe, RPC: s.Peer, Place: s.Place, Region: s.Region}
}

func (g *Gateway) listenPeers() (net.Listener, error) {
	l, err := intake.Listen(g.Settings.Peer, g.Budget)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return l, g.servePeers(l)
}

// servePeers answers calls of other instances until the listener is closed.
func (g *Gateway) servePeers(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.Register(&Peers{g: g}); err != nil {
		return errors.CombineErrors(fmt.Errorf("register peer calls: %w", err), l.Close())
	}
	link := max(g.Settings.Link, slowestLink)
	pace := rate.NewLimiter(rate.Limit(link*bytesPerMegabit*tableShare), peer.PaceBytes)
	gate := &intake.Gate{
		Listener: l, Name: "peer", Budget: g.Budget, Log: g.Log, Raw: true, Most: intake.PeerConns(g.Settings.Files),
		Limits: func() intake.Limits { return intake.Limits{} },
	}
	g.spawn(func() { _ = peer.ServePaced(gate, server, pace, g.Budget) })
	return nil
}

// instanceCount returns the number of live instances, including this one.
func (g *Gateway) instanceCount() int {
	if g.listMembers == nil {
		return 1
	}
	return max(len(g.listMembers()), 1)
}

// Locate returns the addresses that callers in a place should use: those of
// instances in the place, else in its region, else all. It leaves out instances
// that are stopping or seem to be gone, unless no others are left.
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
