package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// fixture is an Executor with a document in memory, a list of entries that lack
// the newest version, and a clock.
type fixture struct {
	Executor
	mu      sync.Mutex
	doc     *config.Document
	overlay Overlay
	history []Change
	pending []string
	clock   time.Time
	log     bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{clock: time.Unix(1_000_000, 0), doc: &config.Document{
		Version: 41,
		Accounts: []config.Account{
			{ID: "acme", Keys: []string{"aa11bb22", "aa11cc33"}, Rank: 1},
			{ID: "7", Keys: []string{"dd44"}},
		},
		Services: []config.Service{
			{ID: "chat", Kind: config.KindEngine, Model: "llama"},
			{ID: "code", Kind: config.KindEngine},
			{ID: "files", Kind: config.KindPlain},
		},
		Endpoints: []config.Endpoint{
			{ID: "e1", Service: "chat", Place: "p1"},
			{ID: "e2", Service: "chat", Place: "p1", Models: []string{"llama", "code"}},
			{ID: "f1", Service: "files", Place: "p2"},
		},
	}}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(&f.log)
	f.Executor = Executor{
		Sources: Sources{Entry: "n1"},
		Entries: func() []string { return []string{"n1", "n2", "n3"} },
		Document: func() *config.Document {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.doc
		},
		Edit:    f.edit,
		Overlay: f.editOverlay,
		Pending: func(int64) []string { return f.pending },
		History: func(after int64) []Change {
			return slices.DeleteFunc(slices.Clone(f.history), func(c Change) bool { return c.Version <= after })
		},
		Log: log, Now: f.now, Poll: time.Millisecond,
	}
	return f
}

// now advances the clock by 1 s at each call.
func (f *fixture) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = f.clock.Add(time.Second)
	return f.clock
}

func (f *fixture) edit(_ context.Context, who string, change func(*config.Document) error) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	doc := *f.doc
	if err := change(&doc); err != nil {
		return 0, err
	}
	doc.Version++
	f.doc = &doc
	f.history = append(f.history, Change{Version: doc.Version, Who: who, Text: "a change"})
	return doc.Version, nil
}

func (f *fixture) editOverlay(_ context.Context, _ string, change func(*Overlay) error) (int64, error) {
	if err := change(&f.overlay); err != nil {
		return 0, err
	}
	return 42, nil
}

// Guards against a command whose change differs from its answer, and against one
// that modifies a document which is already installed.
func TestCommandsEditTheDocument(t *testing.T) {
	for _, c := range []struct {
		text, want string
		check      func(d *config.Document) bool
	}{
		{`drain endpoint e1`, "endpoint e1 drains", func(d *config.Document) bool { return d.Endpoints[0].Drain && !d.Endpoints[1].Drain }},
		{`drain place p1`, "e2 drains", func(d *config.Document) bool {
			return d.Endpoints[0].Drain && d.Endpoints[1].Drain && !d.Endpoints[2].Drain
		}},
		{`undrain endpoint e1`, "nothing to change", func(d *config.Document) bool { return d.Version == 41 }},
		{`set account acme rank 3`, "rank 3 (was 1)", func(d *config.Document) bool { return d.Accounts[0].Rank == 3 }},
		{`set account 7 limit rate 0.5`, "rate 0.5 (was 0)", func(d *config.Document) bool { return d.Accounts[1].Limit == config.Limit{Rate: 0.5} }},
		{`set account 7 limit tokens 9`, "tokens 9", func(d *config.Document) bool { return d.Accounts[1].Limit == config.Limit{Tokens: 9} }},
		{`set service chat weight gap 2`, "weight gap 2", func(d *config.Document) bool {
			return d.Services[0].Weights == config.Weights{Stall: 1, Gap: 2, Preempt: 1}
		}},
		{`set service chat policy current`, "nothing to change", func(d *config.Document) bool { return d.Version == 41 }},
		{`set service chat policy twochoice`, "was current", func(d *config.Document) bool { return d.Services[0].Policy == "twochoice" }},
		{`load model code on e1`, "loads model code", func(d *config.Document) bool { return slices.Equal(d.Endpoints[0].Models, []string{"llama", "code"}) }},
		{`unload model code on e2`, "unloads model code", func(d *config.Document) bool { return slices.Equal(d.Endpoints[1].Models, []string{"llama"}) }},
		{`revoke account acme key AA11B`, "loses key aa11bb22", func(d *config.Document) bool { return slices.Equal(d.Accounts[0].Keys, []string{"aa11cc33"}) }},
	} {
		f := newFixture()
		installed := f.doc
		before, err := json.Marshal(installed)
		require.NoError(t, err)
		answer, err := f.Run(t.Context(), "ann", c.text, nil)
		require.NoError(t, err, c.text)
		require.Contains(t, answer.Text, c.want, c.text)
		require.Nil(t, answer.Pending)
		require.Equal(t, f.doc.Version, answer.Version)
		require.True(t, c.check(f.doc), "%s: %+v", c.text, f.doc)
		after, err := json.Marshal(installed)
		require.NoError(t, err)
		require.Equal(t, string(before), string(after), c.text)
	}
}

// Guards against a change that contradicts the configuration, and against an
// error for a misspelt name that lacks the nearest existing one.
func TestCommandsAreChecked(t *testing.T) {
	for _, c := range []struct {
		text, at, nearest string
		kind              ErrorKind
	}{
		{`drain endpoint e11`, "e11", "e1", BadName},
		{`drain endpoint 1e`, "1e", "e1", BadName},
		{`drain place p9`, "p9", "p1", BadName},
		{`drain entry n4`, "n4", "n1", BadName},
		{`move account acne to n1`, "acne", "acme", BadName},
		{`move account acme to m2`, "m2", "n2", BadName},
		{`set service chta policy current`, "chta", "chat", BadName},
		{`load model lama on e1`, "lama", "llama", BadName},
		{`load model llama on f1`, "f1", "", BadState},
		{`unload model llama on e1`, "llama", "", BadState},
		{`unload model llama on e2`, "llama", "", BadState},
		{`revoke account acme key aa11`, "aa11", "", BadName},
		{`revoke account acme key aa1`, "aa1", "", BadValue},
		{`revoke account 7 key dd44`, "dd44", "", BadState},
		{`cancel stream s1`, "", "", NotOffered},
	} {
		f := newFixture()
		_, err := f.Run(t.Context(), "ann", c.text, nil)
		var e *Error
		require.True(t, errors.As(err, &e), "%s: %v", c.text, err)
		require.Equal(t, c.kind, e.Kind, c.text)
		require.Equal(t, c.nearest, e.Nearest, c.text)
		if c.at != "" {
			require.Equal(t, strings.LastIndex(c.text, c.at)+1, e.Column, c.text)
		}
		require.EqualValues(t, 41, f.doc.Version)
		require.Contains(t, f.log.String(), "operator command", "a rejected command is logged too")
	}
}

// Guards against a command that returns before it is in force, whose answer omits
// the entries and endpoints that lack it, or that is not logged.
func TestCommandWaitsAndNamesThePending(t *testing.T) {
	f := newFixture()
	f.pending = []string{"n3", "n2"}
	f.Unsettled = func(endpoints []string) []string { return endpoints }
	var lines []string
	answer, err := f.Run(t.Context(), "ann", "drain endpoint e1 wait 4s", func(line string) {
		lines = append(lines, line)
		if len(lines) == 2 {
			f.pending = []string{"n3"}
		}
	})
	require.NoError(t, err)
	require.Equal(t, &Pending{Version: 42, Entries: []string{"n3"}, Endpoints: []string{"e1"}}, answer.Pending)
	require.Len(t, lines, 3, "the change, then both pending entries, then the last one: %v", lines)
	var line struct{ Who, Text, Result, At string }
	require.NoError(t, json.Unmarshal(f.log.Bytes(), &line))
	require.Equal(t, "ann", line.Who)
	require.Equal(t, "drain endpoint e1 wait 4s", line.Text)
	require.Contains(t, line.Result, "version 42 not in force on entries n3")
	require.NotEmpty(t, line.At)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	answer, err = f.Run(ctx, "ann", "undrain endpoint e1", nil)
	require.NoError(t, err)
	require.NotNil(t, answer.Pending, "a caller whose context ended still receives the pending names")
}

// Guards against a second operator's change that silently reverts the first one,
// and against a conflict that does not name who wrote first.
func TestConflictNamesTheWinner(t *testing.T) {
	race := func(f *fixture, theirs string) {
		edit := f.Edit
		f.Edit = func(ctx context.Context, who string, change func(*config.Document) error) (int64, error) {
			f.Edit = edit
			_, err := f.Run(ctx, "bob", theirs, nil)
			require.NoError(t, err)
			return edit(ctx, who, change)
		}
	}
	f := newFixture()
	race(f, "set account acme rank 5")
	_, err := f.Run(t.Context(), "ann", "set account acme rank 3", nil)
	var c *Conflict
	require.True(t, errors.As(err, &c), "%v", err)
	require.ErrorIs(t, err, ErrConflict)
	require.Equal(t, []string{"account acme rank: 1, now 5"}, c.Changed)
	require.Equal(t, "bob", c.Winners[0].Who)
	require.Equal(t, 5, f.doc.Accounts[0].Rank)

	_, err = f.Run(t.Context(), "ann", "set account acme rank 3 at 41", nil)
	require.ErrorIs(t, err, ErrConflict)

	f = newFixture()
	f.Edit = func(context.Context, string, func(*config.Document) error) (int64, error) {
		f.doc = &config.Document{Version: 44, Secrets: []string{"hidden"}}
		return 0, errors.Wrap(ErrConflict, "conditional write")
	}
	_, err = f.Run(t.Context(), "ann", "drain place p1", nil)
	require.True(t, errors.As(err, &c), "%v", err)
	require.EqualValues(t, 44, c.Now)
	require.Contains(t, c.Changed, "endpoint e1 removed")
	require.Contains(t, c.Changed, "secrets")
	require.NotContains(t, c.Error(), "hidden")

	require.Contains(t, c.Error(), "conditional write")

	for theirs, ok := range map[string]bool{"set account 7 rank 2": true, "drain endpoint e1": false} {
		f = newFixture()
		f.Rebase = true
		race(f, theirs)
		_, err = f.Run(t.Context(), "ann", "load model code on e1", nil)
		require.Equal(t, ok, err == nil, "%s: %v", theirs, err)
	}
}

// Guards against a command that fails because an unrelated change, which this
// entry had not received, was written first, and against a command that
// overwrites a related change in the same situation.
func TestRebaseAfterRejectedWrite(t *testing.T) {
	for _, c := range []struct {
		mine, theirs string
		ok           bool
	}{
		{"set account acme rank 3", "set account 7 rank 2", true},
		{"set account acme rank 3", "set account acme rank 2", false},
		{"set account acme rank 3 at 41", "set account 7 rank 2", false},
		{"move account acme to n2", "move account 7 to n1", true},
		{"move account acme to n2", "move account acme to n1", false},
	} {
		f := newFixture()
		f.Rebase = true
		edit, overlay := f.Edit, f.Overlay
		first := func(ctx context.Context) error {
			f.Edit, f.Overlay = edit, overlay
			_, err := f.Run(ctx, "bob", c.theirs, nil)
			require.NoError(t, err)
			return errors.Wrap(ErrConflict, "conditional write")
		}
		f.Edit = func(ctx context.Context, _ string, change func(*config.Document) error) (int64, error) {
			doc := *f.doc
			require.NoError(t, change(&doc))
			return 0, first(ctx)
		}
		f.Overlay = func(ctx context.Context, _ string, change func(*Overlay) error) (int64, error) {
			require.NoError(t, change(&Overlay{}))
			err := first(ctx)
			_, _ = f.edit(ctx, "bob", func(*config.Document) error { return nil })
			return 0, err
		}
		_, err := f.Run(t.Context(), "ann", c.mine, nil)
		require.Equal(t, c.ok, err == nil, "%s: %v", c.mine, err)
		require.Equal(t, c.ok, !errors.Is(err, ErrConflict), c.mine)
	}
}

// Guards against a retry that ends before this entry has received the version
// that was written first.
func TestRebaseWaitsForTheNewerVersion(t *testing.T) {
	f := newFixture()
	f.Rebase = true
	seen, reads, edit := f.doc, 0, f.Edit
	_, err := f.edit(t.Context(), "bob", func(doc *config.Document) error { doc.Secrets = nil; return nil })
	require.NoError(t, err)
	f.Document = func() *config.Document {
		if reads++; reads < 20 {
			return seen
		}
		return f.doc
	}
	f.Now = func() time.Time { return f.clock }
	f.Edit = func(ctx context.Context, who string, change func(*config.Document) error) (int64, error) {
		if reads < 20 {
			doc := *seen
			require.NoError(t, change(&doc))
			return 0, ErrConflict
		}
		return edit(ctx, who, change)
	}
	answer, err := f.Run(t.Context(), "ann", "drain endpoint e1", nil)
	require.NoError(t, err)
	require.EqualValues(t, 43, answer.Version)
}

// Guards against a statement or topic that has no help text.
func TestHelp(t *testing.T) {
	f := newFixture()
	f.Sources.Streams = func() Table { return Table{Columns: []Column{{"id", Text}}} }
	answer, err := f.Run(t.Context(), "ann", "help", nil)
	require.NoError(t, err)
	for _, verb := range verbs {
		require.Contains(t, answer.Text, verb)
		require.NotEmpty(t, usageOf(verb), verb)
	}
	for _, topic := range topicNames() {
		answer, err := f.Run(t.Context(), "ann", "help "+topic, nil)
		require.NoError(t, err)
		require.NotEmpty(t, answer.Text)
	}
	answer, err = f.Run(t.Context(), "ann", "help streams", nil)
	require.NoError(t, err)
	require.Contains(t, answer.Text, "entry (text) id (text)")
	_, err = f.Run(t.Context(), "ann", "help strems", nil)
	require.ErrorContains(t, err, `did you mean "streams"?`)
}

// Guards against pins and drains of entries that are lost, and against draining
// the last entry.
func TestOverlay(t *testing.T) {
	f := newFixture()
	for _, text := range []string{"move account acme to n2", "move account acme to n3", "drain entry n1", "drain entry n2", "undrain entry n1", "drain entry n1"} {
		_, err := f.Run(t.Context(), "ann", text, nil)
		require.NoError(t, err, text)
	}
	require.Equal(t, Overlay{Pins: []Pin{{"acme", "n3"}}, Drained: []string{"n2", "n1"}}, f.overlay)
	_, err := f.Run(t.Context(), "ann", "drain entry n3", nil)
	require.ErrorContains(t, err, "last one")
}

// Guards against a stream that is reported as missing while an entry that may
// have it did not answer, and against tables that omit which entries did not
// answer.
func TestFanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		own := Table{Columns: []Column{{"id", Text}, {"tokens", Number}}, Rows: [][]Value{{TextOf("s1"), NumberOf(5)}, {TextOf("s2"), NumberOf(7)}}}
		f.Sources.Streams = func() Table { return own }
		f.Ask = func(ctx context.Context, entry string, q Query) (Table, error) {
			if entry == "n3" {
				<-ctx.Done()
				return Table{}, ctx.Err()
			}
			return Sources{Entry: entry, Streams: func() Table { return own }}.Answer(q)
		}
		f.Timeout = 10 * time.Millisecond
		answer, err := f.Run(t.Context(), "ann", "show streams where tokens > 5 or entry = n2 order by tokens desc, entry limit 3", nil)
		require.NoError(t, err)
		var b bytes.Buffer
		require.NoError(t, Write(&b, *answer.Table))
		require.Equal(t, "entry  id  tokens\nn1     s2       7\nn2     s2       7\nn2     s1       5\n(3 rows)\nno answer from: n3\n", b.String())

		_, err = f.Run(t.Context(), "ann", "show streams where tokns > 5", nil)
		require.ErrorContains(t, err, "did you mean \"tokens\"?\n  show streams where tokns > 5\n                     ^")

		has := "n2"
		f.Cancel = func(_ context.Context, entry, _ string) (bool, error) {
			if entry == "n3" {
				return false, context.DeadlineExceeded
			}
			return entry == has, nil
		}
		answer, err = f.Run(t.Context(), "ann", "cancel stream s1", nil)
		require.NoError(t, err)
		require.Nil(t, answer.Pending)
		has = ""
		answer, err = f.Run(t.Context(), "ann", "cancel stream s1", nil)
		require.NoError(t, err)
		require.Equal(t, []string{"n3"}, answer.Pending.Entries)

		calls := 0
		f.Cancel = func(_ context.Context, entry, _ string) (bool, error) {
			if entry != "n3" {
				return false, nil
			}
			if calls++; calls < 3 {
				return false, context.DeadlineExceeded
			}
			return true, nil
		}
		answer, err = f.Run(t.Context(), "ann", "cancel stream s1 wait 1m", nil)
		require.NoError(t, err)
		require.Nil(t, answer.Pending)
		require.Contains(t, answer.Text, "entry n3")
		f.Cancel = func(context.Context, string, string) (bool, error) { return false, nil }
		_, err = f.Run(t.Context(), "ann", "cancel stream s1", nil)
		require.ErrorContains(t, err, "no stream is named")
	})
}
