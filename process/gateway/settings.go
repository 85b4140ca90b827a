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
	// Settings are the start settings of one process.
	Settings struct {
		// Name identifies the instance. A restarted process has the same name.
		Name   string `json:"name" validate:"required,max=120,printascii"`
		Place  string `json:"place" validate:"required,max=120"`
		Region string `json:"region" validate:"required,max=120"`
		// Places maps each place to its region.
		Places map[string]string `json:"places" validate:"required"`
		// Callers, Ready, Locate, Peer, Probe, Loads and Metrics are addresses,
		// IP and port, in this order for requests, readiness checks, queries
		// which instances to use, calls of other instances, membership
		// datagrams, the exchange of loads, and counters.
		Callers string `json:"callers" validate:"required,ipport"`
		Ready   string `json:"ready" validate:"required,ipport"`
		Locate  string `json:"locate" validate:"required,ipport"`
		Peer    string `json:"peer" validate:"required,ipport"`
		Probe   string `json:"probe" validate:"required,ipport"`
		Loads   string `json:"loads" validate:"required,ipport"`
		Metrics string `json:"metrics,omitempty" validate:"omitempty,ipport"`
		// Seeds are peer addresses of instances that may be running.
		Seeds []string `json:"seeds"`
		// Store is the address of the platform's store.
		Store string `json:"store" validate:"required,ipport"`
		// Link is the rate of this machine's link in Mbit/s; 0 if it is unknown. Tables
		// for other instances take at most half of it.
		Link float64 `json:"link,omitempty" validate:"gte=0,lte=1000000"`
		// Beat is the interval in milliseconds at which endpoints renew their rows.
		Beat int `json:"beat" validate:"gte=1,lte=60000"`
		// Grace is the longest time that a stop may take, in seconds.
		Grace float64 `json:"grace" validate:"gt=0,lte=86400"`
		// Keep is the time for which callers may use an answer that lists
		// instances, in seconds.
		Keep  float64 `json:"keep" validate:"gt=0,lte=600"`
		Retry Retry   `json:"retry"`
		// Evacuation is the time in milliseconds after the acknowledgement of an evacuation
		// from which nothing may reach the place; 0 if there are no evacuations.
		Evacuation int `json:"evacuation,omitempty" validate:"gte=0,lte=3600000"`
		// Cold bounds the requests to cold endpoints beyond the rate of their service.
		Cold Cold `json:"cold"`
		// Prefix places generations where a part of their prompt is probably cached, if what
		// that saves outweighs the wait there, on routes with session affinity.
		Prefix bool `json:"prefix,omitempty"`
		// Admission sends, holds or refuses generations by a forecast of when they would be
		// answered.
		Admission bool `json:"admission,omitempty"`
		// Memory is the memory of this process in MB, and Files the number of its
		// descriptors; 0 if there is no limit.
		Memory int `json:"memory,omitempty" validate:"gte=0,lte=16777216"`
		Files  int `json:"files,omitempty" validate:"gte=0,lte=16777216"`
		// Level is the lowest log level that is written: "info" if empty.
		Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	}

	// Cold is how far the requests to a cold endpoint in one second, from all instances
	// together, may exceed the rate that its service tolerates: Rate x Factor + Slack.
	Cold struct {
		Factor float64 `json:"factor,omitempty" validate:"gte=0,lte=1000"`
		Slack  float64 `json:"slack,omitempty" validate:"gte=0,lte=100000"`
	}

	// Retry is the retry budget for each service, shared by all instances.
	Retry struct {
		Ratio  float64 `json:"ratio" validate:"gte=0,lte=10"`     // repeats per request
		Window float64 `json:"window" validate:"gt=0,lte=600"`    // in seconds; validated, but without effect, as the budget is a token bucket
		Slack  float64 `json:"slack" validate:"gte=0,lte=100000"` // repeats beyond the ratio: size of the bucket
	}
)

// ReadSettings reads and validates a settings file. A validation error lists
// every invalid field with its value and the rule it violates.
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

// Check validates the settings and returns all violations in one error.
func (s Settings) Check() error { return check.Struct(s) }

// Reload applies changed settings that can change while the instance runs: the
// retry budget, the seeds, the grace time, the keep time of answers to callers,
// and the log level. Addresses and places need a restart. If err is not nil, it
// logs err and changes nothing.
func (g *Gateway) Reload(s Settings, err error) {
	if err != nil {
		counters.Add("reload_failed", 1)
		g.Log.WithError(err).WithField("event", "reload_failed").Error("settings could not be reloaded; the current ones stay in force")
		return
	}
	old := g.currentSettings()
	if reflect.DeepEqual(*old, s) {
		return
	}
	changed := *old
	changed.Retry, changed.Seeds, changed.Grace, changed.Keep, changed.Level = s.Retry, s.Seeds, s.Grace, s.Keep, s.Level
	g.reloaded.Store(&changed)
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		g.Log.SetLevel(level)
	}
	g.Log.WithFields(logrus.Fields{"event": "reload", "restart": !reflect.DeepEqual(changed, s)}).Info("settings reloaded")
}

// currentSettings returns the settings in force.
func (g *Gateway) currentSettings() *Settings {
	if s := g.reloaded.Load(); s != nil {
		return s
	}
	return &g.Settings
}

// Keep returns the time for which callers may use an answer that lists
// instances, in seconds.
func (g *Gateway) Keep() float64 { return g.currentSettings().Keep }

// RegionOf returns the region of a place, or the name of the place itself if
// its region is unknown.
func (s *Settings) RegionOf(place string) string {
	if region, ok := s.Places[place]; ok {
		return region
	}
	return place
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
