package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/member"
)

const (
	batchDelay   = 5 * time.Millisecond // changes within this time are sent in one datagram
	microseconds = 1e6                  // in a second
)

// peerCache holds the peers of the exchange for one snapshot of the members.
type peerCache struct {
	members []member.Member
	peers   []loads.Peer
}

// announce schedules sending the current load to the other instances.
func (g *Gateway) announce() {
	select {
	case g.loadChanged <- struct{}{}:
	default:
	}
}

// receiveLoads handles a datagram of another instance.
func (g *Gateway) receiveLoads(data []byte, from string) {
	exchanged.Add("received", 1)
	exchanged.Add("received_bytes", int64(len(data)))
	if err := g.exchange.Receive(data, from, time.Now()); err != nil {
		counters.Add("loads_malformed", 1)
	}
}

// exchangeLoads sends the load of this instance to the other instances.
func (g *Gateway) exchangeLoads() {
	round := time.NewTicker(loads.RefreshInterval)
	defer round.Stop()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		all := false
		var notices []loads.Notice
		select {
		case <-g.base.Done():
			return
		case <-round.C:
			all = true
			g.expire(time.Now())
		case notice := <-g.notices:
			notices = append(notices, notice)
		case <-g.updatesUnsent:
		case <-g.relayNeeded:
			tick.Reset(0)
			continue
		case <-tick.C:
			if err := g.exchange.Tick(g.ownLoad, time.Now()); err != nil {
				g.Log.WithError(err).Error("sums of loads cannot be encoded")
			}
			tick.Reset(g.exchange.Interval())
			continue
		case <-g.loadChanged:
			sleep.For(g.base, batchDelay)
		}
		if err := g.exchange.Offer(g.ownLoad(), notices, all, time.Now()); err != nil {
			g.Log.WithError(err).Error("load cannot be encoded")
		}
		for _, data := range g.updates(all) {
			for _, p := range g.exchange.Peers() {
				if p.ID != g.id {
					g.exchange.Send(p.Addr, data, "updates")
				}
			}
		}
	}
}

func (g *Gateway) sendLoads(socket *member.Socket, addr string, data []byte, kind string) {
	exchanged.Add("sent_"+kind, 1)
	exchanged.Add("sent_bytes", int64(len(data)))
	if err := socket.Send(addr, data); err != nil {
		counters.Add("loads_unsent", 1)
	}
}

// prepareExchange sets what the exchange of loads needs to know of this instance.
func (g *Gateway) prepareExchange(port string) {
	g.relayNeeded = make(chan struct{}, 1)
	g.exchange.ID, g.exchange.Place, g.exchange.Board = g.id, g.Settings.Place, &g.board
	g.exchange.Peers = func() []loads.Peer { return g.exchangePeers(port) }
	g.exchange.Needed = func() {
		select {
		case g.relayNeeded <- struct{}{}:
		default:
		}
	}
}

// exchangePeers returns the live instances as the exchange of loads sees them. They have
// their sockets for loads at the same port.
func (g *Gateway) exchangePeers(port string) []loads.Peer {
	members := g.listMembers()
	if c := g.exchanging.Load(); c != nil && len(c.members) == len(members) && (len(members) == 0 || &c.members[0] == &members[0]) {
		return c.peers
	}
	c := &peerCache{members: members}
	for _, m := range members {
		host, _, err := net.SplitHostPort(m.Probe)
		if err != nil {
			continue
		}
		c.peers = append(c.peers, loads.Peer{
			ID: m.ID, Place: m.Place, Addr: net.JoinHostPort(host, port), Link: linkOf(m.ID), Relays: canRelay(m.ID), Leaving: m.Leaving,
		})
	}
	g.exchanging.Store(c)
	return c.peers
}

// sendUpdates schedules sending the unsent updates to the other instances.
func (g *Gateway) sendUpdates() {
	select {
	case g.updatesUnsent <- struct{}{}:
	default:
	}
}

// updates returns the datagrams that tell the other instances what this one has found
// out about endpoints. With all, it includes what is repeated once a second.
func (g *Gateway) updates(all bool) [][]byte {
	return append(g.suspectUpdates(all), g.limitUpdates(all)...)
}

// receiveUpdates connects the board to the parts that use what it receives.
func (g *Gateway) receiveUpdates() {
	g.board.OnChange, g.board.OnNotice, g.board.OnSuspects, g.board.OnLimits = g.onRemoteLoad, g.onNotice, g.onSuspects, g.onLimits
}

// expire forgets what other instances have not renewed. It is called once a second.
func (g *Gateway) expire(now time.Time) {
	g.board.Expire(now)
	g.enginePools.Range(func(_, p any) bool {
		p.(*enginePool).sched.SetLoadAge(g.exchange.Age())
		return true
	})
	g.quarantine.Expire(now)
	g.setLimitMembers(now)
	g.retainLimits()
}

// ownLoad returns the load that this instance puts on each engine.
func (g *Gateway) ownLoad() []loads.Load {
	var list []loads.Load
	g.enginePools.Range(func(_, d any) bool {
		for _, w := range d.(*enginePool).sched.Own() {
			list = append(list, loads.Load{
				Endpoint: w.Endpoint, Runs: w.Runs, Tokens: int64(w.Tokens), Copied: int64(max(w.Copied, 0)), Sent: int64(max(w.Sent, 0)),
				Took: int64(w.Took * microseconds), Predicted: int64(w.Predicted * microseconds),
			})
		}
		return true
	})
	return list
}

// onRemoteLoad handles a change of the load of the other instances on an
// engine.
func (g *Gateway) onRemoteLoad(l loads.Load) {
	l, isPace := l.Pace()
	e, ok := g.Roster.Get(l.Endpoint)
	if !ok {
		return
	}
	d, ok := g.enginePools.Load(e.Service)
	if !ok {
		return
	}
	if isPace {
		d.(*enginePool).sched.AddPace(l.Endpoint, float64(l.Took)/microseconds, float64(l.Predicted)/microseconds, time.Now())
		return
	}
	d.(*enginePool).setRemoteLoad(l)
}

// listenLoads opens the socket for loads and starts exchanging them.
func (g *Gateway) listenLoads() error {
	socket, err := member.ListenUDP(g.Settings.Loads)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(g.Settings.Loads)
	if err != nil {
		return fmt.Errorf("address for loads: %w", err)
	}
	g.receiveUpdates()
	g.prepareExchange(port)
	socket.Panicked = g.logPanic
	g.exchange.Send = func(addr string, data []byte, kind string) { g.sendLoads(socket, addr, data, kind) }
	context.AfterFunc(g.base, func() { _ = socket.Close() })
	g.keep(func() { _ = socket.Serve(g.receiveLoads) })
	g.keep(g.exchangeLoads)
	g.Log.WithFields(logrus.Fields{"event": "loads", "addr": socket.Addr()}).Debug("exchanging loads with other instances")
	return nil
}
