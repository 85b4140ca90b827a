package gateway

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/member"
)

const (
	gather = 5 * time.Millisecond // changes of this time go into one datagram
)

// announce makes the present load known soon.
func (g *Gateway) announce() {
	select {
	case g.dirty <- struct{}{}:
	default:
	}
}

// exchange tells other instances the load of this one, and takes in theirs.
func (g *Gateway) exchange(socket *member.Socket) {
	g.spawn(func() {
		_ = socket.Serve(func(data []byte, _ string) {
			if err := g.board.Receive(data, time.Now()); err != nil {
				counters.Add("loads_malformed", 1)
			}
		})
	})
	defer func() { _ = socket.Close() }()
	_, port, err := net.SplitHostPort(g.Settings.Loads)
	if err != nil {
		g.Log.WithError(err).Error("address for loads is not valid")
		return
	}
	sender := loads.Sender{From: g.id}
	ticker := time.NewTicker(loads.RefreshInterval)
	defer ticker.Stop()
	for {
		all := false
		var datagrams [][]byte
		select {
		case <-g.base.Done():
			return
		case <-ticker.C:
			all = true
			g.board.Expire(time.Now())
		case news := <-g.news:
			data, err := sender.Notices(news)
			if err != nil {
				g.Log.WithError(err).Error("news are not sent")
			}
			datagrams = append(datagrams, data)
		case <-g.dirty:
			sleep.For(g.base, gather)
		}
		changes, err := sender.Changes(g.load(), all)
		if err != nil {
			g.Log.WithError(err).Error("load is not announced")
		}
		datagrams = append(datagrams, changes...)
		for _, m := range g.members.Members() {
			host, _, err := net.SplitHostPort(m.Probe)
			if err != nil || m.ID == g.id {
				continue
			}
			for _, data := range datagrams {
				if err := socket.Send(net.JoinHostPort(host, port), data); err != nil {
					counters.Add("loads_unsent", 1)
				}
			}
		}
	}
}

// load gives this instance's work at engines.
func (g *Gateway) load() []loads.Load {
	var list []loads.Load
	g.desks.Range(func(_, d any) bool {
		for _, w := range d.(*desk).sched.Own() {
			list = append(list, loads.Load{
				Endpoint: w.Endpoint, Runs: w.Runs, Tokens: int64(w.Tokens), Copied: int64(max(w.Copied, 0)), Sent: int64(max(w.Sent, 0)),
			})
		}
		return true
	})
	return list
}

// othersChanged takes in what the other instances have at an engine.
func (g *Gateway) othersChanged(l loads.Load) {
	e, ok := g.Roster.Get(l.Endpoint)
	if !ok {
		return
	}
	if d, ok := g.desks.Load(e.Service); ok {
		d.(*desk).others(l)
	}
}

// listenLoads opens the socket for loads.
func (g *Gateway) listenLoads() error {
	socket, err := member.ListenUDP(g.Settings.Loads)
	if err != nil {
		return err
	}
	g.board.OnChange, g.board.OnNotice = g.othersChanged, g.told
	g.spawn(func() { g.exchange(socket) })
	g.Log.WithFields(logrus.Fields{"event": "loads", "addr": socket.Addr()}).Debug("loads are exchanged")
	return nil
}
