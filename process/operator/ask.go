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
	missing := d.each(ctx, func(ctx context.Context, entry string) error {
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

// each calls f for all entries, some at once, and names those that failed or
// did not answer in time.
func (d *Desk) each(ctx context.Context, f func(ctx context.Context, entry string) error) []string {
	timeout := d.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, maxQuery)
	defer cancel()
	var mu sync.Mutex
	var missing []string
	p := pool.New().WithMaxGoroutines(maxAsk)
	for _, entry := range d.entries() {
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

// cancel ends a stream on whichever entry has it. Entries that did not answer
// may have it, so it is reported as pending on them if nobody else had it.
func (d *Desk) cancel(ctx context.Context, s *Statement) (Answer, error) {
	if d.Cancel == nil {
		return Answer{}, notOffered("cancel")
	}
	stream := s.Cancel.Stream
	if s.Wait != nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.waitOf(s))
		defer stop()
	}
	var mu sync.Mutex
	var found []string
	missing := d.each(ctx, func(ctx context.Context, entry string) error {
		ok, err := d.Cancel(ctx, entry, stream.Text)
		if ok && err == nil {
			mu.Lock()
			defer mu.Unlock()
			found = append(found, entry)
		}
		return err
	})
	switch {
	case len(found) > 0:
		return Answer{Text: "stream " + stream.Text + " cancelled on entry " + found[0]}, nil
	case len(missing) > 0:
		return Answer{Text: "stream " + stream.Text + " not found on the entries that answered", Pending: &Pending{Entries: missing}}, nil
	default:
		return Answer{}, errorAt(BadName, s.Text, stream.Pos.Offset, "no stream is named %q", stream.Text)
	}
}
