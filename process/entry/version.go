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

// emptyConfig is used until the first configuration has been received.
var emptyConfig = config.NewIndex(config.Document{})

func (e *Entry) newConfig() {
	e.tracker.Gone = func(id string) bool { return e.members.Status(id) == member.Left }
	e.holder = &config.Holder{
		Store: &config.Store{Platform: e.Platform, Now: e.Now, Origin: e.id},
		Fetch: e.fetchDeltas, Live: func() int { return len(e.members.Members()) },
		Nudge: func() { e.members.Nudge() }, SendPayload: func(id string) { e.members.SendPayload(id) },
		RequestPayload: func(id string) { e.members.RequestPayload(id) },
		Acked:          e.tracker.Ack, Pending: e.tracker.Pending, Installed: e.installed, Now: e.Now,
		Seed: hashID(e.id), Violation: func(s string) { e.violation("configuration", s) },
	}
}

// config returns the configuration in force. It is never nil.
func (e *Entry) config() *config.Index {
	if x := e.holder.Current(); x != nil {
		return x
	}
	return emptyConfig
}

func (e *Entry) version() int64 { return e.config().Document.Version }

// stale reports whether another entry may have a newer configuration in force.
func (e *Entry) stale() bool { return e.holder.Stale(e.now()) }

// startLimit returns the longest wait for the configuration at the start.
func (e *Entry) startLimit() time.Duration {
	if e.Settings.Start > 0 {
		return time.Duration(e.Settings.Start) * time.Second
	}
	return defaultStart
}

// waitConfig waits until the entry has the newest configuration in force. It
// returns an error after the time that Settings.Start allows.
func (e *Entry) waitConfig(ctx context.Context) error {
	limit := e.startLimit()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.holder.Ready():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the configuration: %w", ctx.Err())
	case <-timer.C:
		return fmt.Errorf("no configuration was found in %s: %w", limit, platform.ErrDown)
	}
}

// installed is called when a version has come into force at this entry.
func (e *Entry) installed(x *config.Index) {
	e.tracker.Ack(e.id, x.Document.Version)
	e.reconfigure()
}

// reconfigure applies a change of the configuration, the membership or the
// leaving endpoints to the pools, and wakes the reconcilers.
func (e *Entry) reconfigure() {
	x := e.config()
	e.pools.Range(func(_, d any) bool {
		d.(*enginePool).configure(x)
		return true
	})
	for _, r := range e.reconcilers {
		r.Wake()
	}
}

// fetchDeltas requests the deltas after a version from another entry.
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

// configCalls is the net/rpc service for the configuration.
type configCalls struct{ e *Entry }

// Fetch returns the deltas after a version.
func (c *configCalls) Fetch(after int64, reply *[]config.Delta) (err error) {
	defer peer.Recover(c.e.Log, &err)
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
