package operator

import (
	"fmt"
	"slices"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	minKeyPrefix  = 4  // shortest key prefix that revoke accepts, in characters
	shownKeyChars = 12 // characters of a key hash that messages show
)

// changeDocument applies a command to a document. It returns one line for each
// change, or none if the document already was as desired. Documents are
// immutable once installed, so a slice is copied before one of its elements is
// changed.
func changeDocument(doc *config.Document, s *Statement) ([]string, error) {
	switch {
	case s.Drain != nil:
		return setDrain(doc, s, s.Drain.Kind, s.Drain.Name, true)
	case s.Undrain != nil:
		return setDrain(doc, s, s.Undrain.Kind, s.Undrain.Name, false)
	case s.SetAccount != nil:
		return setAccount(doc, s, s.SetAccount)
	case s.SetService != nil:
		return setService(doc, s, s.SetService)
	case s.Load != nil:
		return loadModel(doc, s)
	case s.Unload != nil:
		return unloadModel(doc, s)
	case s.Revoke != nil:
		return revoke(doc, s)
	default:
		return nil, &Error{Kind: NotOffered, Message: "not an edit of the configuration"}
	}
}

func setDrain(doc *config.Document, s *Statement, kind, name Name, draining bool) ([]string, error) {
	matches := func(e config.Endpoint) bool { return e.ID == name.Text }
	if kind.Text == "place" {
		matches = func(e config.Endpoint) bool { return e.Place == name.Text }
		if err := checkPlace(doc, s, name); err != nil {
			return nil, err
		}
	} else if _, err := endpointIndex(doc, s, name); err != nil {
		return nil, err
	}
	verb := "takes new work"
	if draining {
		verb = "drains"
	}
	var changes []string
	endpoints := slices.Clone(doc.Endpoints)
	for i := range endpoints {
		if matches(endpoints[i]) && endpoints[i].Drain != draining {
			endpoints[i].Drain = draining
			changes = append(changes, "endpoint "+endpoints[i].ID+" "+verb)
		}
	}
	doc.Endpoints = endpoints
	return changes, nil
}

func checkPlace(doc *config.Document, s *Statement, name Name) error {
	var places []string
	for _, e := range doc.Endpoints {
		places = append(places, e.Place)
	}
	slices.Sort(places)
	return checkName(s, "place", name, slices.Compact(places))
}

func setAccount(doc *config.Document, s *Statement, set *SetAccount) ([]string, error) {
	at, err := accountIndex(doc, s, set.Account)
	if err != nil {
		return nil, err
	}
	was, now := doc.Accounts[at], doc.Accounts[at]
	what := ""
	if set.Rank != nil {
		now.Rank = int(set.Rank.Value)
		what = fmt.Sprintf("rank %d (was %d)", now.Rank, was.Rank)
	} else {
		setLimit(&now.Limit, set.Limit.Field.Text, set.Limit.Value.Value)
		what = fmt.Sprintf("limit %s %s (was %s)", set.Limit.Field.Text,
			formatNumber(set.Limit.Value.Value), formatNumber(limitOf(was.Limit, set.Limit.Field.Text)))
	}
	if was.Rank == now.Rank && was.Limit == now.Limit {
		return nil, nil
	}
	doc.Accounts = slices.Clone(doc.Accounts)
	doc.Accounts[at] = now
	return []string{"account " + now.ID + " " + what}, nil
}

func setLimit(l *config.Limit, field string, v float64) {
	switch field {
	case "rate":
		l.Rate = v
	case "burst":
		l.Burst = int(v)
	case "active":
		l.Active = int(v)
	case "tokens":
		l.Tokens = int64(v)
	}
}

func limitOf(l config.Limit, field string) float64 {
	switch field {
	case "rate":
		return l.Rate
	case "burst":
		return float64(l.Burst)
	case "active":
		return float64(l.Active)
	default:
		return float64(l.Tokens)
	}
}

func setService(doc *config.Document, s *Statement, set *SetService) ([]string, error) {
	at, err := serviceIndex(doc, s, set.Service)
	if err != nil {
		return nil, err
	}
	was, now := doc.Services[at], doc.Services[at]
	what := ""
	if set.Policy != nil {
		now.Policy = set.Policy.Text
		what = fmt.Sprintf("policy %s (was %s)", now.Policy, policyOf(was))
	} else {
		setWeight(&now.Weights, set.Weight.Field.Text, set.Weight.Value.Value)
		what = fmt.Sprintf("weight %s %s", set.Weight.Field.Text, formatNumber(set.Weight.Value.Value))
	}
	if policyOf(was) == policyOf(now) && was.Weights == now.Weights {
		return nil, nil
	}
	doc.Services = slices.Clone(doc.Services)
	doc.Services[at] = now
	return []string{"service " + now.ID + " " + what}, nil
}

// policyOf returns the policy of a service. An empty field means the policy named
// current.
func policyOf(s config.Service) string {
	if s.Policy == "" {
		return policies[0]
	}
	return s.Policy
}

// setWeight sets one weight. Three zero weights stand for 1, 1, 1 and are first
// replaced by those; otherwise the two other weights would silently become 0.
func setWeight(w *config.Weights, field string, v float64) {
	if *w == (config.Weights{}) {
		*w = config.Weights{Stall: 1, Gap: 1, Preempt: 1}
	}
	switch field {
	case "stall":
		w.Stall = v
	case "gap":
		w.Gap = v
	case "preempt":
		w.Preempt = v
	}
}

func revoke(doc *config.Document, s *Statement) ([]string, error) {
	at, err := accountIndex(doc, s, s.Revoke.Account)
	if err != nil {
		return nil, err
	}
	key, offset := s.Revoke.Key.Text, s.Revoke.Key.Pos.Offset
	if len(key) < minKeyPrefix {
		return nil, errorAt(BadValue, s.Text, offset, "a key prefix has at least %d characters", minKeyPrefix)
	}
	account := doc.Accounts[at]
	found := keysWithPrefix(account, key)
	switch {
	case len(found) == 0:
		e := errorAt(BadName, s.Text, offset, "account %q has no key that starts with %q", account.ID, key)
		return nil, e.allow(key, shortenKeys(account.Keys))
	case len(found) > 1:
		e := errorAt(BadName, s.Text, offset, "%d keys of account %q start with %q", len(found), account.ID, key)
		return nil, e.allow(key, shortenKeys(found))
	case len(account.Keys) == 1:
		return nil, errorAt(BadState, s.Text, offset, "account %q has no other key; add one first", account.ID)
	}
	account.Keys = slices.DeleteFunc(slices.Clone(account.Keys), func(k string) bool { return k == found[0] })
	doc.Accounts = slices.Clone(doc.Accounts)
	doc.Accounts[at] = account
	return []string{"account " + account.ID + " loses key " + shortenKeys(found)[0]}, nil
}

func shortenKeys(keys []string) []string {
	out := make([]string, len(keys))
	for i, key := range keys {
		out[i] = key[:min(len(key), shownKeyChars)]
	}
	return out
}
