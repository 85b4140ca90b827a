// Package background runs tasks beside requests. A panic in a task is logged, and ends
// neither the process nor the requests and tasks that have no part in it.
package background

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

// RestartPause is the time after which Keep begins a task again.
const RestartPause = time.Second

var count = expvar.NewInt("background_panics")

// Run runs a task and reports whether it panicked.
func Run(log *logrus.Logger, task func()) bool {
	fault := panics.Try(task)
	if fault != nil {
		Log(log, fault)
	}
	return fault != nil
}

// Keep runs a task that has to go on: if it panics, it is begun again after RestartPause,
// until ctx ends.
func Keep(ctx context.Context, log *logrus.Logger, task func()) {
	for Run(log, task) && sleep.For(ctx, RestartPause) {
	}
}

// Log logs a panic as the event panic, with the stack, and counts it.
func Log(log *logrus.Logger, fault *panics.Recovered) {
	count.Add(1)
	log.WithFields(logrus.Fields{"event": "panic", "stack": string(fault.Stack)}).Error(fault.Value)
}
