package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	// Executor runs statements on one entry. Its fields are set before use; it is
	// then safe for concurrent use. A nil function means that the statements
	// that need it are refused with a NotOffered error.
	Executor struct {
		// Sources holds this entry's relations.
		Sources Sources
		// Entries returns the names of the live entries, this one included.
		Entries func() []string
		// Ask sends a query to another entry. It returns when ctx ends.
		Ask func(ctx context.Context, entry string, q Query) (Table, error)

		// Document returns the configuration in force on this entry, which is the
		// one that the operator sees.
		Document func() *config.Document
		// Edit applies a change to the newest configuration and writes it on
		// condition that no other version was written in the meantime. Otherwise
		// it returns a *Conflict or another error that matches ErrConflict. An
		// error of the change function is returned unchanged.
		Edit func(ctx context.Context, who string, change func(*config.Document) error) (version int64, err error)
		// Overlay does the same for the overlay. It returns the version of the
		// configuration that distributes the overlay.
		Overlay func(ctx context.Context, who string, change func(*Overlay) error) (version int64, err error)
		// Cancel ends a stream on one entry and reports whether the entry had it.
		// It returns when ctx ends.
		Cancel func(ctx context.Context, entry, stream string) (bool, error)
		// Pending returns the names of the live entries that lack a version.
		Pending func(version int64) []string
		// Unsettled returns those of the endpoints that are not yet in the desired
		// state. Only the entry that holds the lease of the duty to send orders to
		// an endpoint has the endpoint's state. Unsettled is called at each poll, so
		// it should query that entry alone. If it is nil, a command is in force once
		// all entries have the version.
		Unsettled func(endpoints []string) []string
		// History returns the changes after a version.
		History func(after int64) []Change
		// Rebase applies a command to a newer version than the operator saw if
		// only unrelated objects have changed since, unless the command has an at
		// clause. If Rebase were false, one command in four would conflict with an
		// unrelated change, at 11,000 changes a day that each take 2 s to reach all
		// entries.
		Rebase bool

		Log *logrus.Logger
		Now func() time.Time

		Timeout time.Duration // limit for the answer of one entry; 0 means 2 s
		Wait    time.Duration // wait of a command without a wait clause; 0 means 9 s
		Poll    time.Duration // interval of the calls of Pending; 0 means 50 ms
	}

	// Answer is the result of a statement. Table is set for a query. A command
	// that is not in force everywhere has Pending set.
	Answer struct {
		Text    string   `json:"text,omitempty"`
		Table   *Table   `json:"table,omitempty"`
		Version int64    `json:"version,omitempty"`
		Pending *Pending `json:"pending,omitempty"`
	}

	// Pending lists the entries and endpoints that a command has not reached. The
	// change is kept and takes effect there later.
	Pending struct {
		Version   int64    `json:"version,omitempty"`
		Entries   []string `json:"entries,omitempty"`
		Endpoints []string `json:"endpoints,omitempty"`
	}
)

const (
	defaultTimeout = 2 * time.Second
	// defaultWait is the time in which a change must be in effect on all
	// entries or be reported as pending.
	defaultWait = 9 * time.Second
	defaultPoll = 50 * time.Millisecond
)

// Run runs one statement for an operator. progress, if not nil, is called with
// what a command waits for. An error is an *Error, a *Conflict, or an error of
// one of the function fields. After an *Error or a *Conflict nothing was changed.
func (x *Executor) Run(ctx context.Context, who, text string, progress func(string)) (Answer, error) {
	s, err := Parse(text)
	if err != nil {
		x.logCommand(who, text, Answer{}, err)
		return Answer{}, err
	}
	switch {
	case s.Help != nil:
		text, err := explain(*s.Help, s.Text, x.Sources)
		return Answer{Text: text}, err
	case s.Query != nil:
		return x.query(ctx, s)
	}
	if progress == nil {
		progress = func(string) {}
	}
	answer, err := x.command(ctx, who, s, progress)
	x.logCommand(who, text, answer, err)
	return answer, err
}

// command runs a command and returns when it is in force or its wait ends.
func (x *Executor) command(ctx context.Context, who string, s *Statement, progress func(string)) (Answer, error) {
	if s.Cancel != nil {
		return x.cancel(ctx, s, progress)
	}
	if x.Document == nil {
		return Answer{}, notOffered("commands")
	}
	seen := x.Document()
	if s.At != nil && int64(s.At.Value) != seen.Version {
		return Answer{}, x.newConflict(int64(s.At.Value), nil, seen)
	}
	catalogue := Catalogue{Document: seen, Entries: x.entries()}
	if err := catalogue.Check(s); err != nil {
		return Answer{}, err
	}
	changes, version, err := x.apply(ctx, who, s, catalogue)
	if err != nil {
		return Answer{}, err
	}
	if len(changes) == 0 {
		changes = []string{"nothing to change"}
	}
	answer := Answer{Text: strings.Join(changes, "\n"), Version: version}
	progress(fmt.Sprintf("version %d: %s", version, answer.Text))
	answer.Pending = x.await(ctx, version, affectedEndpoints(seen, s), x.waitTime(s), progress)
	return answer, nil
}

// newConflict returns the conflict between the version that the operator saw and
// the current document. seen is nil if the older document is not known.
func (x *Executor) newConflict(saw int64, seen, now *config.Document) *Conflict {
	c := &Conflict{Saw: saw, Now: now.Version}
	if seen != nil {
		c.Changed = diffDocuments(seen, now)
	}
	if x.History != nil {
		c.Winners = x.History(saw)
	}
	return c
}

func (x *Executor) entries() []string {
	if x.Entries == nil {
		return []string{x.Sources.Entry}
	}
	return x.Entries()
}

func (x *Executor) now() time.Time {
	if x.Now == nil {
		return time.Now()
	}
	return x.Now()
}

// logCommand logs a command with its operator and result.
func (x *Executor) logCommand(who, text string, a Answer, err error) {
	if x.Log == nil {
		return
	}
	result := "in force"
	switch {
	case err != nil:
		result, _, _ = strings.Cut(err.Error(), "\n")
	case a.Pending != nil:
		result = a.Pending.String()
	}
	x.Log.WithFields(logrus.Fields{
		"who": who, "at": x.now().UTC().Format(time.RFC3339Nano), "text": text, "version": a.Version, "result": result,
	}).Info("operator command")
}

func notOffered(what string) *Error {
	return &Error{Kind: NotOffered, Message: "this entry does not offer " + what}
}
