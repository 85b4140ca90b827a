package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/check"
)

type (
	// Settings are what one process is told at its start.
	Settings struct {
		// Name identifies the instance; a process that is started again has the
		// same name.
		Name   string `json:"name" validate:"required,max=120,printascii"`
		Place  string `json:"place" validate:"required,max=120"`
		Region string `json:"region" validate:"required,max=120"`
		// Places gives the region of each place.
		Places map[string]string `json:"places" validate:"required"`
		// Callers, Ready, Locate, Peer, Probe and Metrics are the addresses, IP
		// and port, for requests, readiness, questions which instances to use,
		// calls of other instances, membership datagrams, loads, and counters.
		Callers string `json:"callers" validate:"required,ipport"`
		Ready   string `json:"ready" validate:"required,ipport"`
		Locate  string `json:"locate" validate:"required,ipport"`
		Peer    string `json:"peer" validate:"required,ipport"`
		Probe   string `json:"probe" validate:"required,ipport"`
		Loads   string `json:"loads" validate:"required,ipport"`
		Metrics string `json:"metrics,omitempty" validate:"omitempty,ipport"`
		// Seeds are peer addresses of instances that may exist.
		Seeds []string `json:"seeds"`
		// Store is the address of the platform's store.
		Store string `json:"store" validate:"required,ipport"`
		// Beat is the interval in milliseconds at which endpoints renew their rows.
		Beat int `json:"beat" validate:"gte=1,lte=60000"`
		// Grace is how long a stop may take, in seconds.
		Grace float64 `json:"grace" validate:"gt=0,lte=86400"`
		// Keep is how long callers may keep an answer that names instances, in
		// seconds.
		Keep  float64 `json:"keep" validate:"gt=0,lte=600"`
		Retry Retry   `json:"retry"`
		// Level is the lowest level that is logged: "info" if empty.
		Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	}

	// Retry is the budget of all instances together for each service.
	Retry struct {
		Ratio  float64 `json:"ratio" validate:"gte=0,lte=10"`     // repeats for each request
		Window float64 `json:"window" validate:"gt=0,lte=600"`    // seconds
		Slack  float64 `json:"slack" validate:"gte=0,lte=100000"` // repeats beyond that in one window
	}
)

// ReadSettings reads and checks a settings file. The error names every fault
// with its field, the value and what is allowed.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
		return s, fmt.Errorf("decode settings %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("check settings %s: %w", path, err)
	}
	return s, nil
}

// Check names every fault of the settings in one error.
func (s Settings) Check() error { return check.Struct(s) }

// Reload puts changed settings in force, as far as they can change while the
// instance runs: the retry budget, the seeds, how long a stop and an answer to
// callers last, and the level of the log. Addresses and places need a restart.
// Settings that could not be read change nothing.
func (g *Gateway) Reload(s Settings, err error) {
	if err != nil {
		counters.Add("reload_failed", 1)
		g.Log.WithError(err).WithField("event", "reload_failed").Error("changed settings are not used")
		return
	}
	old := g.live()
	if reflect.DeepEqual(*old, s) {
		return
	}
	changed := *old
	changed.Retry, changed.Seeds, changed.Grace, changed.Keep, changed.Level = s.Retry, s.Seeds, s.Grace, s.Keep, s.Level
	g.changing.Store(&changed)
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		g.Log.SetLevel(level)
	}
	g.Log.WithFields(logrus.Fields{"event": "reload", "restart": !reflect.DeepEqual(changed, s)}).Info("settings reloaded")
}

// live gives the settings in force.
func (g *Gateway) live() *Settings {
	if s := g.changing.Load(); s != nil {
		return s
	}
	return &g.Settings
}

// Keep is how long callers may keep an answer that names instances.
func (g *Gateway) Keep() float64 { return g.live().Keep }

// RegionOf gives the region of a place, or the place itself if it is not known.
func (s *Settings) RegionOf(place string) string {
	if region, ok := s.Places[place]; ok {
		return region
	}
	return place
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
