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
	// Desk runs statements on one entry. Its fields are set before use; it is
	// then safe for concurrent use. A nil function means that the statements
	// that need it are refused with a NotOffered error.
	Desk struct {
		// Sources are this entry's own relations.
		Sources Sources
		// Entries names the live entries, this one included.
		Entries func() []string
		// Ask sends a query to another entry. It returns when ctx ends.
		Ask func(ctx context.Context, entry string, q Query) (Table, error)

		// Document gives the configuration in force on this entry: what the
		// operator sees.
		Document func() *config.Document
		// Edit applies a change to the newest configuration and writes it on the
		// condition that no other version was written meanwhile; else it returns
		// a *Conflict, or any error that is ErrConflict. An error of the change
		// function is returned as it is.
		Edit func(ctx context.Context, who string, change func(*config.Document) error) (version int64, err error)
		// Overlay does the same for the overlay. Its versions are those of the
		// configuration that spreads it.
		Overlay func(ctx context.Context, who string, change func(*Overlay) error) (version int64, err error)
		// Cancel ends a stream on one entry and tells whether it was there. It
		// returns when ctx ends.
		Cancel func(ctx context.Context, entry, stream string) (bool, error)
		// Pending names the live entries that lack a version.
		Pending func(version int64) []string
		// Unsettled names those of the endpoints that are not yet as desired. It
		// is called at each poll and should ask only the holder of their lease.
		// If nil, a command is in force when all entries have the version.
		Unsettled func(endpoints []string) []string
		// History lists the changes after a version.
		History func(after int64) []Change
		// Rebase lets a command through if other objects than its own changed
		// after the version that the operator saw, unless the command has at. At
		// 11,000 changes a day, each spread in 2 s, a command in four would else
		// meet a conflict with an unrelated change.
		Rebase bool

		Log *logrus.Logger
		Now func() time.Time

		Timeout time.Duration // of one entry's answer; 0 means 2 s
		Wait    time.Duration // of a command without wait; 0 means 9 s
		Poll    time.Duration // between looks at Pending; 0 means 50 ms
	}

	// Answer is the result of a statement. Table is set for a query. A command
	// that is not in force everywhere has Pending set.
	Answer struct {
		Text    string   `json:"text,omitempty"`
		Table   *Table   `json:"table,omitempty"`
		Version int64    `json:"version,omitempty"`
		Pending *Pending `json:"pending,omitempty"`
	}

	// Pending names those that a command has not reached. The change stays and
	// takes effect there later.
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

// Run runs one statement for an operator. progress, if not nil, is told what
// a command waits for. An error is an *Error, a *Conflict, or an error of the
// desk's functions; after any other than the last kind nothing was changed.
func (d *Desk) Run(ctx context.Context, who, text string, progress func(string)) (Answer, error) {
	s, err := Parse(text)
	if err != nil {
		d.record(who, text, Answer{}, err)
		return Answer{}, err
	}
	switch {
	case s.Help != nil:
		about, err := explain(*s.Help, s.Text, d.Sources)
		return Answer{Text: about}, err
	case s.Query != nil:
		return d.query(ctx, s)
	}
	if progress == nil {
		progress = func(string) {}
	}
	answer, err := d.command(ctx, who, s, progress)
	d.record(who, text, answer, err)
	return answer, err
}

// command runs a command up to the time when it is in force or its wait ends.
func (d *Desk) command(ctx context.Context, who string, s *Statement, progress func(string)) (Answer, error) {
	if s.Cancel != nil {
		return d.cancel(ctx, s, progress)
	}
	if d.Document == nil {
		return Answer{}, notOffered("commands")
	}
	seen := d.Document()
	if s.At != nil && int64(s.At.Value) != seen.Version {
		return Answer{}, d.conflict(int64(s.At.Value), nil, seen)
	}
	catalogue := Catalogue{Document: seen, Entries: d.entries()}
	if err := catalogue.Check(s); err != nil {
		return Answer{}, err
	}
	did, version, err := d.apply(ctx, who, s, catalogue)
	if err != nil {
		return Answer{}, err
	}
	if len(did) == 0 {
		did = []string{"nothing to change"}
	}
	answer := Answer{Text: strings.Join(did, "\n"), Version: version}
	progress(fmt.Sprintf("version %d: %s", version, answer.Text))
	answer.Pending = d.await(ctx, version, targets(seen, s), d.waitOf(s), progress)
	return answer, nil
}

func (d *Desk) conflict(saw int64, seen, now *config.Document) *Conflict {
	c := &Conflict{Saw: saw, Now: now.Version}
	if seen != nil {
		c.Changed = differences(seen, now)
	}
	if d.History != nil {
		c.Winners = d.History(saw)
	}
	return c
}

func (d *Desk) entries() []string {
	if d.Entries == nil {
		return []string{d.Sources.Entry}
	}
	return d.Entries()
}

func (d *Desk) now() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

// record logs a command with who gave it and what came of it.
func (d *Desk) record(who, text string, a Answer, err error) {
	if d.Log == nil {
		return
	}
	result := "in force"
	switch {
	case err != nil:
		result, _, _ = strings.Cut(err.Error(), "\n")
	case a.Pending != nil:
		result = a.Pending.String()
	}
	d.Log.WithFields(logrus.Fields{
		"who": who, "at": d.now().UTC().Format(time.RFC3339Nano), "text": text, "version": a.Version, "result": result,
	}).Info("operator command")
}

func notOffered(what string) *Error {
	return &Error{Kind: NotOffered, Message: "this entry does not offer " + what}
}
