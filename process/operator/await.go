package operator

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// String lists the entries and endpoints that the command has not reached.
func (p *Pending) String() string {
	var parts []string
	if len(p.Entries) > 0 {
		parts = append(parts, "entries "+strings.Join(p.Entries, ", "))
	}
	if len(p.Endpoints) > 0 {
		parts = append(parts, "endpoints "+strings.Join(p.Endpoints, ", "))
	}
	if p.Version == 0 {
		return "pending: no answer from " + strings.Join(parts, "; ")
	}
	return fmt.Sprintf("pending: version %d not in force on %s", p.Version, strings.Join(parts, "; "))
}

// waitTime returns how long a command may wait until it is in force: its wait
// clause, or else the default.
func (x *Executor) waitTime(s *Statement) time.Duration {
	switch {
	case s.Wait != nil:
		return time.Duration(s.Wait.Seconds * float64(time.Second))
	case x.Wait > 0:
		return x.Wait
	default:
		return defaultWait
	}
}

// sleepPoll sleeps for one poll interval. It returns false if ctx ended.
func (x *Executor) sleepPoll(ctx context.Context) bool {
	poll := x.Poll
	if poll <= 0 {
		poll = defaultPoll
	}
	return sleep.For(ctx, poll)
}

// await polls until all entries and endpoints have the version and returns nil.
// If the wait or ctx ends first, it returns those that lack the version. Each
// change of the pending names is reported to progress.
func (x *Executor) await(ctx context.Context, version int64, endpoints []string, wait time.Duration, progress func(string)) *Pending {
	until := x.now().Add(wait)
	reported := ""
	for {
		p := x.findPending(version, endpoints)
		if p == nil {
			return nil
		}
		if text := p.String(); text != reported {
			reported = text
			progress(text)
		}
		if !x.now().Before(until) || !x.sleepPoll(ctx) {
			return p
		}
	}
}

// findPending returns the entries that lack the version and the endpoints that
// are not yet as desired, or nil if there are none.
func (x *Executor) findPending(version int64, endpoints []string) *Pending {
	p := &Pending{Version: version}
	if x.Pending != nil {
		p.Entries = slices.Sorted(slices.Values(x.Pending(version)))
	}
	if x.Unsettled != nil && len(endpoints) > 0 {
		p.Endpoints = slices.Sorted(slices.Values(x.Unsettled(endpoints)))
	}
	if len(p.Entries)+len(p.Endpoints) == 0 {
		return nil
	}
	return p
}

// affectedEndpoints lists the endpoints whose state a command changes.
func affectedEndpoints(doc *config.Document, s *Statement) []string {
	switch {
	case s.Drain != nil:
		return endpointsNamed(doc, s.Drain.Kind, s.Drain.Name)
	case s.Undrain != nil:
		return endpointsNamed(doc, s.Undrain.Kind, s.Undrain.Name)
	case s.Load != nil:
		return []string{s.Load.Endpoint.Text}
	case s.Unload != nil:
		return []string{s.Unload.Endpoint.Text}
	default:
		return nil
	}
}

// endpointsNamed lists the IDs of one endpoint or of all endpoints of a place.
func endpointsNamed(doc *config.Document, kind, name Name) []string {
	var ids []string
	for _, e := range doc.Endpoints {
		if (kind.Text == "endpoint" && e.ID == name.Text) || (kind.Text == "place" && e.Place == name.Text) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// changesRelated reports whether two documents differ in an object that the
// command changes or is checked against.
func changesRelated(s *Statement, was, now *config.Document) bool {
	switch {
	case s.SetAccount != nil:
		return !equalSubset(was.Accounts, now.Accounts, func(a config.Account) bool { return a.ID == s.SetAccount.Account.Text })
	case s.Revoke != nil:
		return !equalSubset(was.Accounts, now.Accounts, func(a config.Account) bool { return a.ID == s.Revoke.Account.Text })
	case s.SetService != nil:
		return !equalSubset(was.Services, now.Services, func(v config.Service) bool { return v.ID == s.SetService.Service.Text })
	}
	ids := append(affectedEndpoints(was, s), affectedEndpoints(now, s)...)
	if !equalSubset(was.Endpoints, now.Endpoints, func(e config.Endpoint) bool { return slices.Contains(ids, e.ID) }) {
		return true
	}
	if s.Load == nil && s.Unload == nil {
		return false
	}
	// Load and unload check the model against the services.
	return !reflect.DeepEqual(was.Services, now.Services)
}

// equalSubset reports whether two lists are equal in the items for which match
// holds.
func equalSubset[T any](was, now []T, match func(T) bool) bool {
	not := func(item T) bool { return !match(item) }
	return reflect.DeepEqual(slices.DeleteFunc(slices.Clone(was), not), slices.DeleteFunc(slices.Clone(now), not))
}
