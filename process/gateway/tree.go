package gateway

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdock/eelgrassdock/process/member"
)

// Which instance polls which follows from the list of members alone. The instances of a
// region are in one order for each table: those with faster links first, the others by
// hash. The first one polls the store; each other one polls the first that has room. An
// instance polls only what is before it in the order, which does not depend on who else
// is in the list, so that views that differ make no cycles.

const (
	slowestLink = 10 // Mbit/s; of an instance that does not state its rate, or a lower one

	// An instance gives a table to this many others for each Mbit/s of its link, so that
	// a table of 125 KB, encoded, passes in 400 ms (pass_ms of the users).
	pollersPerMegabit = 0.4

	bytesPerMegabit = 1e6 / 8 // per second
)

// linkInID is the end of an instance's ID that states the rate of its link in Mbit/s.
// The ID is the one field that instances of earlier builds pass on as it is.
var linkInID = regexp.MustCompile(`-([0-9]{1,7})mbit$`)

// relayMark begins the random part of the ID of an instance that can pass on the loads of
// others, and understands what such instances send. Those of earlier builds begin with a
// hexadecimal digit.
const relayMark = "r"

var canRelayInID = regexp.MustCompile(`-` + relayMark + `[0-9a-f]{7}(-[0-9]{1,7}mbit)?$`)

// canRelay reports whether a member can pass on the loads of others.
func canRelay(id string) bool { return canRelayInID.MatchString(id) }

// instanceID returns the ID of a process of an instance.
func instanceID(name, random string, link float64) string {
	if link < 1 {
		return name + "-" + random
	}
	return fmt.Sprintf("%s-%s-%dmbit", name, random, int(link))
}

// linkOf returns the rate of a member's link in Mbit/s, as far as it is known.
func linkOf(id string) int {
	if m := linkInID.FindStringSubmatch(id); m != nil {
		if rate, err := strconv.Atoi(m[1]); err == nil {
			return max(rate, slowestLink)
		}
	}
	return slowestLink
}

// place is the place of a member in the order of a table.
type place struct {
	member.Member
	link int
	hash uint64
}

func placeOf(m member.Member, table string) place {
	return place{m, linkOf(m.ID), xxhash.Sum64String(table + m.ID)}
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

// placesBefore returns the places of the members before one, in the order of a table.
func placesBefore(id, table string, members []member.Member) (before []place) {
	own := placeOf(member.Member{ID: id}, table)
	for _, m := range members {
		if p := placeOf(m, table); comparePlaces(p, own) < 0 {
			before = append(before, p)
		}
	}
	slices.SortFunc(before, comparePlaces)
	return before
}

// polledBy returns the one of the members that a member polls for a table. It returns
// false for the first one, which polls the store.
func polledBy(id, table string, members []member.Member) (member.Member, bool) {
	before := placesBefore(id, table, members)
	if len(before) == 0 {
		return member.Member{}, false
	}
	// All but the first of those before this one have taken a place.
	taken := len(before) - 1
	for _, p := range before {
		if taken -= int(float64(p.link) * pollersPerMegabit); taken < 0 {
			return p.Member, true
		}
	}
	return before[len(before)-1].Member, true
}
