package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	suspectsPerUpdate = 5 // so that an update fits into one packet
	answersPerUpdate  = 12
	verdictsPerUpdate = 10
	// verdictsPerRound bounds what each instance repeats to each other one. All have the
	// same verdicts, and take turns with them.
	verdictsPerRound = 20
	// suspectsPerRound bounds the suspects that are repeated in the same way; new ones are
	// sent at once. With 80 other instances they take a fifth of a link of 10 Mbit/s.
	suspectsPerRound = 15
	maxLevel         = 1 << 10
	maxAge           = int64(24 * time.Hour / time.Millisecond)
)

type (
	// Update is what one instance tells the others, as one datagram.
	Update struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Suspects []sentSuspect
		Answers  []sentAnswer
		Verdicts []sentVerdict
	}

	// All times are ages or the time left, in milliseconds.
	sentSuspect struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Crash, Request uint64
		Since, Ended   int64
		Begun          bool
		Parts          []uint64
	}

	sentAnswer struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Key uint64
		Age int64
	}

	sentVerdict struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

		Key     uint64
		Level   int
		Freed   bool
		Last    int64
		Left    int64
		Request bool
		Asked   int64
		Trials  int
		Certain bool
	}
)

// Updates encodes what is new since the last call, and if all is set also what is
// repeated: the latest suspects and answers of this instance, and verdicts in turn.
func (r *Register) Updates(all bool, now time.Time) ([][]byte, error) {
	if r.view.Load() == nil {
		return nil, nil
	}
	r.mu.Lock()
	u := r.collect(all, now)
	r.mu.Unlock()
	var list [][]byte
	for len(u.Suspects)+len(u.Answers)+len(u.Verdicts) > 0 {
		var part Update
		part.Suspects, u.Suspects = split(u.Suspects, suspectsPerUpdate)
		part.Answers, u.Answers = split(u.Answers, answersPerUpdate)
		part.Verdicts, u.Verdicts = split(u.Verdicts, verdictsPerUpdate)
		data, err := msgpack.Marshal(&part)
		if err != nil {
			return nil, fmt.Errorf("encode suspects: %w", err)
		}
		list = append(list, data)
	}
	return list, nil
}

// collect returns what is to be sent. The lock must be held.
func (r *Register) collect(all bool, now time.Time) Update {
	var u Update
	age := func(t time.Time) int64 { return now.Sub(t).Milliseconds() }
	repeats := 0
	for _, s := range r.suspects {
		if !s.unsent {
			repeats++
		}
		if s.unsent || all && s.sends > 0 && repeats <= suspectsPerRound {
			u.Suspects = append(u.Suspects, sentSuspect{
				Crash: s.Crash, Request: s.Request, Since: age(s.Since), Ended: age(s.Ended), Begun: s.Begun, Parts: s.Parts,
			})
			if !s.unsent {
				s.sends--
			}
			s.unsent = false
		}
	}
	for k, a := range r.answers {
		if a.unsent || all && a.sends > 0 {
			u.Answers = append(u.Answers, sentAnswer{Key: k, Age: age(a.at)})
			if !a.unsent {
				a.sends--
			}
			a.unsent = false
		}
	}
	for _, v := range r.dueVerdicts(all, now) {
		u.Verdicts = append(u.Verdicts, sentVerdict{
			Key: v.Key, Level: v.Level, Freed: v.Freed, Last: age(v.Last), Left: -age(v.Until), Request: v.Request, Asked: max(age(v.Asked), 0),
			Trials: v.Trials, Certain: v.Certain,
		})
		v.unsent = false
	}
	return u
}

// dueVerdicts returns the verdicts that are to be sent: the unsent ones, and with all
// also the next verdictsPerRound of the others. Those that will soon be forgotten are not
// repeated: they would come back from the instances that forget them a little later. The
// lock must be held.
func (r *Register) dueVerdicts(all bool, now time.Time) (due []*verdict) {
	var others []*verdict
	for _, k := range slices.Sorted(maps.Keys(r.verdicts)) {
		switch v := r.verdicts[k]; {
		case v.unsent:
			due = append(due, v)
		case all && v.idle(now) < v.memory()/2:
			others = append(others, v)
		}
	}
	for range min(len(others), verdictsPerRound) {
		due = append(due, others[r.round%len(others)])
		r.round++
	}
	return due
}

// Merge decodes an update of another instance and applies it. Values out of their
// bounds are ignored.
func (r *Register) Merge(data []byte, now time.Time) error {
	var u Update
	if err := msgpack.Unmarshal(data, &u); err != nil {
		return fmt.Errorf("decode suspects: %w", err)
	}
	defer r.update(now)()
	at := func(age int64) time.Time { return now.Add(-time.Duration(age) * time.Millisecond) }
	recent := func(age int64) bool { return age >= 0 && age <= Memory.Milliseconds() }
	for _, a := range u.Answers {
		if recent(a.Age) {
			r.addAnswer(a.Key, &answer{at: at(a.Age)})
		}
	}
	for _, v := range u.Verdicts {
		left, last := v.Left, v.Last
		if v.Level < 1 || v.Level > maxLevel || left > MaxHold.Milliseconds() || left < -maxAge || last < 0 || last > maxAge || v.Asked < 0 ||
			v.Asked > maxAge || v.Trials < 0 || v.Trials > maxLevel {
			continue
		}
		received := Verdict{
			Key: v.Key, Request: v.Request, Level: v.Level, Freed: v.Freed, Last: at(last), Until: at(-left), Asked: at(v.Asked),
			Trials: v.Trials, Certain: v.Certain,
		}
		if received.idle(now) <= received.memory() {
			r.addVerdict(&verdict{Verdict: received}, Adopted)
		}
	}
	for _, s := range u.Suspects {
		if !recent(s.Ended) || s.Since < s.Ended || s.Since > maxAge || len(s.Parts) > maxParts {
			continue
		}
		r.addSuspect(&suspect{Suspect: Suspect{
			Crash: s.Crash, Request: s.Request, Since: at(s.Since), Ended: at(s.Ended), Begun: s.Begun, Parts: s.Parts,
		}})
	}
	return nil
}

func split[T any](list []T, n int) (head, tail []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
