package system

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// BenchmarkPolicies measures policies on the whole path: 7 entries, 20 engines
// and 200 callers in one process, over loopback, in turns.
func BenchmarkPolicies(b *testing.B) {
	accounts := []load.Account{
		{ID: "riga", Key: "key-riga", Callers: 120},
		{ID: "liepaja", Key: "key-liepaja", Callers: 40},
		{ID: "presov", Key: "key-presov", Callers: 40},
	}
	for round := range b.N {
		for _, policy := range []string{"current", "roundrobin", "leastconn", "twochoice"} {
			b.Run(fmt.Sprintf("%s/round=%d", policy, round), func(b *testing.B) {
				b.StopTimer()
				report := runPolicy(b, policy, accounts, uint64(round+1))
				b.ReportMetric(report.Stall.P95, "stall-p95-ms")
				b.ReportMetric(report.Gap.P99, "gap-p99-ms")
				b.ReportMetric(1000*float64(report.Preemptions)/float64(report.Requests), "preempted/1000")
				b.ReportMetric(float64(report.Tokens)/policyTime.Seconds(), "tokens/s")
				b.ReportMetric(float64(report.Answered), "answered")
			})
		}
	}
}

const policyTime = 20 * time.Second

func runPolicy(tb testing.TB, policy string, accounts []load.Account, seed uint64) load.Report {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &System{
		Places:  []Place{{Name: "a", Region: "north"}, {Name: "b", Region: "middle"}, {Name: "c", Region: "south"}},
		Entries: 7, Engines: 20, Plains: 3, Seed: seed, Log: log,
		Config: model.Config{Memory: 4000, Base: 25 * time.Millisecond},
		Edit:   func(doc *config.Document) { doc.Services[0].Policy = policy },
	}
	require.NoError(tb, s.Start(context.Background()))
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), policyTime)
	defer cancel()
	runner := &load.Runner{
		Entries: s.Addrs(), Accounts: accounts, Model: Model, Plain: Plain, Runs: s.PlainAddrs(),
		Seed: seed, Max: 2000, Pause: 100 * time.Millisecond, Preemptions: s.Preemptions,
	}
	report := runner.Run(ctx)
	require.False(tb, report.Broken(), report.JSON())
	return report
}
