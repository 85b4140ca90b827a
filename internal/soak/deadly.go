package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	deadlyStream   = 24 // second half of the seed of DeadlyPlan
	meanDeadlyGap  = 3 * time.Second
	maxDeadly      = 3 // deadly requests at a time
	deadlyEvents   = 20
	minAgain       = 300 * time.Millisecond // shortest time until a caller sends its request again
	maxAgain       = 1500 * time.Millisecond
	floodInterval  = 700 * time.Millisecond // between different deadly requests
	bystanders     = 3                      // callers with sound requests for each caller with a deadly one
	againTimeout   = 4 * time.Second        // from a request of a repeater to its deadline
	minAway        = time.Second            // shortest time until the endpoint is back that a request has crashed
	maxAway        = 4 * time.Second
	sameIDInterval = 3 // one in this many comes back under its ID and address

	deadlyCrashes  = 3                // crashes after which a request is known to be deadly
	deadlyArrivals = 3                // later arrivals that are tolerated
	servedBound    = 12 * time.Second // longest time without an answer for sound requests that come again
)

// kinds of requests of repeaters.
var againPrefixes = []string{fake.GuidePrefix, fake.ShortPrefix, fake.OncePrefix, fake.SafePrefix}

type (
	// repeater sends the same request again and again, each time with a new ID and
	// to a random instance.
	repeater struct {
		*caller
		path     string
		text     string
		prompt   string
		identity *identity
		varies   bool // sends another text each time
	}

	// identity is what the sends of one request have in common; the lock of the
	// ledger guards it.
	identity struct {
		name     string
		deadly   bool
		crashes  []time.Time // of endpoints, by this request
		late     int         // arrivals too late after the crash that counts
		answered time.Time   // latest answer, or the first request
	}
)

// DeadlyPlan returns faults in which callers send requests that crash the endpoints
// which run them, beside other faults. They depend only on the seed and the duration.
func DeadlyPlan(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, deadlyStream))
	for range 1 + random.IntN(maxDeadly) {
		after := quietStart + time.Duration(random.Int64N(int64(maxAgain)))
		plan = append(plan, Fault{Kind: Deadly, After: after, Last: total - quietEnd - after, Target: random.IntN(1 << 16)})
	}
	if random.IntN(2) == 0 {
		plan = append(plan, Fault{Kind: Flood, After: quietStart, Last: total - quietEnd - quietStart, Target: random.IntN(1 << 16)})
	}
	kinds := []string{Crash, Crash, Outage, Hang, Standstill, Reclaim, Stop, Kill, Change, Withdraw, Hup}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanDeadlyGap)) {
		plan = append(plan, Fault{
			Kind: kinds[random.IntN(len(kinds))], After: at, Target: random.IntN(1 << 16),
			Last: minHang + time.Duration(random.Int64N(int64(maxHang-minHang))),
		})
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// newRepeater returns a caller that sends one request of the kind and account that a
// fault selects. Deadly and sound requests of one fault differ in their bodies only.
func (s *Soak) newRepeater(f Fault, text string) *repeater {
	c := s.newCaller(f.Target / len(againPrefixes))
	r := &repeater{caller: c, path: againPrefixes[f.Target%len(againPrefixes)] + "again", text: text}
	name := r.path + " " + c.key + " " + text
	c.random = rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(name)))
	if isStream(r.path) {
		r.prompt = fmt.Sprintf("a%x:300,b%x:200,%x:500", f.Target, f.Target, text)
	}
	r.identity = &identity{name: name, deadly: strings.HasPrefix(text, fake.DeadlyText)}
	return r
}

func isStream(path string) bool {
	return strings.HasPrefix(path, fake.GuidePrefix) || strings.HasPrefix(path, fake.ShortPrefix)
}

// sendDeadly sends a deadly request again and again until a time, and sound ones beside
// it.
func (s *Soak) sendDeadly(f Fault, until time.Time) {
	ctx, cancel := context.WithDeadline(s.ctx, until)
	defer cancel()
	var all conc.WaitGroup
	defer all.Wait()
	deadly := s.newRepeater(f, fmt.Sprint(fake.DeadlyText, "-", f.Target))
	deadly.varies = s.Sabotage == Deadly
	all.Go(func() { deadly.repeat(ctx) })
	for n := range bystanders {
		sound := s.newRepeater(f, fmt.Sprint("sound-", f.Target, "-", n))
		all.Go(func() { sound.repeat(ctx) })
	}
}

// flood sends deadly requests, each of them once, until a time.
func (s *Soak) flood(f Fault, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		f.Target++
		r := s.newRepeater(f, fmt.Sprint(fake.DeadlyText, "-once-", f.Target))
		r.once(s.ctx)
		if !sleep.For(s.ctx, floodInterval) {
			return
		}
	}
}

// repeat sends the request until ctx ends.
func (r *repeater) repeat(ctx context.Context) {
	for ctx.Err() == nil {
		r.once(ctx)
		sleep.For(ctx, minAgain+time.Duration(r.random.Int64N(int64(maxAgain-minAgain))))
	}
}

// once sends the request to a random instance, if any is known.
func (r *repeater) once(ctx context.Context) {
	i := r.choose(ctx)
	if i == nil {
		return
	}
	a := fake.Request{
		ID: fmt.Sprintf("%016x", r.random.Uint64()), Path: r.path, Key: r.key, Deadline: time.Now().Add(againTimeout), Text: r.text, Prompt: r.prompt,
	}
	if r.varies {
		a.Text += a.ID
	}
	service := fake.PlainService
	if isStream(r.path) {
		a.Events, service = deadlyEvents, fake.EngineService
	}
	isOnce := strings.HasPrefix(r.path, fake.GuidePrefix) || strings.HasPrefix(r.path, fake.OncePrefix)
	r.s.ledger.Repeats(a.ID, r.identity)
	reply := r.exchange(ctx, i, a, service, isOnce)
	if ctx.Err() == nil {
		r.s.ledger.Replied(a.ID, r.identity, reply, time.Now())
	}
}

// outage crashes all endpoints of one place at once.
func (s *Soak) outage(f Fault) {
	var all conc.WaitGroup
	defer all.Wait()
	for _, p := range s.sites {
		if p.place == s.placeNames[f.Target%len(s.placeNames)] {
			all.Go(p.crash)
		}
	}
}

// crashes ends the endpoint, because a request has crashed it, and starts the next one
// later, at times under the same ID and address.
func (p *site) crashes(e *fake.Endpoint, r fake.Run) {
	p.mu.Lock()
	link, isBusy := p.link, p.busy // another fault that is about to end the endpoint also starts the next one
	p.busy, p.ended = true, true
	away := minAway + time.Duration(p.random.Int64N(int64(maxAway-minAway)))
	isSame := p.random.IntN(sameIDInterval) == 0
	p.mu.Unlock()
	p.s.ledger.Disturb(e.ID, time.Now())
	p.s.ledger.Crashes(r.Request)
	_ = link.listener.Close() // as the endpoint's own listener; its connections end with those of the endpoint
	time.AfterFunc(delayTime, link.close)
	if !isBusy {
		go p.comeBack(e, isSame, away)
	}
}

// comeBack removes the row of an endpoint that has ended after rowTTL, and starts the
// next one after a delay.
func (p *site) comeBack(e *fake.Endpoint, isSame bool, away time.Duration) {
	sleep.For(p.s.ctx, min(away, rowTTL))
	if away > rowTTL {
		p.s.store.RemoveEndpoint(e.ID)
		sleep.For(p.s.ctx, away-rowTTL)
	} else if !isSame {
		p.s.store.RemoveEndpoint(e.ID)
	}
	if p.s.ctx.Err() != nil {
		return
	}
	id, addr := "", ""
	if isSame {
		id, addr = e.ID, e.Addr
	}
	if err := p.startAs(id, addr); err != nil {
		p.s.recordError(err)
	}
}

// Repeats records that a request, which is about to be sent, has an identity.
func (l *Ledger) Repeats(id string, x *identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if x.answered.IsZero() {
		x.answered = time.Now()
	}
	l.identities[id] = x
}

// Crashes records that a request has crashed an endpoint.
func (l *Ledger) Crashes(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.crashes++
	if x := l.identities[id]; x != nil {
		x.crashes = append(x.crashes, time.Now())
		l.check(Deadly, true, "")
	}
}

// countArrival checks that a request may still reach endpoints: no more than
// deadlyArrivals of one identity do, sent by settled instances, later than settleTime
// after its crash number deadlyCrashes. The lock is held.
func (l *Ledger) countArrival(id, endpoint string, at time.Time) {
	x, r := l.identities[id], l.requests[id]
	if x == nil || r == nil || len(x.crashes) < deadlyCrashes || at.Sub(x.crashes[deadlyCrashes-1]) <= settleTime || !l.settled(r.instance, at) {
		return
	}
	x.late++
	l.check(Deadly, x.late <= deadlyArrivals, "request %s of %s reaches %s %s after the crash %d of %q: arrival %d, %d crashes", id, r.instance, endpoint,
		at.Sub(x.crashes[deadlyCrashes-1]).Round(time.Millisecond), deadlyCrashes, x.name, x.late, len(x.crashes))
}

// Replied records the reply to a request with an identity. A sound one must be answered
// by an endpoint at least once in servedBound.
func (l *Ledger) Replied(id string, x *identity, r fake.Reply, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Seal != "" && r.Err == nil {
		x.answered = at
	}
	if q := l.requests[id]; !x.deadly && q != nil && l.settled(q.instance, at) {
		l.check(Served, at.Sub(x.answered) <= servedBound, "%s, which is sound, was not answered for %s; %s got %d %s", x.name,
			at.Sub(x.answered).Round(time.Millisecond), id, r.Status, strings.TrimSpace(r.Body))
	}
}

// countRefusal counts a reply that refuses a request because it is taken for one that
// crashes endpoints.
func (l *Ledger) countRefusal(a fake.Request, r fake.Reply) {
	if !strings.Contains(r.Body, string(refusal.Quarantined)) || r.Seal != "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.HasPrefix(a.Text, fake.DeadlyText) {
		l.quarantined++
	} else {
		l.mistaken++
	}
}

// counts returns the numbers of crashes by requests, of refusals of deadly requests, and
// of sound ones that were taken for them.
func (l *Ledger) counts() (crashes, quarantined, mistaken int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes, l.quarantined, l.mistaken
}
