package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/logging"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

// A process that starts finds the other instances by their rows in the store.
// Each instance writes its row when it starts and deletes it when it stops. An
// instance that is killed and never restarted leaves its row behind. Therefore
// the live instance with the lowest ID in each region deletes such rows of its
// region, and writes the rows of live instances whose row is missing. It does
// not touch the rows of other regions, so a region that is cut off keeps its
// rows. When the store has come back from an older copy, each instance writes its
// row again, and rows of instances that have left are deleted as above.

const (
	cleanUpInterval = 30 * time.Second // mean interval; a row is deleted if it has no live instance at two checks in a row
	cleanUpLimit    = 2 * time.Second  // for the calls to the store of one check
	reregisterTime  = time.Second      // within which all instances write their rows after a restoration of the store
)

// ErrConflict marks the error of a write whose condition on the row failed.
var ErrConflict = errors.New("row has changed")

type (
	// registration is the row of an instance in the store.
	registration struct {
		member.Member
		key     string
		version rowVersion
	}

	// rowVersion is the version of a row, which the store may give out again in
	// another era.
	rowVersion struct {
		era, version int64
	}
)

// registered reads the rows of all instances. It counts, logs and skips rows that
// cannot be decoded.
func (g *Gateway) registered(ctx context.Context) ([]registration, error) {
	page, err := g.Registered(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the rows of the instances: %w", err)
	}
	list := make([]registration, 0, len(page.Rows))
	for _, r := range page.Rows {
		var m member.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			counters.Add("instances_unreadable", 1)
			if others, due := g.instanceFaults.Add(r.Key, "row", time.Now()); due {
				g.Log.WithFields(logrus.Fields{
					"event": "instance_unreadable", "row": roster.Shorten(r.Key), "error": logging.ShortError(err), "others": others,
				}).Warn("row of an instance cannot be decoded")
			}
			continue
		}
		g.instanceFaults.Remove(r.Key)
		list = append(list, registration{Member: m, key: r.Key, version: rowVersion{page.Era, r.Version}})
	}
	return list, nil
}

// SystemAddrs returns the TCP addresses of this instance, of the other live ones and of the
// store. A request that is sent to one of them, because another writer has put it into the
// row of an endpoint, would come back to an instance, or get an answer that is not one of a
// replica.
func (g *Gateway) SystemAddrs() map[netip.AddrPort]bool {
	s := &g.Settings
	list := []string{s.Callers, s.Ready, s.Locate, s.Peer, s.Metrics, s.Store}
	if g.listMembers != nil {
		for _, m := range g.listMembers() {
			list = append(list, m.Addr, m.RPC)
		}
	}
	addrs := make(map[netip.AddrPort]bool, len(list))
	for _, text := range list {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			addrs[addr] = true
		}
	}
	return addrs
}

// onRestored writes the row of this instance again, once in each era, because the copy
// from which the store has come back may lack it.
func (g *Gateway) onRestored(era int64) {
	old := g.storeEra.Load()
	if era <= old || !g.storeEra.CompareAndSwap(old, era) {
		return
	}
	g.spawn(func() {
		if sleep.For(g.base, jitter(reregisterTime)) {
			g.register()
		}
	})
}

// cleanUpRows maintains the rows of the region's instances whenever this
// instance is the first of the region.
func (g *Gateway) cleanUpRows() {
	var dead map[string]rowVersion
	for sleep.For(g.base, cleanUpInterval/2+jitter(cleanUpInterval)) {
		live := slices.DeleteFunc(slices.Clone(g.members.Members()), func(m member.Member) bool { return m.Region != g.Settings.Region })
		if !g.isFirst(live) {
			dead = nil
			continue
		}
		var err error
		if dead, err = g.cleanUpOnce(live, dead); err != nil {
			g.Log.WithError(err).WithField("event", "tidy_failed").Warn("rows of the instances could not be cleaned up")
		}
	}
}

func (g *Gateway) isFirst(live []member.Member) bool {
	for _, m := range live {
		if m.ID < g.id && !m.Leaving {
			return false
		}
	}
	return true
}

// cleanUpOnce deletes the region's rows that had no live instance at the
// previous check either and have not changed since, and writes the missing rows
// of live instances. It returns the versions of the remaining rows without a
// live instance, by key; before is this result of the previous check.
func (g *Gateway) cleanUpOnce(live []member.Member, before map[string]rowVersion) (map[string]rowVersion, error) {
	ctx, cancel := context.WithTimeout(g.base, cleanUpLimit)
	defer cancel()
	list, err := g.registered(ctx)
	if err != nil {
		return nil, err
	}
	missing := map[string]member.Member{}
	for _, m := range live {
		if !m.Leaving {
			missing[m.ID] = m
		}
	}
	dead := map[string]rowVersion{}
	for _, r := range list {
		_, lives := missing[r.ID]
		delete(missing, r.ID)
		switch version, seen := before[r.key]; {
		case lives || r.Region != g.Settings.Region:
		case seen && version == r.version:
			err = errors.CombineErrors(err, g.deregister(ctx, r.key, r.version.version))
		default:
			dead[r.key] = r.version
		}
	}
	for _, m := range missing {
		err = errors.CombineErrors(err, g.restore(ctx, m))
	}
	return dead, err
}

// deregister deletes a row if it still has the version.
func (g *Gateway) deregister(ctx context.Context, key string, version int64) error {
	err := g.Deregister(ctx, key, version)
	if errors.Is(err, ErrConflict) {
		return nil // the instance has restarted
	}
	if err != nil {
		return fmt.Errorf("delete row of instance %s: %w", key, err)
	}
	g.Log.WithFields(logrus.Fields{"event": "instance_forgotten", "row": key}).Info("row of an instance deleted")
	return nil
}

// restore writes the row of a live instance that has none. The row was deleted
// because the instance could not be reached and was considered gone.
func (g *Gateway) restore(ctx context.Context, m member.Member) error {
	// A row that the instance writes itself has no incarnation: it belongs to the
	// membership protocol and rises while the instance runs.
	m.Incarnation = 0
	row, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode row of instance %s: %w", m.ID, err)
	}
	// The key is the name of the instance. Start forms the ID from the name, a
	// hyphen and 8 characters without a hyphen.
	key := m.ID[:max(strings.LastIndexByte(m.ID, '-'), 0)]
	err = g.Register(ctx, key, row, true)
	if errors.Is(err, ErrConflict) {
		return nil // the instance has written the row itself
	}
	if err != nil {
		return fmt.Errorf("write row of instance %s: %w", m.ID, err)
	}
	g.Log.WithFields(logrus.Fields{"event": "instance_restored", "row": key}).Info("missing row of a live instance restored")
	return nil
}

// unregister deletes the row of this instance, unless a later process of the
// same name has rewritten it. Without that condition, the store could carry out
// the deletion seconds later and remove the row of the next process.
func (g *Gateway) unregister() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.base), deregisterLimit)
	defer cancel()
	list, err := g.registered(ctx)
	for _, r := range list {
		if r.ID == g.id {
			err = g.deregister(ctx, r.key, r.version.version)
		}
	}
	if err != nil {
		g.Log.WithError(err).WithField("event", "deregister_failed").Warn("row of this instance could not be deleted")
	}
}
