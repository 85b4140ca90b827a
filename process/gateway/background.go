package gateway

import (
	"github.com/sourcegraph/conc/panics"

	"github.com/eelgrassdock/eelgrassdock/internal/background"
)

// spawn runs a task in the background. If it panics, the panic is logged and the task ends:
// the process goes on for the requests of other callers.
func (g *Gateway) spawn(task func()) { go background.Run(g.Log, task) }

// keep is spawn for a task that has to run for as long as this instance does. It is begun
// again if it panics.
func (g *Gateway) keep(task func()) { go background.Keep(g.base, g.Log, task) }

func (g *Gateway) logPanic(fault *panics.Recovered) { background.Log(g.Log, fault) }
