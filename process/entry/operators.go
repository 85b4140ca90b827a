package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/operator"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	// OperatorRequest is the body of POST /v1/operator: one statement of the
	// operators' language.
	OperatorRequest struct {
		Text string `json:"text"`
	}

	// OperatorLine is one line of the response to POST /v1/operator. All lines but the
	// last report progress; the last one holds the answer or an error.
	OperatorLine struct {
		Progress string           `json:"progress,omitempty"`
		Answer   *operator.Answer `json:"answer,omitempty"`
		Error    string           `json:"error,omitempty"`
	}

	// operatorCalls is the net/rpc service for operators' statements.
	operatorCalls struct{ e *Entry }

	// TableQuery holds a query encoded as JSON for a call between entries. The
	// query itself cannot be sent, because gob rejects its nil pointers.
	TableQuery struct{ JSON []byte }
)

func (e *Entry) operatorRoutes(router *httprouter.Router) {
	router.POST("/v1/operator", e.operate)
}

// operate handles POST /v1/operator: it runs one statement of the operators'
// language and responds with a stream of JSON lines.
func (e *Entry) operate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, err := e.authenticate(r)
	if err == nil && !c.account.Operator {
		err = refusal.New(refusal.Forbidden, refusal.NotRun, "account is not an operator's")
	}
	if err != nil {
		e.refuse(w, err)
		return
	}
	var q OperatorRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		e.refuse(w, refusal.New(refusal.BadRequest, refusal.NotRun, "body must be {\"text\": \"...\"}: "+err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	line := func(l OperatorLine) {
		if err := json.NewEncoder(w).Encode(l); err == nil {
			_ = control.Flush()
		}
	}
	who := c.account.ID + "/" + c.caller
	answer, err := e.operators.Run(r.Context(), who, q.Text, func(text string) { line(OperatorLine{Progress: text}) })
	if err != nil {
		line(OperatorLine{Error: err.Error()})
		return
	}
	line(OperatorLine{Answer: &answer})
}

func (e *Entry) newOperators() {
	e.operators = &operator.Executor{
		Sources: operator.Sources{
			Entry: e.id, Streams: e.showStreams, Endpoints: e.showEndpoints, Accounts: e.showAccounts,
			Entries: e.showEntries, Services: e.showServices, Versions: e.showVersions, Pending: e.showPending,
			Leases: e.showLeases, Routes: e.showRoutes, Limits: e.showLimits,
		},
		Entries: func() []string {
			var ids []string
			for _, m := range e.members.Members() {
				ids = append(ids, m.ID)
			}
			return ids
		},
		Ask:      e.queryTable,
		Document: func() *config.Document { return &e.config().Document },
		Edit:     e.edit,
		Overlay:  e.editOverlay,
		Cancel:   e.cancelAt,
		Pending:  e.pending, Unsettled: e.unsettled,
		History: e.history,
		Rebase:  true, Log: e.Log, Now: e.Now,
	}
}

// edit changes the configuration, based on the version in force at this entry.
// It returns the new version, or operator.ErrConflict if that version is no
// longer the newest.
func (e *Entry) edit(ctx context.Context, who string, change func(*config.Document) error) (int64, error) {
	version, err := e.holder.Change(ctx, e.version(), change, who)
	if err == nil {
		e.rereadRegistered(version)
	}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return 0, errors.Mark(err, operator.ErrConflict)
	}
	return version, err
}

// history returns the changes after a version, for an operator whose change
// conflicted with them.
func (e *Entry) history(after int64) []operator.Change {
	deltas, err := e.holder.Deltas(after)
	if err != nil {
		return nil
	}
	list := make([]operator.Change, 0, len(deltas))
	for _, d := range deltas {
		list = append(list, operator.Change{Version: d.Version, Who: d.Who, Text: changedNames(d), At: d.Time})
	}
	return list
}

// changedNames returns the objects that a delta changes or removes, separated
// by commas.
func changedNames(d config.Delta) string {
	var names []string
	for _, a := range d.Accounts.Put {
		names = append(names, "account "+a.ID)
	}
	for _, s := range d.Services.Put {
		names = append(names, "service "+s.ID)
	}
	for _, endpoint := range d.Endpoints.Put {
		names = append(names, "endpoint "+endpoint.ID)
	}
	for _, entry := range d.Entries.Put {
		names = append(names, "entry "+entry.ID)
	}
	for _, dropped := range [][]string{d.Accounts.Drop, d.Services.Drop, d.Endpoints.Drop, d.Entries.Drop} {
		for _, id := range dropped {
			names = append(names, "removed "+id)
		}
	}
	return strings.Join(names, ", ")
}

// editOverlay changes the pins and the drained entries, which are stored in the
// configuration.
func (e *Entry) editOverlay(ctx context.Context, who string, change func(*operator.Overlay) error) (int64, error) {
	return e.edit(ctx, who, func(doc *config.Document) error {
		var o operator.Overlay
		for _, a := range doc.Accounts {
			if a.Pin != "" {
				o.Pins = append(o.Pins, operator.Pin{Account: a.ID, Entry: a.Pin})
			}
		}
		for _, entry := range doc.Entries {
			if entry.Drain {
				o.Drained = append(o.Drained, entry.ID)
			}
		}
		if err := change(&o); err != nil {
			return err
		}
		applyOverlay(doc, o)
		return nil
	})
}

// applyOverlay replaces the pins and the drained entries of doc.
func applyOverlay(doc *config.Document, o operator.Overlay) {
	pins := map[string]string{}
	for _, p := range o.Pins {
		pins[p.Account] = p.Entry
	}
	accounts := make([]config.Account, len(doc.Accounts))
	for i, a := range doc.Accounts {
		a.Pin = pins[a.ID]
		accounts[i] = a
	}
	doc.Accounts = accounts
	doc.Entries = nil
	for _, id := range o.Drained {
		doc.Entries = append(doc.Entries, config.Entry{ID: id, Drain: true})
	}
}

// queryTable sends a query to another entry and returns the rows of that entry.
func (e *Entry) queryTable(ctx context.Context, id string, q operator.Query) (operator.Table, error) {
	var table operator.Table
	addr, ok := e.peerAddr(id)
	if !ok {
		return table, fmt.Errorf("entry %s: %w", id, peer.ErrUnreachable)
	}
	data, err := json.Marshal(q)
	if err != nil {
		return table, fmt.Errorf("encode query: %w", err)
	}
	err = e.callPeer(ctx, addr, "Operator.Ask", TableQuery{JSON: data}, &table)
	return table, err
}

// Ask evaluates a query on the relations of this entry.
func (c *operatorCalls) Ask(args TableQuery, reply *operator.Table) (err error) {
	defer peer.Recover(c.e.Log, &err)
	var q operator.Query
	if err := json.Unmarshal(args.JSON, &q); err != nil {
		return fmt.Errorf("decode query: %w", err)
	}
	table, err := c.e.operators.Sources.Answer(q)
	*reply = table
	return err
}

// cancelAt cancels a request in flight on an entry and reports whether it was
// found there.
func (e *Entry) cancelAt(ctx context.Context, id, stream string) (bool, error) {
	if id == e.id {
		return e.inFlight.cancel(stream), nil
	}
	addr, ok := e.peerAddr(id)
	if !ok {
		return false, fmt.Errorf("entry %s: %w", id, peer.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var found bool
	err := e.callPeer(ctx, addr, "Operator.Cancel", stream, &found)
	return found, err
}

// Cancel cancels a request in flight on this entry and replies whether it was
// found.
func (c *operatorCalls) Cancel(stream string, reply *bool) (err error) {
	defer peer.Recover(c.e.Log, &err)
	*reply = c.e.inFlight.cancel(stream)
	return nil
}

// age returns the time elapsed since a point in time as a cell of a table.
func (e *Entry) age(since time.Time) operator.Value { return operator.DurationOf(e.now().Sub(since)) }
