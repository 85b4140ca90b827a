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

// String names those that the command has not reached.
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

func (d *Desk) waitOf(s *Statement) time.Duration {
	switch {
	case s.Wait != nil:
		return time.Duration(s.Wait.Seconds * float64(time.Second))
	case d.Wait > 0:
		return d.Wait
	default:
		return defaultWait
	}
}

// pause lets the time between two looks pass. It is false if ctx ended.
func (d *Desk) pause(ctx context.Context) bool {
	poll := d.Poll
	if poll <= 0 {
		poll = defaultPoll
	}
	return sleep.For(ctx, poll)
}

// await looks at who lacks the version until nobody does. It returns nil
// then, and those left when the wait or ctx ends.
func (d *Desk) await(ctx context.Context, version int64, endpoints []string, wait time.Duration, progress func(string)) *Pending {
	until := d.now().Add(wait)
	told := ""
	for {
		p := d.lacking(version, endpoints)
		if p == nil {
			return nil
		}
		if text := p.String(); text != told {
			told = text
			progress(text)
		}
		if !d.now().Before(until) || !d.pause(ctx) {
			return p
		}
	}
}

func (d *Desk) lacking(version int64, endpoints []string) *Pending {
	p := &Pending{Version: version}
	if d.Pending != nil {
		p.Entries = slices.Sorted(slices.Values(d.Pending(version)))
	}
	if d.Unsettled != nil && len(endpoints) > 0 {
		p.Endpoints = slices.Sorted(slices.Values(d.Unsettled(endpoints)))
	}
	if len(p.Entries)+len(p.Endpoints) == 0 {
		return nil
	}
	return p
}

// targets lists the endpoints whose state a command changes.
func targets(doc *config.Document, s *Statement) []string {
	switch {
	case s.Drain != nil:
		return endpointsOf(doc, s.Drain.Kind, s.Drain.Name)
	case s.Undrain != nil:
		return endpointsOf(doc, s.Undrain.Kind, s.Undrain.Name)
	case s.Load != nil:
		return []string{s.Load.Endpoint.Text}
	case s.Unload != nil:
		return []string{s.Unload.Endpoint.Text}
	default:
		return nil
	}
}

func endpointsOf(doc *config.Document, kind, name Name) []string {
	var ids []string
	for _, e := range doc.Endpoints {
		if (kind.Text == "endpoint" && e.ID == name.Text) || (kind.Text == "place" && e.Place == name.Text) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// touches tells whether two documents differ in an object that the command
// changes or is checked against.
func touches(s *Statement, was, now *config.Document) bool {
	switch {
	case s.SetAccount != nil:
		return !same(was.Accounts, now.Accounts, func(a config.Account) bool { return a.ID == s.SetAccount.Account.Text })
	case s.Revoke != nil:
		return !same(was.Accounts, now.Accounts, func(a config.Account) bool { return a.ID == s.Revoke.Account.Text })
	case s.SetService != nil:
		return !same(was.Services, now.Services, func(v config.Service) bool { return v.ID == s.SetService.Service.Text })
	}
	ids := append(targets(was, s), targets(now, s)...)
	if !same(was.Endpoints, now.Endpoints, func(e config.Endpoint) bool { return slices.Contains(ids, e.ID) }) {
		return true
	}
	if s.Load == nil && s.Unload == nil {
		return false
	}
	// Models are checked against the services.
	return !reflect.DeepEqual(was.Services, now.Services)
}

// same compares those items of two lists for which own holds.
func same[T any](was, now []T, own func(T) bool) bool {
	not := func(item T) bool { return !own(item) }
	return reflect.DeepEqual(slices.DeleteFunc(slices.Clone(was), not), slices.DeleteFunc(slices.Clone(now), not))
}
