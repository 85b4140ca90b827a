package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	accountsUsed   = 4
	requestTimeout = 12 * time.Second // from a caller's request to its deadline
	queryTimeout   = time.Second      // for a query of instance addresses and for a probe's request of a route
	maxQueries     = 3                // attempts to query instance addresses before one request
	overuse        = 3                // one in this many answers to an address query is used for this many times its lifetime
	maxEvents      = 150
	thinkTime      = 60 * time.Millisecond
	probeInterval  = 150 * time.Millisecond
	idleTimeout    = 4 * time.Second // after which a caller closes an idle connection
)

// caller sends one request at a time.
type caller struct {
	s      *Soak
	key    string
	owner  string // the account of the key
	random *rand.Rand
	client *http.Client
	place  string
	addrs  []string
	until  time.Time // when addrs expire
}

// newClient returns a client whose connections to instances go through relays.
func (s *Soak) newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if i := s.instanceAt(addr); i != nil {
				addr = i.callerLink.addr
			}
			return dialer.DialContext(ctx, network, addr)
		},
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4,
	}}
}

func (s *Soak) newCaller(n int) *caller {
	key, owner := permanentKey(n)
	return &caller{
		s: s, key: key, owner: owner, random: rand.New(rand.NewPCG(s.Seed, uint64(n))), client: s.newClient(),
		place: s.placeNames[n%len(s.placeNames)],
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if i := c.choose(ctx); i != nil {
			c.send(ctx, i)
		}
		if !sleep.For(ctx, time.Duration(c.random.ExpFloat64()*float64(c.s.Pause))) {
			return
		}
	}
}

// choose returns a random instance of those that an address query returned, as
// callers on the platform do. It returns nil if no query has succeeded yet.
func (c *caller) choose(ctx context.Context) *instance {
	for range maxQueries {
		if time.Now().Before(c.until) {
			break
		}
		i := c.s.instances[c.random.IntN(len(c.s.instances))]
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		addrs, until, err := fake.Resolve(queryCtx, c.client, i.settings.Locate, i.settings.Region, c.place)
		cancel()
		if err != nil {
			continue
		}
		if c.random.IntN(overuse) == 0 {
			until = until.Add(time.Until(until) * (overuse - 1))
		}
		c.addrs, c.until = addrs, until
	}
	if len(c.addrs) == 0 {
		return nil
	}
	return c.s.instanceAt(c.addrs[c.random.IntN(len(c.addrs))])
}

// send sends one request and checks the reply.
func (c *caller) send(ctx context.Context, i *instance) {
	a := fake.Request{ID: fmt.Sprintf("%016x", c.random.Uint64()), Key: c.key, Deadline: time.Now().Add(requestTimeout)}
	service, once := fake.PlainService, false
	switch c.random.IntN(4) {
	case 0:
		a.Path, once = fake.OncePrefix+"x", true
	case 1:
		a.Path = fake.SafePrefix + "x"
	case 2:
		a.Path, a.Events, service, once = fake.GuidePrefix+"x", 1+c.random.IntN(maxEvents), fake.EngineService, true
	case 3:
		a.Path, a.Events, service = fake.ShortPrefix+"x", 1+c.random.IntN(maxEvents), fake.EngineService
	}
	reply := c.exchange(ctx, i, a, service, once)
	if ctx.Err() == nil && !reply.RetryAt.IsZero() {
		sleep.For(ctx, min(time.Until(reply.RetryAt), requestTimeout/3))
	}
}

// exchange sends a request to an instance and checks the reply. The check is left out
// if ctx has ended.
func (c *caller) exchange(ctx context.Context, i *instance, a fake.Request, service string, once bool) fake.Reply {
	last, seed := 0, ""
	a.Event = func(n int, data string) {
		if c.s.Sabotage == Order && n == 2 {
			return
		}
		if last == 0 {
			seed, _, _ = strings.Cut(data, "-")
		}
		// The data names the run (seed). All runs of a repeatable stream produce the
		// same events, named after the request; a stream that runs at most once
		// is named after its random run, of which all events must be.
		kept := n == last+1 && data == fake.Data(seed, n) && (once || seed == a.ID)
		c.s.ledger.Check(Order, kept, "request %s: event %d %q after event %d of run %s", a.ID, n, data, last, seed)
		last = n
	}
	c.s.ledger.Sent(a.ID, i.name, service, c.owner, once, time.Now())
	reply := a.Do(ctx, c.client, i.settings.Callers)
	if ctx.Err() != nil {
		return reply // canceled at the end of the soak
	}
	c.s.countReply(reply)
	c.s.ledger.countRefusal(a, reply)
	c.checkReply(a, i, reply)
	return reply
}

// checkReply checks one reply against the promises.
func (c *caller) checkReply(a fake.Request, i *instance, r fake.Reply) {
	l := &c.s.ledger
	if c.s.Sabotage == Own && r.Body != "" {
		r.Body = r.Body[1:]
	}
	if r.Err != nil {
		c.client.CloseIdleConnections()
		c.until = time.Time{}
		if i.stopping() && time.Now().Before(a.Deadline) {
			l.Cut(a.ID, r.Err)
		} else if !i.stopping() {
			l.Lost(a.ID, r.Err.Error(), time.Now())
		}
		return
	}
	if r.NotRun {
		l.Refused(a.ID)
		return
	}
	if r.Status == http.StatusUnauthorized || r.Status == http.StatusNotFound {
		l.Check(Config, false, "%s answered %d to request %s, which every configuration allows", i.name, r.Status, a.ID)
		return
	}
	if r.Seal == "" {
		l.Check(Own, r.Status >= http.StatusBadGateway, "%s answered %d without a seal to request %s", i.name, r.Status, a.ID)
		if !i.stopping() {
			l.Lost(a.ID, fmt.Sprintf("status %d of the instance", r.Status), time.Now())
		}
		return
	}
	_, endpoint, _ := strings.Cut(r.Seal, ".")
	l.Answered(a.ID, endpoint, time.Now())
	l.Check(Own, r.ID == a.ID && r.Seal == fake.Seal(a.ID, endpoint), "request %s got the answer to %s, seal %s", a.ID, r.ID, r.Seal)
	if r.Status != http.StatusOK {
		return
	}
	if a.Events > 0 {
		l.Check(Order, r.Events == a.Events, "request %s ended without an error after %d of %d events", a.ID, r.Events, a.Events)
		return
	}
	l.Check(Own, r.Body == fake.Body(a.ID, endpoint), "request %s got another body", a.ID)
}

// probe checks which configuration is in force at one instance.
type probe struct {
	s      *Soak
	i      *instance
	client *http.Client
	starts int       // start count of the process that seen refers to
	seen   int64     // newest version that was observed in force
	seenAt time.Time // when seen was first observed
}

// probe runs the checks of one instance until ctx ends: those of routes in turn,
// and that of keys beside them, because it waits longer for an answer.
func (s *Soak) probe(ctx context.Context, i *instance) {
	p := &probe{s: s, i: i, client: s.newClient()}
	var keys conc.WaitGroup
	defer keys.Wait()
	keys.Go(func() {
		for sleep.For(ctx, probeInterval) {
			if i.running() {
				p.checkRevoked(ctx)
			}
		}
	})
	checks := []func(context.Context){p.checkNewest, p.checkReplaced}
	for n := 0; sleep.For(ctx, probeInterval); n++ {
		if !i.running() {
			continue
		}
		if life := i.startCount(); life != p.starts {
			p.seen, p.starts = 0, life
		}
		checks[n%len(checks)](ctx)
	}
}

// checkNewest requests the route that the newest version has added.
func (p *probe) checkNewest(ctx context.Context) {
	version, _, at := p.s.operators.state()
	sent := time.Now()
	due := sent.Sub(at) > configBound && p.s.ledger.Settled(p.i.name, sent)
	key, owner := permanentKey(0)
	r := p.send(ctx, fake.VersionPrefix(version)+"x", key, owner, queryTimeout)
	now, _, _ := p.s.operators.state() // a newer version may have removed the route meanwhile
	if r.Status == http.StatusNotFound && now == version && p.i.startCount() == p.starts {
		p.s.ledger.Check(Config, !due, "%s lacks version %d after %s", p.i.name, version, sent.Sub(at))
		p.s.ledger.Check(Config, p.seen < version, "%s has lost version %d", p.i.name, version)
	}
	if r.Seal == "" {
		return
	}
	p.s.ledger.Check(Config, true, "")
	if p.seen < version {
		p.seen, p.seenAt = version, time.Now()
	}
}

// checkReplaced requests the route that the newest version has removed.
func (p *probe) checkReplaced(ctx context.Context) {
	version, before, at := p.s.operators.state()
	if before == 0 {
		return
	}
	sent := time.Now()
	due := sent.Sub(at) > configBound && p.s.ledger.Settled(p.i.name, sent)
	key, owner := permanentKey(0)
	r := p.send(ctx, fake.VersionPrefix(before)+"x", key, owner, queryTimeout)
	if r.Seal == "" || p.i.startCount() != p.starts {
		return
	}
	p.s.ledger.Check(Config, !due, "%s uses version %d although %d is %s old", p.i.name, before, version, sent.Sub(at))
	p.s.ledger.Check(Config, p.seen < version || sent.Sub(p.seenAt) < revertBound,
		"%s uses version %d after %d", p.i.name, before, version)
}

// checkRevoked sends a request with a key that was withdrawn. An answer that
// decides nothing about the key is no check.
func (p *probe) checkRevoked(ctx context.Context) {
	sent := time.Now()
	gone, ok := p.s.operators.withdrawn(sent.Add(-revokeBound))
	if !ok || !p.s.ledger.Settled(p.i.name, sent) {
		return
	}
	r := p.send(ctx, fake.SafePrefix+"x", gone.key, "visitor", requestTimeout)
	if r.Seal == "" && r.Status != http.StatusUnauthorized {
		return
	}
	p.s.ledger.Check(Revoked, r.Seal == "", "%s serves key %s, withdrawn %s ago", p.i.name, gone.key, sent.Sub(gone.at))
}

func (p *probe) send(ctx context.Context, path, key, owner string, timeout time.Duration) fake.Reply {
	a := fake.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Path: path, Key: key, Deadline: time.Now().Add(timeout)}
	p.s.ledger.Sent(a.ID, p.i.name, fake.PlainService, owner, false, time.Now())
	return a.Do(ctx, p.client, p.i.settings.Callers)
}
