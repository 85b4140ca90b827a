package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// maxAsk bounds the entries asked at once. With 500 entries, a third of
	// them silent and 2 s for each, all have been asked after 4 s.
	maxAsk = 128
	// maxQuery bounds a whole query or cancel.
	maxQuery = 6 * time.Second
)

// query answers a query from this entry and, if the relation differs between
// entries, from the others.
func (d *Desk) query(ctx context.Context, s *Statement) (Answer, error) {
	q := *s.Query
	own, err := d.Sources.Answer(q)
	if err != nil {
		return Answer{}, locate(err, s.Text)
	}
	if !slices.Contains(perEntry, q.Relation.Text) || d.Ask == nil {
		return Answer{Table: &own}, nil
	}
	var mu sync.Mutex
	tables := []Table{own}
	missing := d.each(ctx, d.entries(), func(ctx context.Context, entry string) error {
		if entry == d.Sources.Entry {
			return nil
		}
		t, err := d.Ask(ctx, entry, q)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		tables = append(tables, t)
		return nil
	})
	merged := Merge(append(tables, Table{Missing: missing}))
	// Each answer is ordered and limited in itself only.
	q.Where = nil
	out, err := Select(merged, q)
	return Answer{Table: &out}, locate(err, s.Text)
}

// each calls f for the entries, some at once, and names those that failed or
// did not answer in time.
func (d *Desk) each(ctx context.Context, entries []string, f func(ctx context.Context, entry string) error) []string {
	timeout := d.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, maxQuery)
	defer cancel()
	var mu sync.Mutex
	var missing []string
	p := pool.New().WithMaxGoroutines(maxAsk)
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

// cancel ends a stream on whichever entry has it. An entry that does not
// answer may have it, so it is asked again until the wait ends.
func (d *Desk) cancel(ctx context.Context, s *Statement, progress func(string)) (Answer, error) {
	if d.Cancel == nil {
		return Answer{}, notOffered("cancel")
	}
	stream := s.Cancel.Stream
	until := d.now().Add(d.waitOf(s))
	for left := d.entries(); ; {
		found, missing := d.cancelOn(ctx, left, stream.Text)
		switch {
		case found != "":
			return Answer{Text: "stream " + stream.Text + " cancelled on entry " + found}, nil
		case len(missing) == 0:
			return Answer{}, errorAt(BadName, s.Text, stream.Pos.Offset, "no stream is named %q", stream.Text)
		}
		p := &Pending{Entries: missing}
		if len(missing) != len(left) {
			progress(p.String())
		}
		left = missing
		if !d.now().Before(until) || !d.pause(ctx) {
			return Answer{Text: "stream " + stream.Text + " not found on the entries that answered", Pending: p}, nil
		}
	}
}

// cancelOn asks some entries to end a stream. It names one that had it and
// those that did not answer.
func (d *Desk) cancelOn(ctx context.Context, entries []string, stream string) (string, []string) {
	var mu sync.Mutex
	found := ""
	missing := d.each(ctx, entries, func(ctx context.Context, entry string) error {
		ok, err := d.Cancel(ctx, entry, stream)
		if ok && err == nil {
			mu.Lock()
			defer mu.Unlock()
			found = entry
		}
		return err
	})
	return found, missing
}
