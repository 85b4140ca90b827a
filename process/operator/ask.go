package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// maxConcurrentCalls bounds the entries called at the same time. With 500
	// entries, a third of them silent and a timeout of 2 s, all have been called
	// after 4 s.
	maxConcurrentCalls = 128
	// maxQueryTime bounds one round of calls to the entries, for a query or cancel.
	maxQueryTime = 6 * time.Second
)

// query runs a query on this entry and, if the relation differs between
// entries, on all others. It merges the answers.
func (x *Executor) query(ctx context.Context, s *Statement) (Answer, error) {
	q := *s.Query
	table, err := x.Sources.Answer(q)
	if err != nil {
		return Answer{}, addStatement(err, s.Text)
	}
	if !slices.Contains(perEntryRelations, q.Relation.Text) || x.Ask == nil {
		return Answer{Table: &table}, nil
	}
	var mu sync.Mutex
	tables := []Table{table}
	missing := x.forEachEntry(ctx, x.entries(), func(ctx context.Context, entry string) error {
		if entry == x.Sources.Entry {
			return nil
		}
		t, err := x.Ask(ctx, entry, q)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		tables = append(tables, t)
		return nil
	})
	merged := Merge(append(tables, Table{Missing: missing}))
	// Each entry ordered and limited only its own rows, so both are applied
	// again to the merged rows. The condition has been applied already.
	q.Where = nil
	out, err := Select(merged, q)
	return Answer{Table: &out}, addStatement(err, s.Text)
}

// forEachEntry calls f for the entries, up to maxConcurrentCalls at a time, and
// returns the sorted names of those that failed or did not answer in time.
func (x *Executor) forEachEntry(ctx context.Context, entries []string, f func(ctx context.Context, entry string) error) []string {
	timeout := x.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueryTime)
	defer cancel()
	var mu sync.Mutex
	var missing []string
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, entry := range entries {
		p.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if ctx.Err() == nil && f(ctx, entry) == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, entry)
		})
	}
	p.Wait()
	slices.Sort(missing)
	return missing
}

// cancel ends a stream on the entry that serves it. An entry that does not
// answer may be the one, so it is called again until the wait ends.
func (x *Executor) cancel(ctx context.Context, s *Statement, progress func(string)) (Answer, error) {
	if x.Cancel == nil {
		return Answer{}, notOffered("cancel")
	}
	stream := s.Cancel.Stream
	until := x.now().Add(x.waitTime(s))
	for remaining := x.entries(); ; {
		found, missing := x.cancelOn(ctx, remaining, stream.Text)
		switch {
		case found != "":
			return Answer{Text: "stream " + stream.Text + " cancelled on entry " + found}, nil
		case len(missing) == 0:
			return Answer{}, errorAt(BadName, s.Text, stream.Pos.Offset, "no stream is named %q", stream.Text)
		}
		pending := &Pending{Entries: missing}
		if len(missing) != len(remaining) {
			progress(pending.String())
		}
		remaining = missing
		if !x.now().Before(until) || !x.sleepPoll(ctx) {
			return Answer{Text: "stream " + stream.Text + " not found on the entries that answered", Pending: pending}, nil
		}
	}
}

// cancelOn requests the entries to end a stream. It returns the name of an entry
// that had the stream, or "", and the names of those that did not answer.
func (x *Executor) cancelOn(ctx context.Context, entries []string, stream string) (string, []string) {
	var mu sync.Mutex
	found := ""
	missing := x.forEachEntry(ctx, entries, func(ctx context.Context, entry string) error {
		ok, err := x.Cancel(ctx, entry, stream)
		if ok && err == nil {
			mu.Lock()
			defer mu.Unlock()
			found = entry
		}
		return err
	})
	return found, missing
}
