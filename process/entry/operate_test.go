package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/client"
	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const operateTime = 20 * time.Second // longest wait for a state in these tests

// operators is a system of entries in one region, with links that can be cut.
type operators struct {
	*system.System
	t     *testing.T
	cut   atomic.Bool // entry 0 reaches neither the others nor the store
	first string      // peer address of entry 0
}

func startOperators(t *testing.T, entries int) *operators {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := &operators{t: t}
	var mu sync.Mutex
	o.System = &system.System{
		Places: []system.Place{{Name: "riga-1", Region: "north"}}, Entries: entries, Engines: 2, Plains: 2, Seed: 1, Log: log,
		Prepare: func(i int, e *entry.Entry) {
			mu.Lock()
			defer mu.Unlock()
			if i == 0 {
				o.first = e.Settings.Peer
				e.Platform = o.cuttable(e.Platform)
			}
			first := o.first
			e.Reaches = func(addr string) bool { return !o.cut.Load() || i != 0 && addr != first }
			e.Violation = func(rule, detail string) { t.Errorf("%s: %s", rule, detail) }
		},
	}
	require.NoError(t, o.Start(context.Background()))
	t.Cleanup(o.Close)
	return o
}

// cuttable gives a platform that is down for its user while the links are cut.
func (o *operators) cuttable(p platform.Platform) platform.Platform {
	commit, get, list, instances := p.Commit, p.Get, p.List, p.Instances
	p.Commit = func(ctx context.Context, ops []platform.Op) error {
		if o.cut.Load() {
			return platform.ErrDown
		}
		return commit(ctx, ops)
	}
	p.Get = func(ctx context.Context, key string) (platform.Row, error) {
		if o.cut.Load() {
			return platform.Row{}, platform.ErrDown
		}
		return get(ctx, key)
	}
	p.List = func(ctx context.Context, prefix, after string, n int) ([]platform.Row, error) {
		if o.cut.Load() {
			return nil, platform.ErrDown
		}
		return list(ctx, prefix, after, n)
	}
	p.Instances = func(ctx context.Context) ([]platform.Instance, error) {
		if o.cut.Load() {
			return nil, platform.ErrDown
		}
		return instances(ctx)
	}
	return p
}

// ask runs a statement at entry i and gives the last line of the answer.
func (o *operators) ask(i int, text string) entry.Line {
	body, err := json.Marshal(entry.Question{Text: text})
	require.NoError(o.t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+o.Nodes()[i].Entry.Addr()+"/v1/operator", bytes.NewReader(body))
	require.NoError(o.t, err)
	req.Header.Set("Authorization", "Bearer key-ops")
	req.Header.Set("X-Caller", fmt.Sprintf("operator-%d/secret", i))
	res, err := http.DefaultClient.Do(req)
	require.NoError(o.t, err)
	defer res.Body.Close()
	require.Equal(o.t, http.StatusOK, res.StatusCode)
	var l entry.Line
	for decoder := json.NewDecoder(res.Body); decoder.More(); {
		l = entry.Line{}
		require.NoError(o.t, decoder.Decode(&l))
	}
	return l
}

// cell gives a cell of the first row of a query's answer, or "".
func (o *operators) cell(i int, query, column string) string {
	l := o.ask(i, query)
	require.Empty(o.t, l.Error)
	if len(l.Answer.Table.Rows) == 0 {
		return ""
	}
	return l.Answer.Table.Rows[0][l.Answer.Table.Index(column)].String()
}

func (o *operators) eventually(what string, f func() bool) {
	o.t.Helper()
	require.Eventually(o.t, f, operateTime, 50*time.Millisecond, what)
}

// Guards against two operators at two entries who both believe that their
// change won, and against entries that end with different versions.
func TestRacingOperators(t *testing.T) {
	o := startOperators(t, 2)
	version := o.cell(0, "show versions", "version")
	var wg conc.WaitGroup
	lines := make([]entry.Line, 2)
	for i := range lines {
		wg.Go(func() { lines[i] = o.ask(i, fmt.Sprintf("set account riga rank %d at %s", 3+i, version)) })
	}
	wg.Wait()
	winner := 0
	if lines[0].Error != "" {
		winner = 1
	}
	require.Empty(t, lines[winner].Error)
	require.Nil(t, lines[winner].Answer.Pending)
	require.Contains(t, lines[1-winner].Error, fmt.Sprintf("ops/operator-%d", winner))
	for i := range lines {
		require.Equal(t, fmt.Sprint(3+winner), o.cell(i, "show accounts where account = riga", "rank"))
	}
}

// Guards against a change that is called accepted while an entry lacks it, and
// against an entry that keeps an old version after the links are back.
func TestChangeIsPendingForAnEntryThatIsCutOff(t *testing.T) {
	o := startOperators(t, 3)
	o.eventually("three members", func() bool {
		return len(o.ask(1, "show entries").Answer.Table.Rows) == 3
	})
	o.cut.Store(true)
	l := o.ask(1, "set account riga rank 7 wait 1s")
	require.Empty(t, l.Error)
	require.Equal(t, []string{o.Nodes()[0].Entry.ID()}, l.Answer.Pending.Entries)
	o.eventually("the entry that is cut off says that it is stale", func() bool {
		var h entry.Health
		res, err := http.Get("http://" + o.Nodes()[0].Entry.Addr() + "/v1/health")
		require.NoError(t, err)
		defer res.Body.Close()
		require.NoError(t, json.NewDecoder(res.Body).Decode(&h))
		return h.Stale
	})
	require.NotEmpty(t, o.cell(2, "show pending where kind = entry", "name"))
	o.cut.Store(false)
	o.eventually("nothing pending", func() bool { return o.cell(1, "show pending where kind = entry", "name") == "" })
	require.Equal(t, "7", o.cell(0, "show accounts where account = riga", "rank"))
}

// Guards against commands that are lost without an error while the store is
// down, and against queries that need the store.
func TestCommandsWhileTheStoreIsDown(t *testing.T) {
	o := startOperators(t, 2)
	o.Memory.Break(platform.Faults{Down: true})
	l := o.ask(0, "set account riga rank 2")
	require.Contains(t, l.Error, "table service unavailable")
	require.Equal(t, "0", o.cell(1, "show accounts where account = riga", "rank"))
	o.Memory.Break(platform.Faults{})
	o.eventually("a change after the outage", func() bool { return o.ask(0, "set account riga rank 2").Error == "" })
	require.Equal(t, "2", o.cell(1, "show accounts where account = riga", "rank"))
}

// Guards against a crashed entry that keeps changes pending for good.
func TestCrashedEntryLeavesTheSet(t *testing.T) {
	o := startOperators(t, 3)
	dead := o.Nodes()[2].Entry
	dead.Kill()
	o.Nodes()[2].Stop()
	o.eventually("a change is accepted without the crashed entry", func() bool {
		l := o.ask(0, "set account riga rank 4 wait 3s")
		return l.Error == "" && l.Answer.Pending == nil
	})
	require.False(t, strings.Contains(fmt.Sprint(o.ask(0, "show pending")), dead.ID()))
}

// Guards against a stream that goes on, or begins anew, after an operator
// cancelled it.
func TestOperatorCancelsStream(t *testing.T) {
	o := startOperators(t, 2)
	o.eventually("two members", func() bool { return len(o.ask(1, "show entries").Answer.Table.Rows) == 2 })
	c := &client.Client{Entries: []string{o.Nodes()[0].Entry.Addr()}, Key: "key-riga", Account: "riga", Caller: "ann/1"}
	var n int
	var last error
	for token, err := range c.Complete(context.Background(), client.Prompt{Service: system.Model, Text: "length=2000 a long guide"}) {
		if last = err; err != nil {
			break
		}
		if n = token.N; n == 3 {
			id := o.cell(1, "show streams where account = riga", "stream")
			require.Contains(t, o.ask(1, "cancel stream "+id).Answer.Text, "cancelled")
		}
	}
	require.Equal(t, refusal.Canceled, refusal.From(last).Reason)
	require.Less(t, n, 2000)
	o.eventually("nothing runs", func() bool { return o.cell(0, "show streams", "stream") == "" })
}

// Guards against new work for drained endpoints later than 3 s after the drain
// was accepted, and against a drain that breaks work in flight.
func TestDrainUnderLoad(t *testing.T) {
	o := startOperators(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	l := &load.Runner{
		Entries: o.Addrs(), Accounts: system.Accounts, Model: system.Model, Plain: system.Plain, Runs: o.PlainAddrs(),
		Seed: 1, Pause: 10 * time.Millisecond,
	}
	var report load.Report
	var wg conc.WaitGroup
	wg.Go(func() { report = l.Run(ctx) })
	time.Sleep(time.Second)
	for _, endpoint := range []string{"engine-0", "orders-0"} {
		a := o.ask(0, "drain endpoint "+endpoint)
		require.Empty(t, a.Error)
		require.Nil(t, a.Answer.Pending)
	}
	time.Sleep(3 * time.Second)
	work := func() (n int) {
		for _, b := range o.Endpoints {
			switch b.ID {
			case "engine-0":
				begun, _ := b.Engine.Counts()
				n += begun
			case "orders-0":
				for _, runs := range b.Service.Runs() {
					n += runs
				}
			}
		}
		return n
	}
	before := work()
	require.NotZero(t, before)
	wg.Wait()
	require.Equal(t, before, work(), "work begun on a drained endpoint")
	require.False(t, report.Broken(), report.JSON())
	require.Empty(t, report.Refused, report.JSON())
}
