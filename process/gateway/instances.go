package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
)

// The rows of the instances tell a process that starts where others are. Each
// instance writes its row when it starts and deletes it when it stops. An
// instance that is killed and never returns leaves its row behind: the first live
// instance of each region looks for such rows of the region, and for live instances whose
// row is missing. A region that is cut off from the others keeps its rows.

const (
	tidyEvery = 30 * time.Second // a row must be without its instance at two looks in a row
	tidyLimit = 2 * time.Second  // for a call of the store
)

// ErrConflict marks the error of a write to a row that has changed.
var ErrConflict = errors.New("row has changed")

// registration is the row of an instance.
type registration struct {
	member.Member
	key     string
	version int64
}

// registered reads the rows of all instances. Those that cannot be read are
// left out.
func (g *Gateway) registered(ctx context.Context) ([]registration, error) {
	rows, err := g.Registered(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the rows of the instances: %w", err)
	}
	list := make([]registration, 0, len(rows))
	for _, r := range rows {
		var m member.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			g.Log.WithError(err).WithField("event", "instance_unreadable").Warn("row of an instance cannot be read")
			continue
		}
		list = append(list, registration{Member: m, key: r.Key, version: r.Version})
	}
	return list, nil
}

// tidy looks after the rows of the region's instances while this is the first of
// them.
func (g *Gateway) tidy() {
	var dead map[string]int64
	for sleep.For(g.base, tidyEvery/2+jitter(tidyEvery)) {
		live := slices.DeleteFunc(slices.Clone(g.members.Members()), func(m member.Member) bool { return m.Region != g.Settings.Region })
		if !g.isFirst(live) {
			dead = nil
			continue
		}
		var err error
		if dead, err = g.tidyRows(live, dead); err != nil {
			g.Log.WithError(err).WithField("event", "tidy_failed").Warn("rows of the instances were not looked after")
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

// tidyRows deletes the region's rows that were without a live instance before and have
// not changed since, and writes those of live instances that are missing. It gives the
// rows without a live instance, by version.
func (g *Gateway) tidyRows(live []member.Member, before map[string]int64) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(g.base, tidyLimit)
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
	dead := map[string]int64{}
	for _, r := range list {
		_, lives := missing[r.ID]
		delete(missing, r.ID)
		switch version, seen := before[r.key]; {
		case lives || r.Region != g.Settings.Region:
		case seen && version == r.version:
			err = errors.CombineErrors(err, g.deregister(ctx, r.key, r.version))
		default:
			dead[r.key] = r.version
		}
	}
	for _, m := range missing {
		err = errors.CombineErrors(err, g.restore(ctx, m))
	}
	return dead, err
}

// deregister deletes a row if it has not changed.
func (g *Gateway) deregister(ctx context.Context, key string, version int64) error {
	err := g.Deregister(ctx, key, version)
	if errors.Is(err, ErrConflict) {
		return nil // the instance has returned
	}
	if err != nil {
		return fmt.Errorf("delete row of instance %s: %w", key, err)
	}
	g.Log.WithFields(logrus.Fields{"event": "instance_forgotten", "row": key}).Info("row of an instance that is gone was deleted")
	return nil
}

// restore writes the row of a live instance that has none: it was taken for
// gone, because it could not be reached.
func (g *Gateway) restore(ctx context.Context, m member.Member) error {
	m.Incarnation = 0
	row, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode row of instance %s: %w", m.ID, err)
	}
	key := m.ID[:max(strings.LastIndexByte(m.ID, '-'), 0)]
	err = g.Register(ctx, key, row, true)
	if errors.Is(err, ErrConflict) {
		return nil // it has written the row itself
	}
	if err != nil {
		return fmt.Errorf("write row of instance %s: %w", m.ID, err)
	}
	g.Log.WithFields(logrus.Fields{"event": "instance_restored", "row": key}).Info("row of a live instance was written again")
	return nil
}

// unregister deletes the row of this instance, unless a later process has
// written it anew. A deletion without that condition could be carried out
// seconds later and hit the row of the next process.
func (g *Gateway) unregister() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.base), farewellLimit)
	defer cancel()
	list, err := g.registered(ctx)
	for _, r := range list {
		if r.ID == g.id {
			err = g.deregister(ctx, r.key, r.version)
		}
	}
	if err != nil {
		g.Log.WithError(err).WithField("event", "deregister_failed").Warn("row of this instance was not deleted")
	}
}
