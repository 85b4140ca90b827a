package soak

import (
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const turnGap = 500 * time.Millisecond // between two stops of a Turn

// inject injects one fault, and for most kinds ends it after f.Last.
func (s *Soak) inject(f Fault) {
	i := s.instances[f.Target%len(s.instances)]
	p := s.sites[f.Target%len(s.sites)]
	until := time.Now().Add(f.Last)
	switch f.Kind {
	case Kill:
		s.killAndRestart(i, f.Last)
	case Herd:
		var all conc.WaitGroup
		for n, i := range s.instances {
			if (n+f.Target)%herdInterval != 0 {
				all.Go(func() { s.killAndRestart(i, f.Last) })
			}
		}
		all.Wait()
	case Pause:
		s.suspend(i, until)
	case Stall:
		s.stall(i, until)
	case Still:
		s.stallAll(until)
	case Stop:
		s.stopAndRestart(f, i)
	case Turn:
		s.stopInTurn(f)
	case Hup:
		s.ledger.Plan(i.name, time.Now())
		if err := i.changeSettings(f.Target%2 == 0); err != nil {
			s.recordError(err)
		}
		i.signal(syscall.SIGHUP)
	case Refuse, Mute, Lose, Slow:
		s.ledger.Disturb(storeName, until)
		d := fake.StoreFaults{Refuse: f.Kind == Refuse, Silent: f.Kind == Mute, Lose: f.Kind == Lose, Until: until}
		if f.Kind == Slow {
			d.Slow = slowStoreDelay
		}
		s.store.SetFaults(d)
	case Forget:
		s.ledger.Disturb(storeName, time.Now())
		s.store.DropHistory()
	case Cutoff:
		s.ledger.Disturb(i.name, until)
		i.storeLink.applyHarm(f.Harm, until)
	case Door:
		s.ledger.Disturb(i.name, until)
		i.callerLink.applyHarm(f.Harm, until)
	case Hang:
		p.hang(until)
	case Standstill:
		s.hangAll(f, until)
	case Depart:
		p.depart(f.Target/len(s.sites)%2 == 0)
	case Busy:
		p.turnAway(until)
	case Overload:
		s.turnAllAway(f, until)
	case Deadly:
		s.sendDeadly(f, until)
	case Flood:
		s.flood(f, until)
	case Outage:
		s.outage(f)
	case Evacuate:
		s.evacuate(f, until)
	case TurnCold:
		p.turnCold(until)
	case Link:
		p.harmLink(f.Harm, f.Last)
	case Reclaim:
		p.reclaim()
	case Crash:
		p.crash()
	case Grey:
		p.injectFaults(fake.EndpointFaults{Fail: faultShare, Refuse: faultShare}, f.Last)
	case Garble:
		p.injectFaults(fake.EndpointFaults{Cut: faultShare, Stray: faultShare}, f.Last)
	case Spoil:
		p.spoil(f.Last)
	case Drop:
		p.injectFaults(fake.EndpointFaults{Lose: faultShare}, f.Last)
	case Restore:
		s.restoreStore(f)
	case Limit:
		p.injectFaults(fake.EndpointFaults{Limit: minLimit + float64(f.Target%limitSteps)}, f.Last)
	case Change, Withdraw:
		if err := s.operators.change(f.Kind == Withdraw); err != nil {
			s.recordError(err)
		}
	}
}

// killAndRestart kills an instance and starts it again after a delay.
func (s *Soak) killAndRestart(i *instance, last time.Duration) {
	s.ledger.Disturb(i.name, time.Now().Add(last))
	i.kill()
	sleep.For(s.ctx, last)
	if err := s.startInstance(i); err != nil {
		s.recordError(err)
	}
}

// stopInTurn stops all instances gracefully, one after the other, and starts each again
// when it has ended. For some seconds none lives that is not stopping.
func (s *Soak) stopInTurn(f Fault) {
	var all conc.WaitGroup
	defer all.Wait()
	for n := range s.instances {
		target := n + len(s.instances)*(f.Target%2) // selects the requests of askLate
		all.Go(func() { s.stopAndRestart(Fault{Kind: Stop, Target: target}, s.instances[n]) })
		sleep.For(s.ctx, turnGap)
	}
}

// stopAndRestart stops an instance gracefully, checks that it ends in time, and
// starts it again.
func (s *Soak) stopAndRestart(f Fault, i *instance) {
	if !i.running() {
		return
	}
	begun := time.Now()
	s.ledger.Plan(i.name, begun.Add(time.Duration(grace*float64(time.Second))))
	if s.Sabotage == Planned {
		i.markStopping()
		i.signal(syscall.SIGKILL)
	}
	var late conc.WaitGroup
	defer late.Wait()
	if exited := i.exit(); s.Sabotage == "" || s.Sabotage == Planned {
		late.Go(func() { s.askLate(f, i, begun, exited) })
	}
	inTime := i.stop()
	if s.ledger.Undisturbed(i.name, begun) {
		s.ledger.Check(Planned, inTime, "%s did not end within %v s", i.name, grace)
	}
	s.ledger.Plan(i.name, time.Now())
	s.ledger.Forgets(i.name)
	if err := i.start(); err != nil {
		s.recordError(err)
	}
}
