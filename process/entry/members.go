package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	reapPeriod  = time.Second      // period of the search for entries that have ended
	reapTimeout = time.Second      // timeout of the connection attempt to such an entry
	loadBytes   = 2                // size of the load in a payload
	listPeriod  = 10 * time.Second // period of reads of the instance list while acknowledgements are missing
)

type (
	// locateAnswer is the response to GET /v1/entries.
	locateAnswer struct {
		Entries []locate.Entry `json:"entries"`
		Until   time.Time      `json:"until"`
	}

	// candidateList caches the list of entries that can own accounts, shards
	// and duties, for one state of the membership and the configuration.
	candidateList struct {
		members []member.Member
		config  *config.Index
		list    []locate.Entry
	}
)

func (e *Entry) newMembers() *member.Node {
	return &member.Node{
		Self: e.self(), Seeds: e.seeds, Changed: e.membersChanged,
		Payload: e.payload, OnPayload: e.onPayload,
	}
}

// payload returns the data that every datagram between entries carries: the
// load of this entry, and the payload of the configuration holder.
func (e *Entry) payload() []byte {
	load := min(e.inFlight.active()+1, math.MaxUint16)
	return append(binary.BigEndian.AppendUint16(nil, uint16(load)), e.holder.Payload()...)
}

// onPayload handles the payload of a datagram from another entry.
func (e *Entry) onPayload(from string, data []byte) {
	if len(data) < loadBytes {
		return
	}
	e.loads.Store(from, float64(binary.BigEndian.Uint16(data)))
	e.holder.OnPayload(from, data[loadBytes:])
}

// load returns the load that an entry last reported: its requests in flight
// plus one. It returns 0 for an entry that has not reported its load.
func (e *Entry) load(id string) float64 {
	if id == e.id {
		return float64(e.inFlight.active() + 1)
	}
	if n, ok := e.loads.Load(id); ok {
		return n.(float64)
	}
	return 0
}

// self returns the membership record of this entry.
func (e *Entry) self() member.Member {
	set := e.Settings
	return member.Member{ID: e.id, Addr: set.Addr, Probe: set.Peer, RPC: set.Peer, Place: set.Place, Region: set.Region}
}

// seeds returns the entries that may exist: those that are registered and those
// in the platform's instance list. Both sources may be out of date. It fails
// only if neither can be read.
func (e *Entry) seeds(ctx context.Context) ([]member.Member, error) {
	seeds, err := e.registered(ctx)
	list, listErr := e.Platform.Instances(ctx)
	if err != nil && listErr != nil {
		return nil, fmt.Errorf("read instance list: %w", listErr)
	}
	e.updateLeaving(list)
	for _, i := range list {
		if i.Peer != "" && i.Peer != e.Settings.Peer {
			seeds = append(seeds, member.Member{ID: i.ID, Addr: i.Addr, Probe: i.Peer, RPC: i.Peer, Place: i.Place, Region: i.Region})
		}
	}
	return seeds, nil
}

// updateLeaving stores the addresses that the instance list marks as leaving.
// The list lags, so it only supplements what the endpoints themselves report.
func (e *Entry) updateLeaving(list []platform.Instance) {
	leaving := map[string]bool{}
	for _, i := range list {
		if i.Leaving {
			leaving[i.Addr] = true
		}
	}
	old := e.leaving.Swap(&leaving)
	if old == nil && len(leaving) == 0 || old != nil && maps.Equal(*old, leaving) {
		return
	}
	e.reconfigure()
}

// isDraining reports whether an endpoint must get no new work because it is
// drained or leaving.
func (e *Entry) isDraining(endpoint *config.Endpoint) bool {
	leaving := e.leaving.Load()
	return endpoint.Drain || leaving != nil && (*leaving)[endpoint.Addr]
}

// membersChanged handles a change of the live entries.
func (e *Entry) membersChanged(list []member.Member) {
	ids := make([]string, 0, len(list))
	previous := e.lastMembers.Swap(&list)
	for _, m := range list {
		ids = append(ids, m.ID)
		e.addrs.Store(m.ID, m.RPC)
	}
	e.tracker.Observe(ids...)
	if previous != nil {
		for _, m := range *previous {
			if !slices.Contains(ids, m.ID) && e.members.Status(m.ID) == member.Left {
				e.lender.EntryEnded(m.ID)
			}
		}
	}
	e.lender.MembershipChanged(e.now(), func(account string) bool { return locate.Owner(e.candidates(), account).ID == e.id })
	e.reconfigure()
}

// entries returns the live entries with their loads.
func (e *Entry) entries() []locate.Entry {
	list := slices.Clone(e.candidates())
	for i := range list {
		list[i].Load = e.load(list[i].ID)
	}
	return list
}

// candidates returns the live entries without their loads. The list is rebuilt
// only after a change of membership or configuration, because the owner of
// every lease, shard and account is looked up in it. It must not be modified.
func (e *Entry) candidates() []locate.Entry {
	members, x := e.members.Members(), e.config()
	if c := e.candidateCache.Load(); c != nil && c.config == x && sameSnapshot(c.members, members) {
		return c.list
	}
	list := make([]locate.Entry, 0, len(members))
	drained := x.Drained()
	for _, m := range members {
		list = append(list, locate.Entry{
			ID: m.ID, Addr: m.Addr, Place: m.Place, Region: m.Region, Leaving: m.Leaving || drained[m.ID],
		})
	}
	e.candidateCache.Store(&candidateList{members: members, config: x, list: list})
	return list
}

// sameSnapshot reports whether two membership snapshots are the same slice.
func sameSnapshot(a, b []member.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// peerAddr returns the address for RPC calls to a live entry.
func (e *Entry) peerAddr(id string) (string, bool) {
	for _, m := range e.members.Members() {
		if m.ID == id {
			return m.RPC, true
		}
	}
	return "", false
}

// locate handles GET /v1/entries: it lists the entries that a caller should
// use, and until when the list is valid.
func (e *Entry) locate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	entries := e.entries()
	region := e.Settings.Region
	for _, entry := range entries {
		if place := query.Get("place"); place != "" && entry.Place == place {
			region = entry.Region
		}
	}
	account := query.Get("account")
	group := e.group(e.config(), entries, query.Get("service"))
	list, _ := locate.Answer(group, account, query.Get("service"), query.Get("place"), region, e.now())
	if a := e.config().Account(account); a != nil && a.Pin != "" {
		list = pinnedFirst(list, entries, a.Pin)
	}
	e.writeJSON(w, locateAnswer{Entries: list, Until: e.now().Add(e.locateTTL())})
}

// group returns the entries to which callers of a service are sent.
func (e *Entry) group(x *config.Index, entries []locate.Entry, service string) []locate.Entry {
	part := 1.0
	if all := len(x.Document.Endpoints); all > 0 {
		part = float64(len(x.Endpoints(service))) / float64(all)
	}
	return locate.Group(entries, service, part)
}

// pinnedFirst returns list with the entry that an operator pinned the account
// to in first position. It returns list unchanged if that entry is not live or
// is leaving.
func pinnedFirst(list, entries []locate.Entry, pin string) []locate.Entry {
	for _, entry := range entries {
		if entry.ID != pin || entry.Leaving {
			continue
		}
		first := []locate.Entry{entry}
		for _, other := range list {
			if other.ID != pin {
				first = append(first, other)
			}
		}
		return first
	}
	return list
}

// runReaper periodically removes entries that have ended from the set that must
// acknowledge a configuration: entries that left or whose address another entry
// uses now (both have the status member.Left), entries whose address refuses
// connections, and entries that disappeared from the instance list. An entry
// that only does not respond is not removed, because it may still serve
// callers.
func (e *Entry) runReaper(ctx context.Context) error {
	listed := e.now()
	for sleepUntil(ctx, e.now().Add(reapPeriod), e.now()) {
		missing := e.tracker.Pending(e.version())
		for _, id := range missing {
			switch e.members.Status(id) {
			case member.Left:
				e.removeEntry(ctx, id)
			case member.Dead, member.Absent:
				if e.refusesConnections(ctx, id) {
					e.removeEntry(ctx, id)
				}
			}
		}
		if len(missing) > 0 && e.now().After(listed) {
			listed = e.now().Add(listPeriod)
			e.readInstanceList(ctx)
		}
	}
	return nil
}

// removeEntry deletes an entry that has ended from the set of entries that must
// acknowledge, and its registration from the table.
func (e *Entry) removeEntry(ctx context.Context, id string) {
	e.tracker.Remove(id)
	e.deregister(ctx, id)
	e.addrs.Delete(id)
	e.loads.Delete(id)
}

// refusesConnections reports whether the last known address of an entry refuses
// connections.
func (e *Entry) refusesConnections(ctx context.Context, id string) bool {
	addr, ok := e.addrs.Load(id)
	if !ok {
		return false
	}
	d := net.Dialer{Timeout: reapTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr.(string))
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// readInstanceList passes the entries that are still in the instance list to
// the tracker. They are matched by name: the ID of an entry is the name of its
// instance followed by a dash and a random suffix.
func (e *Entry) readInstanceList(ctx context.Context) {
	list, err := e.Platform.Instances(ctx)
	if err != nil {
		return
	}
	e.updateLeaving(list)
	names := map[string]bool{}
	for _, i := range list {
		names[i.ID] = true
	}
	var ids []string
	e.addrs.Range(func(id, _ any) bool {
		if cut := strings.LastIndexByte(id.(string), '-'); cut > 0 && names[id.(string)[:cut]] {
			ids = append(ids, id.(string))
		}
		return true
	})
	e.tracker.OnInstanceList(ids)
}

// MemberStats returns the traffic counters of the membership protocol.
func (e *Entry) MemberStats() member.Stats { return e.members.Stats() }
