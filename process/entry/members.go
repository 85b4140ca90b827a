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
	reapPeriod  = time.Second      // period of the search for entries that are gone
	reapTimeout = time.Second      // time for the address of such an entry to refuse a connection
	loadBytes   = 2                // size of the load in a payload
	listPeriod  = 10 * time.Second // period of reads of the instance list while an entry is missing
)

type (
	// locateAnswer is the answer to GET /v1/entries.
	locateAnswer struct {
		Entries []locate.Entry `json:"entries"`
		Until   time.Time      `json:"until"`
	}

	// candidates lists the entries that may own something, as of one state of
	// membership and configuration.
	candidates struct {
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

// payload rides on every datagram between entries: the load of this entry, and
// what it knows of the configuration.
func (e *Entry) payload() []byte {
	load := min(e.streams.active()+1, math.MaxUint16)
	return append(binary.BigEndian.AppendUint16(nil, uint16(load)), e.holder.Payload()...)
}

func (e *Entry) onPayload(from string, data []byte) {
	if len(data) < loadBytes {
		return
	}
	e.loads.Store(from, float64(binary.BigEndian.Uint16(data)))
	e.holder.OnPayload(from, data[loadBytes:])
}

// load gives the requests in flight on an entry, as far as it told.
func (e *Entry) load(id string) float64 {
	if id == e.id {
		return float64(e.streams.active() + 1)
	}
	if n, ok := e.loads.Load(id); ok {
		return n.(float64)
	}
	return 0
}

// self describes this entry to others.
func (e *Entry) self() member.Member {
	set := e.Settings
	return member.Member{ID: e.id, Addr: set.Addr, Probe: set.Peer, RPC: set.Peer, Place: set.Place, Region: set.Region}
}

// seeds lists entries that may exist: those that are registered, and those that
// the platform's list of instances names. Either may be out of date.
func (e *Entry) seeds(ctx context.Context) ([]member.Member, error) {
	seeds, err := e.registered(ctx)
	list, listErr := e.Platform.Instances(ctx)
	if err != nil && listErr != nil {
		return nil, fmt.Errorf("read instance list: %w", listErr)
	}
	e.noteLeaving(list)
	for _, i := range list {
		if i.Peer != "" && i.Peer != e.Settings.Peer {
			seeds = append(seeds, member.Member{ID: i.ID, Addr: i.Addr, Probe: i.Peer, RPC: i.Peer, Place: i.Place, Region: i.Region})
		}
	}
	return seeds, nil
}

// noteLeaving remembers which addresses the instance list calls leaving. The
// list lags, so it only adds to what endpoints say of themselves.
func (e *Entry) noteLeaving(list []platform.Instance) {
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

// drains tells whether an endpoint is to get no new work.
func (e *Entry) drains(endpoint *config.Endpoint) bool {
	leaving := e.leaving.Load()
	return endpoint.Drain || leaving != nil && (*leaving)[endpoint.Addr]
}

func (e *Entry) membersChanged(list []member.Member) {
	ids := make([]string, 0, len(list))
	gone := e.present.Swap(&list)
	for _, m := range list {
		ids = append(ids, m.ID)
		e.addrs.Store(m.ID, m.RPC)
	}
	e.tracker.Observe(ids...)
	if gone != nil {
		for _, m := range *gone {
			if !slices.Contains(ids, m.ID) && e.members.Status(m.ID) == member.Left {
				e.lender.Gone(m.ID)
			}
		}
	}
	e.lender.Moved(e.now(), func(account string) bool { return locate.Owner(e.candidates(), account).ID == e.id })
	e.reconfigure()
}

// entries lists the live entries as the membership knows them, with their loads.
func (e *Entry) entries() []locate.Entry {
	list := slices.Clone(e.candidates())
	for i := range list {
		list[i].Load = e.load(list[i].ID)
	}
	return list
}

// candidates lists the live entries without their loads. The list is made once
// for each change of membership or configuration, because every lease, shard
// and account looks for its owner in it.
func (e *Entry) candidates() []locate.Entry {
	members, x := e.members.Members(), e.config()
	if c := e.owners.Load(); c != nil && c.config == x && sameList(c.members, members) {
		return c.list
	}
	list := make([]locate.Entry, 0, len(members))
	drained := x.Drained()
	for _, m := range members {
		list = append(list, locate.Entry{
			ID: m.ID, Addr: m.Addr, Place: m.Place, Region: m.Region, Leaving: m.Leaving || drained[m.ID],
		})
	}
	e.owners.Store(&candidates{members: members, config: x, list: list})
	return list
}

// sameList tells whether two snapshots of the membership are one.
func sameList(a, b []member.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// peerAddr finds the address for calls to a live entry.
func (e *Entry) peerAddr(id string) (string, bool) {
	for _, m := range e.members.Members() {
		if m.ID == id {
			return m.RPC, true
		}
	}
	return "", false
}

// locate tells a caller which entries to use.
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
		list = pinned(list, entries, a.Pin)
	}
	e.writeJSON(w, locateAnswer{Entries: list, Until: e.now().Add(e.keep())})
}

// group gives the entries that serve a service.
func (e *Entry) group(x *config.Index, entries []locate.Entry, service string) []locate.Entry {
	part := 1.0
	if all := len(x.Document.Endpoints); all > 0 {
		part = float64(len(x.Endpoints(service))) / float64(all)
	}
	return locate.Group(entries, service, part)
}

// pinned puts the entry that an operator chose for the account first.
func pinned(list, entries []locate.Entry, pin string) []locate.Entry {
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

// runReaper takes entries that are gone out of the set that must acknowledge a
// configuration: those that left, those whose address refuses connections or
// belongs to another entry by now, and those that the instance list dropped.
// An entry that merely does not answer stays.
func (e *Entry) runReaper(ctx context.Context) error {
	listed := e.now()
	for sleepUntil(ctx, e.now().Add(reapPeriod), e.now()) {
		missing := e.tracker.Pending(e.version())
		for _, id := range missing {
			switch e.members.Status(id) {
			case member.Left:
				e.remove(ctx, id)
			case member.Dead, member.Absent:
				if e.refusesConnections(ctx, id) {
					e.remove(ctx, id)
				}
			}
		}
		if len(missing) > 0 && e.now().After(listed) {
			listed = e.now().Add(listPeriod)
			e.readList(ctx)
		}
	}
	return nil
}

// remove takes an entry that is gone out of the set and of the table.
func (e *Entry) remove(ctx context.Context, id string) {
	e.tracker.Remove(id)
	e.deregister(ctx, id)
	e.addrs.Delete(id)
	e.loads.Delete(id)
}

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

// readList tells the tracker which entries the instance list still has. The
// identity of an entry begins with the name of its instance.
func (e *Entry) readList(ctx context.Context) {
	list, err := e.Platform.Instances(ctx)
	if err != nil {
		return
	}
	e.noteLeaving(list)
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
	e.tracker.Listed(ids)
}

// MemberStats counts what the membership protocol of this entry sent and received.
func (e *Entry) MemberStats() member.Stats { return e.members.Stats() }
