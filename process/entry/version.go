package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	startTimeout = 30 * time.Second // time to learn the configuration at the start
)

// empty stands for the configuration before the first one is known.
var empty = config.NewIndex(config.Document{})

func (e *Entry) newConfig() {
	e.tracker.Gone = func(id string) bool { return e.members.Status(id) == member.Left }
	e.holder = &config.Holder{
		Store: &config.Store{Platform: e.Platform, Now: e.Now, Origin: e.id},
		Fetch: e.fetchDeltas, Live: func() int { return len(e.members.Members()) },
		Nudge: func() { e.members.Nudge() }, Tell: func(id string) { e.members.SendPayload(id) },
		Ask:   func(id string) { e.members.RequestPayload(id) },
		Acked: e.tracker.Ack, Pending: e.tracker.Pending, Installed: e.installed, Now: e.Now,
		Seed: hashID(e.id), Violation: func(s string) { e.violation("configuration", s) },
	}
}

// config gives the configuration in force. It is never nil.
func (e *Entry) config() *config.Index {
	if x := e.holder.Current(); x != nil {
		return x
	}
	return empty
}

func (e *Entry) version() int64 { return e.config().Document.Version }

// stale tells whether a newer configuration may be in force elsewhere.
func (e *Entry) stale() bool { return e.holder.Stale(e.now()) }

// waitConfig waits until the entry knows the newest configuration.
func (e *Entry) waitConfig(ctx context.Context) error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-e.holder.Ready():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the configuration: %w", ctx.Err())
	case <-timer.C:
		return fmt.Errorf("no configuration was found in %s: %w", startTimeout, platform.ErrDown)
	}
}

// installed notes that a version is in force on this entry.
func (e *Entry) installed(x *config.Index) {
	e.tracker.Ack(e.id, x.Document.Version)
	e.reconfigure()
}

// reconfigure tells the desks of new endpoints or entries.
func (e *Entry) reconfigure() {
	x := e.config()
	e.desks.Range(func(_, d any) bool {
		d.(*desk).configure(x)
		return true
	})
	for _, r := range e.orders {
		r.Wake()
	}
}

func (e *Entry) fetchDeltas(ctx context.Context, id string, after int64) ([]config.Delta, error) {
	addr, ok := e.peerAddr(id)
	if !ok {
		return nil, fmt.Errorf("entry %s: %w", id, peer.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var deltas []config.Delta
	err := e.callPeer(ctx, addr, "Config.Fetch", after, &deltas)
	return deltas, err
}

// configCalls are the calls of other entries about the configuration.
type configCalls struct{ e *Entry }

// Fetch gives the deltas after a version.
func (c *configCalls) Fetch(after int64, reply *[]config.Delta) error {
	deltas, err := c.e.holder.Deltas(after)
	*reply = deltas
	return err
}

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
