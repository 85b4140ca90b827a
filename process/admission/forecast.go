package admission

import (
	"math"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

// never is a time that is not reached.
const never = time.Hour

// Times is a forecast for one request, from now on.
type Times struct {
	First  time.Duration // until its first token, at the engine that is first
	Room   time.Duration // until an engine has memory and a slot for it
	Idle   time.Duration // until its first token at an idle engine
	Slots  float64       // share of the slots in use at all engines
	Memory float64       // share of the memory in use at all engines
}

// Forecast returns when a request can be expected to have its first token. The prompt tokens
// that wait before it here are ahead; other instances are assumed to have none. Memory becomes free
// at the rate at which generations end, less the growth of those that go on.
func Forecast(engines []placement.EngineLoad, prompt, ahead float64) Times {
	first, room, idle := math.Inf(1), math.Inf(1), math.Inf(1)
	var freed, runs, slots, used, memory float64
	for _, e := range engines {
		freed += e.Freed()
		runs += e.Runs
		slots += e.Slots
		used += e.Used
		memory += e.Memory
	}
	queued := 0.0
	if ahead > 0 && freed > 0 {
		queued = ahead / freed
	}
	for _, e := range engines {
		wait := queued
		if need := e.Used + prompt - e.Memory; need > 0 {
			wait += need / e.Freed()
		} else if e.Slots > 0 && e.Runs >= e.Slots {
			wait += e.StepTime / max(e.Runs*e.Ending, 1e-9)
		}
		own := prompt*e.PromptTime + e.StepTime
		first = min(first, max(wait, e.Pending*e.PromptTime)+e.Stall+own)
		room, idle = min(room, wait), min(idle, own)
	}
	return Times{First: duration(first), Room: duration(room), Idle: duration(idle), Slots: runs / max(slots, 1), Memory: used / max(memory, 1)}
}

func duration(seconds float64) time.Duration {
	if !(seconds < never.Seconds()) {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}
