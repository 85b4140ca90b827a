package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/stage"
)

const (
	accountsUsed = 4
	patience     = 12 * time.Second // of a caller
	askLimit     = time.Second      // for the addresses
	asksMost     = 3                // instances that are asked for addresses
	overstay     = 3                // some callers use an answer for this many times as long
	eventsMost   = 150
	thinkTime    = 60 * time.Millisecond
	probePause   = 150 * time.Millisecond
	idleTime     = 4 * time.Second // an idle connection is closed by the caller
)

// caller sends one request after the other.
type caller struct {
	s      *Soak
	key    string
	owner  string // the account of the key
	random *rand.Rand
	client *http.Client
	place  string
	addrs  []string
	until  time.Time
}

// newClient makes a client whose connections to instances go through relays.
func (s *Soak) newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if i := s.instanceAt(addr); i != nil {
				addr = i.door.addr
			}
			return dialer.DialContext(ctx, network, addr)
		},
		IdleConnTimeout: idleTime, MaxIdleConnsPerHost: 4,
	}}
}

func (s *Soak) newCaller(n int) *caller {
	key, owner := steadyKey(n)
	return &caller{
		s: s, key: key, owner: owner, random: rand.New(rand.NewPCG(s.Seed, uint64(n))), client: s.newClient(),
		place: s.placeNames[n%len(s.placeNames)],
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if i := c.choose(ctx); i != nil {
			c.ask(ctx, i)
		}
		if !sleep.For(ctx, time.Duration(c.random.ExpFloat64()*float64(c.s.Pause))) {
			return
		}
	}
}

// choose picks an instance as the platform's callers do.
func (c *caller) choose(ctx context.Context) *instance {
	for range asksMost {
		if time.Now().Before(c.until) {
			break
		}
		i := c.s.instances[c.random.IntN(len(c.s.instances))]
		asking, cancel := context.WithTimeout(ctx, askLimit)
		addrs, until, err := stage.Resolve(asking, c.client, i.settings.Locate, i.settings.Region, c.place)
		cancel()
		if err != nil {
			continue
		}
		if c.random.IntN(overstay) == 0 {
			until = until.Add(time.Until(until) * (overstay - 1))
		}
		c.addrs, c.until = addrs, until
	}
	if len(c.addrs) == 0 {
		return nil
	}
	return c.s.instanceAt(c.addrs[c.random.IntN(len(c.addrs))])
}

// ask sends one request and judges the answer.
func (c *caller) ask(ctx context.Context, i *instance) {
	a := stage.Request{ID: fmt.Sprintf("%016x", c.random.Uint64()), Key: c.key, Deadline: time.Now().Add(patience)}
	service, once := stage.PlainService, false
	switch c.random.IntN(4) {
	case 0:
		a.Path, once = stage.OncePrefix+"x", true
	case 1:
		a.Path = stage.SafePrefix + "x"
	case 2:
		a.Path, a.Events, service, once = stage.GuidePrefix+"x", 1+c.random.IntN(eventsMost), stage.EngineService, true
	case 3:
		a.Path, a.Events, service = stage.ShortPrefix+"x", 1+c.random.IntN(eventsMost), stage.EngineService
	}
	last, seed := 0, ""
	a.Event = func(n int, data string) {
		if c.s.Sabotage == Order && n == 2 {
			return
		}
		if last == 0 {
			seed, _, _ = strings.Cut(data, "-")
		}
		kept := n == last+1 && data == stage.Data(seed, n) && (once || seed == a.ID)
		c.s.ledger.Check(Order, kept, "request %s: event %d %q after event %d of run %s", a.ID, n, data, last, seed)
		last = n
	}
	c.s.ledger.Sent(a.ID, i.name, service, c.owner, once, time.Now())
	reply := a.Do(ctx, c.client, i.settings.Callers)
	if ctx.Err() != nil {
		return // the caller left, at the end of the soak
	}
	c.s.outcome(reply)
	c.judge(a, i, reply)
	if !reply.RetryAt.IsZero() {
		sleep.For(ctx, min(time.Until(reply.RetryAt), patience/3))
	}
}

// judge checks one answer.
func (c *caller) judge(a stage.Request, i *instance, r stage.Reply) {
	l := &c.s.ledger
	if c.s.Sabotage == Own && r.Body != "" {
		r.Body = r.Body[1:]
	}
	if r.Err != nil {
		c.client.CloseIdleConnections()
		c.until = time.Time{}
		if i.stopping() && time.Now().Before(a.Deadline) {
			l.Cut(a.ID, r.Err)
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
		return
	}
	_, endpoint, _ := strings.Cut(r.Seal, ".")
	l.Check(Own, r.ID == a.ID && r.Seal == stage.Seal(a.ID, endpoint), "request %s got the answer to %s, seal %s", a.ID, r.ID, r.Seal)
	if r.Status != http.StatusOK {
		return
	}
	if a.Events > 0 {
		l.Check(Order, r.Events == a.Events, "request %s ended as if whole after %d of %d events", a.ID, r.Events, a.Events)
		return
	}
	l.Check(Own, r.Body == stage.Body(a.ID, endpoint), "request %s got another body", a.ID)
}

// probe watches the configuration in force at one instance.
type probe struct {
	s      *Soak
	i      *instance
	client *http.Client
	life   int       // of the process that seen is about
	seen   int64     // newest version whose effect was seen
	seenAt time.Time // when it was seen first
}

func (s *Soak) probe(ctx context.Context, i *instance) {
	p := &probe{s: s, i: i, client: s.newClient()}
	checks := []func(context.Context){p.newest, p.replaced, p.revoked}
	for n := 0; sleep.For(ctx, probePause); n++ {
		if !i.running() {
			continue
		}
		if life := i.lifetime(); life != p.life {
			p.seen, p.life = 0, life
		}
		checks[n%len(checks)](ctx)
	}
}

// newest asks for the route that the newest version has added.
func (p *probe) newest(ctx context.Context) {
	version, _, at := p.s.operators.state()
	sent := time.Now()
	due := sent.Sub(at) > configBound && p.s.ledger.InTouch(p.i.name, sent)
	key, owner := steadyKey(0)
	r := p.send(ctx, stage.VersionPrefix(version)+"x", key, owner)
	now, _, _ := p.s.operators.state() // a later version has taken the route away
	if r.Status == http.StatusNotFound && now == version && p.i.lifetime() == p.life {
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

// replaced asks for the route that the newest version has removed.
func (p *probe) replaced(ctx context.Context) {
	version, before, at := p.s.operators.state()
	if before == 0 {
		return
	}
	sent := time.Now()
	due := sent.Sub(at) > configBound && p.s.ledger.InTouch(p.i.name, sent)
	key, owner := steadyKey(0)
	r := p.send(ctx, stage.VersionPrefix(before)+"x", key, owner)
	if r.Seal == "" || p.i.lifetime() != p.life {
		return
	}
	p.s.ledger.Check(Config, !due, "%s uses version %d although %d is %s old", p.i.name, before, version, sent.Sub(at))
	p.s.ledger.Check(Config, p.seen < version || sent.Sub(p.seenAt) < revertBound,
		"%s uses version %d after %d", p.i.name, before, version)
}

// revoked uses a key that was withdrawn.
func (p *probe) revoked(ctx context.Context) {
	sent := time.Now()
	gone, ok := p.s.operators.withdrawn(sent.Add(-revokeBound))
	if !ok || !p.s.ledger.InTouch(p.i.name, sent) {
		return
	}
	r := p.send(ctx, stage.SafePrefix+"x", gone.key, "visitor")
	p.s.ledger.Check(Revoked, r.Seal == "", "%s serves key %s, withdrawn %s ago", p.i.name, gone.key, sent.Sub(gone.at))
}

func (p *probe) send(ctx context.Context, path, key, owner string) stage.Reply {
	a := stage.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Path: path, Key: key, Deadline: time.Now().Add(askLimit)}
	p.s.ledger.Sent(a.ID, p.i.name, stage.PlainService, owner, false, time.Now())
	return a.Do(ctx, p.client, p.i.settings.Callers)
}
