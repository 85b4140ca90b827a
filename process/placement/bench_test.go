package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func endpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%03d", i), Region: fmt.Sprintf("r%d", i%3), Tokens: 100_000})
	}
	return list
}

// fleet returns a scheduler with n endpoints that run the work of other entries.
func fleet(n int, policy Policy) *Scheduler { return seededFleet(n, policy, 1) }

func seededFleet(n int, policy Policy, seed uint64) *Scheduler {
	s := &Scheduler{Policy: policy, Service: "s", Region: "r0", Seed: seed}
	list := endpoints(n)
	s.SetEndpoints(list)
	s.SetPeers(7)
	for i, e := range list {
		s.Report(e.ID, Report{At: start, Running: 60, Used: int64(50_000 + 300*i), Total: 100_000, StepTime: 40 * time.Millisecond}, start)
	}
	return s
}

func benchmarkPlace(b *testing.B, policy Policy) {
	s := fleet(100, policy)
	req := Request{Account: "a", Prompt: 500, Max: 4000, Prefix: []uint64{1, 2, 3, 4}, Arrived: start}
	for i := range 64 {
		s.Place(Request{Account: "a", Prompt: 500, Prefix: []uint64{uint64(i), 2}, Arrived: start}, start)
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		req.Arrived = now
		d := s.Place(req, now)
		s.Done(d.Ticket, 100, false, now)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, p := range []Policy{Current, Previous, RoundRobin, LeastConn, TwoChoice} {
		b.Run(string(p), func(b *testing.B) { benchmarkPlace(b, p) })
	}
}

func BenchmarkPlaceParallel(b *testing.B) {
	s := fleet(100, Current)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := Request{Account: "a", Prompt: 500, Max: 4000, Prefix: []uint64{1, 2}, Arrived: start}
		for pb.Next() {
			d := s.Place(req, start)
			if d.Endpoint != "" {
				s.Progress(d.Ticket, 100, start)
				s.Done(d.Ticket, 100, true, start)
			}
		}
	})
}

func BenchmarkProgress(b *testing.B) {
	s := fleet(20, Current)
	var tickets []Ticket
	for range 100 {
		tickets = append(tickets, s.Place(Request{Account: "a", Prompt: 100, Arrived: start}, start).Ticket)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		s.Progress(tickets[rand.IntN(len(tickets))], n/100, start)
	}
}
