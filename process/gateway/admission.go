package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/admission"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// reserve waits for an engine as dispatch.Dispatcher.Reserve does. A first attempt with a
// latency target is subject to admission if the settings ask for it; what has been sent
// before, or is the rest of a stream, is not, nor is a request that may have to wait for a
// grant under a limit or a pause. A decision to refuse is returned as such.
func (p *enginePool) reserve(ctx context.Context, j *job, request placement.Request, item *queue.Item) (placement.Decision, *admission.Decision, error) {
	if !p.g.Settings.Admission || j.route.Aim <= 0 || j.After != "" || len(request.Exclude) > 0 || p.g.limits.Asked() {
		decision, err := p.dispatcher.Reserve(ctx, request, item)
		return decision, nil, err
	}
	r := &admission.Request{
		Kind: j.route.Name, Prompt: j.Prompt, Rank: j.rank, Arrived: request.Arrived,
		Deadline: j.deadline, Aim: j.route.Aim, Timeout: j.route.Timeout,
	}
	decision, a, err := p.dispatcher.Admit(ctx, request, r, item)
	switch {
	case err != nil:
	case a.Action == admission.Refuse:
		counters.Add("admission_refused_"+a.Cause, 1)
		return decision, &a, nil
	case a.Bound:
		counters.Add("admission_bound", 1)
	case a.Late:
		counters.Add("admission_late", 1)
	}
	return decision, nil, err
}

// refuseCrowded returns the refusal of a request that admission turned away.
func (p *enginePool) refuseCrowded(j *job, a *admission.Decision, begun time.Time) *refusal.Error {
	now := time.Now()
	f := refusal.New(refusal.Overload, refusal.NotRun, "no engine of service "+p.service+" can serve the request in time ("+a.Cause+")")
	f.RetryAt = later(a.RetryAt, now)
	p.g.logDecision(j, "not_placed", logrus.Fields{
		"reason": f.Reason, "cause": a.Cause, "waited": now.Sub(begun).Milliseconds(), "queue": p.dispatcher.Queue.Len(),
		"forecast": a.First.Sub(now).Milliseconds(), "room": a.Room.Sub(now).Milliseconds(),
		"left": j.deadline.Sub(now).Milliseconds(), "retry": f.RetryAt.Sub(now).Milliseconds(),
	})
	return f
}

// observeForecast compares the forecast of a first token with what happened.
func observeForecast(forecast, took time.Duration) {
	observe(forecastTime, forecast)
	observe(forecastLate, max(took-forecast, 0))
	observe(forecastEarly, max(forecast-took, 0))
}
