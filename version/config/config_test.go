package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const secret = "00112233445566778899aabbccddeeff"

// document returns a valid document with n accounts.
func document(n int) config.Document {
	doc := config.Document{
		Secrets: []string{secret},
		Services: []config.Service{
			{ID: "chat", Kind: config.KindEngine},
			{ID: "files", Kind: config.KindPlain, Routes: []config.Route{{Method: "GET", Path: "/file/:id", Idempotent: true}}},
		},
		Endpoints: []config.Endpoint{{ID: "e1", Service: "chat", Place: "p", Region: "r", Addr: "10.0.0.1:80"}},
	}
	for i := range n {
		id := fmt.Sprintf("account-%05d", i)
		doc.Accounts = append(doc.Accounts, config.Account{
			ID: id, Keys: []string{config.HashKey(id)}, Services: []string{"chat"}, Limit: config.Limit{Rate: 10, Active: 100},
		})
	}
	return doc
}

func replace(doc config.Document) func(*config.Document) error {
	return func(d *config.Document) error { *d = doc; return nil }
}

func setRank(id string, rank int) func(*config.Document) error {
	return func(d *config.Document) error {
		for i := range d.Accounts {
			if d.Accounts[i].ID == id {
				d.Accounts[i].Rank = rank
			}
		}
		return nil
	}
}

func noPause(context.Context) {}

// Guards against a check that stops at the first fault, so that an operator has
// to repair a file one fault at a time, and against an invalid document in
// force. A fault must not contain a secret.
func TestCheckReportsAllFaults(t *testing.T) {
	doc := document(2)
	doc.Services[0].Weights.Gap = -1
	doc.Services = append(doc.Services,
		config.Service{ID: "chat", Kind: "odd"},
		config.Service{ID: "bare", Kind: config.KindPlain},
		config.Service{ID: "twice", Kind: config.KindPlain, Routes: []config.Route{{Method: "GET", Path: "/a/:x"}, {Method: "GET", Path: "/a/:y"}, {Method: "GET", Path: "/:"}}})
	doc.Accounts[1].Keys = append(doc.Accounts[1].Keys, doc.Accounts[0].Keys[0])
	doc.Accounts[1].Services = []string{"none"}
	doc.Endpoints = append(doc.Endpoints, config.Endpoint{ID: "e1", Service: "none", Place: "p", Region: "r", Addr: "host:80"})
	doc.Secrets = []string{"my-password"}
	var paths []string
	for _, f := range config.Check(doc) {
		paths = append(paths, f.Path)
		require.NotContains(t, f.String(), "my-password")
	}
	require.ElementsMatch(t, []string{
		"services[0].weights.gap", "services[2].id", "services[2].kind", "services[3].routes",
		"services[4].routes[1].path", "services[4].routes[2].path", "accounts[1].keys[1]", "accounts[1].services[0]",
		"endpoints[1].id", "endpoints[1].service", "endpoints[1].addr", "secrets[0]",
	}, paths)
	require.Empty(t, config.Check(document(2)))
}

// Guards against numbers that overflow when something is added to them or multiplied by
// them, and against addresses that name no endpoint.
func TestBoundsOfADocument(t *testing.T) {
	for name, change := range map[string]func(d *config.Document){
		"version":                   func(d *config.Document) { d.Version = math.MaxInt64 },
		"accounts[0].limit.rate":    func(d *config.Document) { d.Accounts[0].Limit.Rate = math.MaxFloat64 },
		"accounts[0].limit.burst":   func(d *config.Document) { d.Accounts[0].Limit.Burst = math.MaxInt },
		"accounts[0].limit.active":  func(d *config.Document) { d.Accounts[0].Limit.Active = math.MaxInt },
		"accounts[0].limit.tokens":  func(d *config.Document) { d.Accounts[0].Limit.Tokens = math.MaxInt64 },
		"accounts[0].rank":          func(d *config.Document) { d.Accounts[0].Rank = math.MaxInt },
		"services[0].max":           func(d *config.Document) { d.Services[0].Max = math.MaxInt },
		"services[0].weights.stall": func(d *config.Document) { d.Services[0].Weights.Stall = math.MaxFloat64 },
		"endpoints[0].tokens":       func(d *config.Document) { d.Endpoints[0].Tokens = math.MaxInt64 },
	} {
		doc := document(2)
		change(&doc)
		faults := config.Check(doc)
		require.Len(t, faults, 1, name)
		require.Equal(t, name, faults[0].Path)
	}
	for _, addr := range []string{
		"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:http", "host:80", ":80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80",
		"[fe80::1%lo]:80", "10.0.0.1:80\n", "10.0.0.1:99999999999999999999",
	} {
		doc := document(2)
		doc.Endpoints[0].Addr = addr
		faults := config.Check(doc)
		require.Len(t, faults, 1, addr)
		require.Equal(t, "endpoints[0].addr", faults[0].Path)
	}
}

// Guards against a misspelled field name that is ignored, so that the field has
// its default, and against a file with two values for one field.
func TestDecodeIsStrict(t *testing.T) {
	text := `{"version":1,"secrets":["` + secret + `"],"services":[
		{"id":"s","kind":"engine","kind":"plain","wts":{"gap":1},"max":"many","weights":{"Gap":1}}],
		"accounts":[{"id":"a","keys":7}],"endpoints":null} {}`
	_, faults := config.Decode([]byte(text))
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	require.ElementsMatch(t, []string{
		"services[0].kind (again)", "services[0].wts", "services[0].max", "services[0].weights.Gap",
		"accounts[0].keys", "services[0].routes", fmt.Sprintf("byte %d", len(text)-len(" {}")),
	}, paths)
	data, err := json.Marshal(document(3))
	require.NoError(t, err)
	doc, faults := config.Decode(data)
	require.Empty(t, faults)
	require.Equal(t, document(3), doc)
}

// Guards against an account that may call every service once the last one that it might call
// is withdrawn.
func TestLastServiceOfAnAccountIsWithdrawn(t *testing.T) {
	var m platform.Memory
	s := &config.Store{Platform: m.Platform()}
	_, err := s.Change(t.Context(), 0, replace(document(1)), "ann")
	require.NoError(t, err)
	_, err = s.Change(t.Context(), 1, func(d *config.Document) error {
		d.Accounts[0].Services = slices.DeleteFunc(d.Accounts[0].Services, func(id string) bool { return id == "chat" })
		return nil
	}, "ann")
	var faulty *config.FaultError
	require.ErrorAs(t, err, &faulty)
	require.Equal(t, "accounts[0].services", faulty.Faults[0].Path)
	doc := document(1)
	doc.Accounts[0].Services = []string{}
	data, err := json.Marshal(doc)
	require.NoError(t, err)
	_, faults := config.Decode(data)
	require.Len(t, faults, 1)
	require.Equal(t, "accounts[0].services", faults[0].Path)
	require.False(t, doc.Accounts[0].Allows("files"))
	doc.Accounts[0].Services = nil
	require.Empty(t, config.Check(doc))
	require.True(t, doc.Accounts[0].Allows("files"))
}

// Guards against a panic on a damaged file, and against a document that is
// accepted but rejected after it was encoded and decoded again.
func FuzzDecode(f *testing.F) {
	data, _ := json.Marshal(document(1))
	f.Add(data)
	f.Add([]byte(`{"services":[{}],"x":[{"y":[]}],"accounts":{"a":[1,{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, faults := config.Decode(data)
		if len(faults) > 0 {
			return
		}
		again, err := json.Marshal(doc)
		require.NoError(t, err)
		_, faults = config.Decode(again)
		require.Empty(t, faults)
	})
}

// genDocument draws IDs from a small set, so that two documents have some in
// common.
func genDocument(t *rapid.T, label string) config.Document {
	id := rapid.StringMatching("[a-f]")
	doc := config.Document{Version: rapid.Int64Range(1, 9).Draw(t, label)}
	for _, a := range rapid.SliceOfDistinct(id, rapid.ID).Draw(t, "accounts") {
		doc.Accounts = append(doc.Accounts, config.Account{ID: a, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Keys: rapid.SliceOfN(id, 0, 2).Draw(t, "keys")})
	}
	for _, s := range rapid.SliceOfDistinct(id, rapid.ID).Draw(t, "services") {
		doc.Services = append(doc.Services, config.Service{ID: s, Max: rapid.IntRange(0, 2).Draw(t, "max")})
	}
	for _, e := range rapid.SliceOfDistinct(id, rapid.ID).Draw(t, "endpoints") {
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{ID: e, Drain: rapid.Bool().Draw(t, "drain"), Models: rapid.SliceOfN(id, 0, 1).Draw(t, "models")})
	}
	doc.Secrets = rapid.SliceOfN(id, 1, 2).Draw(t, "secrets")
	return config.Canonical(doc)
}

// Guards against a delta whose application does not result in the new document,
// so that entries would have different documents of one version.
func TestDeltaLeadsToNewDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := genDocument(t, "old"), genDocument(t, "new")
		data, err := json.Marshal(config.Diff(old, next))
		require.NoError(t, err)
		var d config.Delta
		require.NoError(t, json.Unmarshal(data, &d))
		require.Equal(t, next, config.Apply(old, d))
	})
}

// Guards against an operator who overwrites a change made by another in the
// meantime.
func TestChangeOnOldBase(t *testing.T) {
	var m platform.Memory
	ctx := t.Context()
	s := &config.Store{Platform: m.Platform()}
	_, err := s.Change(ctx, 0, replace(document(2)), "ann")
	require.NoError(t, err)
	v, err := s.Change(ctx, 1, setRank("account-00000", 3), "ben")
	require.NoError(t, err)
	require.EqualValues(t, 2, v)
	_, err = s.Change(ctx, 1, setRank("account-00000", 4), "ann")
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 2, conflict.Version)
	require.Equal(t, "ben", conflict.Changes[0].Who)
	require.Equal(t, 3, conflict.Changes[0].Accounts.Put[0].Rank)
	_, err = s.Change(ctx, 2, func(d *config.Document) error { d.Secrets = nil; return nil }, "ann")
	var faulty *config.FaultError
	require.ErrorAs(t, err, &faulty)
}

// Guards against deltas that are deleted before a snapshot replaces them, delta
// rows that accumulate, and a change that is too large for a row.
func TestSnapshotsReplaceDeltas(t *testing.T) {
	var m platform.Memory
	ctx := t.Context()
	s := &config.Store{Platform: m.Platform()}
	_, err := s.Change(ctx, 0, replace(document(1000)), "ann")
	require.NoError(t, err)
	for v := int64(1); v < 400; v++ {
		_, err := s.Change(ctx, v, setRank("account-00007", 1+int(v%9)), "ann")
		require.NoError(t, err)
	}
	rows, err := m.Platform().List(ctx, "config/delta/", "", 1000)
	require.NoError(t, err)
	require.Less(t, len(rows), 200)
	fresh := &config.Store{Platform: m.Platform()}
	doc, err := fresh.Load(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 400, doc.Version)
	require.Equal(t, 1+399%9, doc.Accounts[7].Rank)
}

// Guards against a lost answer that is treated as a failure or as a success,
// and against two racing operators who are both told that they made the same
// version.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	m := platform.Memory{Seed: 7}
	ctx := t.Context()
	first := &config.Store{Platform: m.Platform()}
	_, err := first.Change(ctx, 0, replace(document(5)), "ann")
	require.NoError(t, err)
	m.Break(platform.Faults{Lose: 0.5})
	random := rand.New(rand.NewPCG(7, 7))
	lossy := m.Platform()
	lossy.Commit = func(ctx context.Context, ops []platform.Op) error {
		if random.IntN(4) == 0 {
			return platform.ErrUnknown // the request was lost, not the answer
		}
		return m.Platform().Commit(ctx, ops)
	}
	stores := []*config.Store{{Platform: lossy, Pause: noPause}, {Platform: lossy, Pause: noPause}}
	made := map[int64]string{}
	for i := range 400 {
		who := fmt.Sprintf("op-%d", i)
		base := int64(1 + len(made) - random.IntN(2))
		v, err := stores[i%2].Change(ctx, base, setRank("account-00001", 1+i%9), who)
		var conflict *config.ConflictError
		switch {
		case err == nil && v == base: // the rank was set already
		case err == nil:
			require.Empty(t, made[v], "version %d made twice", v)
			made[v] = who
		case errors.Is(err, platform.ErrUnknown):
			// The outcome is unknown; the delta row shows who made the version.
			if d, err := first.Deltas(ctx, base, base+1); err == nil && d[0].Who == who {
				made[base+1] = who
			}
		default:
			require.ErrorAs(t, err, &conflict)
		}
	}
	doc, err := first.Load(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1+len(made), doc.Version)
	deltas, err := first.Deltas(ctx, doc.Version-20, doc.Version)
	require.NoError(t, err)
	for _, d := range deltas {
		require.Equal(t, made[d.Version], d.Who)
	}
}

// Guards against a change that counts as accepted while a suspected entry still
// has the old version, and against one that waits for an entry that has gone.
func TestTrackerSet(t *testing.T) {
	var tr config.Tracker
	tr.Observe("a", "b", "c", "new")
	tr.OnInstanceList([]string{"a", "b", "c"})
	tr.Ack("a", 5)
	tr.Ack("stranger", 4)
	tr.Observe("a") // b and c are only suspected
	require.Equal(t, []string{"b", "c", "new"}, tr.Pending(5))
	tr.OnInstanceList([]string{"a", "c"})
	tr.Observe("b") // gossip still reports it as alive
	tr.Remove("c")
	tr.Ack("c", 4)
	require.Equal(t, []string{"new"}, tr.Pending(5))
	tr.Ack("new", 6)
	tr.Ack("new", 2)
	require.Empty(t, tr.Wait(context.Background(), 6-1))
	require.Equal(t, []string{"a"}, tr.Pending(6))
}

// Guards against a stale entry that reports itself as up to date, and against a
// version that decreases because of a lagging replica, a late peer or a forked
// document.
func TestHolderNeverReverts(t *testing.T) {
	var m platform.Memory
	ctx := t.Context()
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	var violations []string
	h := &config.Holder{Store: &config.Store{Platform: m.Platform(), Now: clock}, Now: clock, Seed: 1, Violation: func(s string) { violations = append(violations, s) }}
	m.Break(platform.Faults{Down: true})
	h.Step(ctx)
	require.Nil(t, h.Current(), "no version may be in force before the head was read")
	m.Break(platform.Faults{})
	now = now.Add(time.Second)
	h.Step(ctx)
	require.EqualValues(t, 0, h.Current().Document.Version)
	for v := range int64(3) {
		edit := replace(document(1 + int(v)))
		_, err := h.Change(ctx, v, edit, "ann")
		require.NoError(t, err)
	}
	old := &config.Holder{Store: h.Store, Now: clock}
	h.OnPayload("peer", old.Payload())
	require.EqualValues(t, 3, h.Evidence().Version)
	require.False(t, h.Stale(now.Add(config.StaleAfter)))
	require.True(t, h.Stale(now.Add(config.StaleAfter+time.Millisecond)))

	// The replica that is read lags at version 1, while a peer reports version 9.
	healthy := h.Store.Platform
	h.Store = &config.Store{Now: clock, Platform: healthy}
	h.Store.Platform.Get = func(ctx context.Context, key string) (platform.Row, error) {
		row, err := healthy.Get(ctx, key)
		row.Value = []byte(`{"version":1}`)
		return row, err
	}
	ahead := &config.Holder{Store: &config.Store{Platform: platform.Platform{Get: func(context.Context, string) (platform.Row, error) {
		return platform.Row{Version: 9, Value: []byte(`{"version":9}`)}, nil
	}, List: func(context.Context, string, string, int) ([]platform.Row, error) { return nil, nil }}}, Now: clock}
	now = now.Add(5 * time.Second)
	ahead.Step(ctx)
	h.OnPayload("peer", ahead.Payload())
	now = now.Add(3 * time.Second)
	h.Step(ctx)
	require.True(t, h.Stale(now.Add(2*time.Second)), "a newer version is known and not in force")
	require.EqualValues(t, 3, h.Current().Document.Version)
	require.Empty(t, violations)

	var other platform.Memory
	h = &config.Holder{Store: &config.Store{Platform: healthy, Now: clock}, Now: clock, Violation: h.Violation}
	h.Step(ctx)
	fork := &config.Holder{Store: &config.Store{Platform: other.Platform(), Now: clock}, Now: clock}
	for v := range int64(3) {
		_, err := fork.Change(ctx, v, replace(document(10+int(v))), "eve")
		require.NoError(t, err)
	}
	h.OnPayload("eve", fork.Payload())
	require.Len(t, violations, 1)
	require.EqualValues(t, 3, len(h.Current().Document.Accounts))
}

// Guards against an entry that cannot start while the store is down, although a
// peer has fresh evidence and the document. Evidence older than StaleAfter must
// not be enough.
func TestStartFromPeer(t *testing.T) {
	var m platform.Memory
	ctx := t.Context()
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	a := &config.Holder{Store: &config.Store{Platform: m.Platform()}, Now: clock}
	_, err := a.Change(ctx, 0, replace(document(3)), "ann")
	require.NoError(t, err)
	m.Break(platform.Faults{Down: true})
	fetch := func(_ context.Context, peer string, after int64) ([]config.Delta, error) {
		if peer != "a" {
			return nil, errors.New("wrong peer")
		}
		return a.Deltas(after)
	}
	b := &config.Holder{Store: &config.Store{Platform: m.Platform()}, Now: clock, Fetch: fetch}
	b.Step(ctx)
	require.Nil(t, b.Current())
	b.OnPayload("a", a.Payload())
	b.Step(ctx)
	require.Equal(t, a.Current().Document, b.Current().Document)
	require.True(t, slices.Equal(a.Payload(), b.Payload()))
	now = now.Add(config.StaleAfter + time.Millisecond)
	late := &config.Holder{Store: b.Store, Now: clock, Fetch: fetch}
	late.OnPayload("a", a.Payload())
	late.Step(ctx)
	require.Nil(t, late.Current(), "the peer's evidence is too old to start from")
}
