package entry

import (
	"strings"

	"github.com/eelgrassdock/eelgrassdock/process/operator"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

// columns returns table columns from words of the form "name:kind". The default
// kind is text.
func columns(words ...string) []operator.Column {
	list := make([]operator.Column, len(words))
	for i, word := range words {
		name, kind, ok := strings.Cut(word, ":")
		if !ok {
			kind = string(operator.Text)
		}
		list[i] = operator.Column{Name: name, Kind: operator.Kind(kind)}
	}
	return list
}

// publicName returns a caller's identity without its secret part, which follows
// the first slash.
func publicName(caller string) string {
	name, _, _ := strings.Cut(caller, "/")
	return name
}

func (e *Entry) showStreams() operator.Table {
	t := operator.Table{Columns: columns("stream", "kind", "account", "caller", "service", "endpoint", "tokens:number", "age:duration")}
	for _, a := range e.inFlight.all() {
		endpoint := ""
		if id := a.Endpoint.Load(); id != nil {
			endpoint = *id
		}
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf(a.ID), operator.TextOf(a.Kind), operator.TextOf(a.Account), operator.TextOf(publicName(a.Caller)),
			operator.TextOf(a.Service), operator.TextOf(endpoint), operator.NumberOf(a.Tokens.Load()), e.age(a.Begun),
		})
	}
	return t
}

func (e *Entry) showEndpoints() operator.Table {
	t := operator.Table{Columns: columns("endpoint", "service", "place", "region", "addr", "drain:bool", "leaving:bool",
		"down:bool", "running:number", "waiting:number", "used:number", "total:number", "preempted:number", "models", "waits")}
	seen := map[string]*watch{}
	e.pools.Range(func(_, d any) bool {
		for _, w := range d.(*enginePool).watches() {
			seen[w.endpoint.ID] = w
		}
		return true
	})
	statuses := e.orderStatuses()
	for _, endpoint := range e.config().Document.Endpoints {
		row := []operator.Value{
			operator.TextOf(endpoint.ID), operator.TextOf(endpoint.Service), operator.TextOf(endpoint.Place),
			operator.TextOf(endpoint.Region), operator.TextOf(endpoint.Addr), operator.BoolOf(endpoint.Drain),
		}
		t.Rows = append(t.Rows, append(row, observedCells(seen[endpoint.ID], statuses[endpoint.ID])...))
	}
	return t
}

// observedCells returns the cells of an endpoint's row that come from polls and
// from the reconciliation of orders. Values that are not known stay empty.
func observedCells(w *watch, status order.Status) []operator.Value {
	cells := make([]operator.Value, 9)
	if w != nil {
		cells[0], cells[1] = operator.BoolOf(w.leaving.Load()), operator.BoolOf(w.down.Load())
		if r := w.report.Load(); r != nil {
			cells[2], cells[3] = operator.NumberOf(r.Running), operator.NumberOf(r.Waiting)
			cells[4], cells[5] = operator.NumberOf(r.Used), operator.NumberOf(r.Total)
			cells[6], cells[7] = operator.NumberOf(r.Preempted), operator.TextOf(strings.Join(r.Models, " "))
		}
	}
	if status.Desired.Endpoint != "" {
		cells[8] = operator.TextOf(strings.TrimSpace(status.Waits + " " + status.Error))
	}
	return cells
}

func (e *Entry) showAccounts() operator.Table {
	t := operator.Table{Columns: columns("account", "rank:number", "operator:bool", "pin", "keys:number", "services")}
	for _, a := range e.config().Document.Accounts {
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf(a.ID), operator.NumberOf(a.Rank), operator.BoolOf(a.Operator), operator.TextOf(a.Pin),
			operator.NumberOf(len(a.Keys)), operator.TextOf(strings.Join(a.Services, " ")),
		})
	}
	return t
}

func (e *Entry) showEntries() operator.Table {
	t := operator.Table{Columns: columns("entry", "addr", "peer", "place", "region", "leaving:bool", "drain:bool", "state")}
	drained := e.config().Drained()
	for _, m := range e.members.Members() {
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf(m.ID), operator.TextOf(m.Addr), operator.TextOf(m.RPC), operator.TextOf(m.Place),
			operator.TextOf(m.Region), operator.BoolOf(m.Leaving), operator.BoolOf(drained[m.ID]),
			operator.TextOf(e.members.Status(m.ID).String()),
		})
	}
	return t
}

func (e *Entry) showServices() operator.Table {
	t := operator.Table{Columns: columns("service", "kind", "model", "policy", "stall:number", "gap:number", "preempt:number",
		"strict:bool", "endpoints:number")}
	x := e.config()
	for _, s := range x.Document.Services {
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf(s.ID), operator.TextOf(s.Kind), operator.TextOf(s.Model), operator.TextOf(s.Policy),
			operator.NumberOf(s.Weights.Stall), operator.NumberOf(s.Weights.Gap), operator.NumberOf(s.Weights.Preempt),
			operator.BoolOf(s.Strict), operator.NumberOf(len(x.Endpoints(s.ID))),
		})
	}
	return t
}

func (e *Entry) showVersions() operator.Table {
	evidence := e.holder.Evidence()
	return operator.Table{
		Columns: columns("version:number", "newest:number", "age:duration", "stale:bool"),
		Rows: [][]operator.Value{{
			operator.NumberOf(e.version()), operator.NumberOf(evidence.Version), e.age(evidence.At), operator.BoolOf(e.stale()),
		}},
	}
}

func (e *Entry) showPending() operator.Table {
	t := operator.Table{Columns: columns("kind", "name", "version:number", "waits")}
	for _, id := range e.pending(e.version()) {
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf("entry"), operator.TextOf(id), operator.NumberOf(e.version()), operator.TextOf("has not acknowledged"),
		})
	}
	for _, r := range e.reconcilers {
		for _, s := range r.Status() {
			if s.Settled {
				continue
			}
			t.Rows = append(t.Rows, []operator.Value{
				operator.TextOf("endpoint"), operator.TextOf(s.Desired.Endpoint), operator.NumberOf(e.version()),
				operator.TextOf(strings.TrimSpace(s.Waits + " " + s.Error)),
			})
		}
	}
	return t
}

func (e *Entry) showLeases() operator.Table {
	t := operator.Table{Columns: columns("duty", "fence:number", "left:duration")}
	now := e.now()
	for _, duty := range e.leases.Duties {
		if l, ok := e.leases.Held(duty, now); ok {
			t.Rows = append(t.Rows, []operator.Value{
				operator.TextOf(duty), operator.NumberOf(l.Fence), operator.DurationOf(l.Deadline.Sub(now)),
			})
		}
	}
	return t
}

func (e *Entry) showRoutes() operator.Table {
	t := operator.Table{Columns: columns("service", "method", "path", "idempotent:bool")}
	for _, s := range e.config().Document.Services {
		for _, r := range s.Routes {
			t.Rows = append(t.Rows, []operator.Value{
				operator.TextOf(s.ID), operator.TextOf(r.Method), operator.TextOf(r.Path), operator.BoolOf(r.Idempotent),
			})
		}
	}
	return t
}

func (e *Entry) showLimits() operator.Table {
	t := operator.Table{Columns: columns("account", "rate:number", "burst:number", "active:number", "tokens:number",
		"using:number", "usingtokens:number")}
	for _, a := range e.config().Document.Accounts {
		used := e.borrower.Used(a.ID)
		t.Rows = append(t.Rows, []operator.Value{
			operator.TextOf(a.ID), operator.NumberOf(a.Limit.Rate), operator.NumberOf(a.Limit.Burst),
			operator.NumberOf(a.Limit.Active), operator.NumberOf(a.Limit.Tokens),
			operator.NumberOf(used.Active), operator.NumberOf(used.Tokens),
		})
	}
	return t
}
