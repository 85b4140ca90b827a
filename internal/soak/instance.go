package soak

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

const addressTTL = 1.0 // seconds for which callers may use the answer to an address query

// instance is one instance on the platform path, with relays on its link to the
// store and on its callers' link to it.
type instance struct {
	process
	settings   gateway.Settings
	storeLink  *relay // from the instance to the store
	callerLink *relay // from callers to the instance
	// stalledUntil is the end of the latest stall; process.mu guards it.
	stalledUntil time.Time
}

// newInstance returns an instance that is not started yet. Instances send their loads to
// one port of all hosts, as on machines of their own, so each of them has a host address
// of the loopback network for what other instances send to it.
func newInstance(name, place, binary, dir, store, host, loadsPort string, places map[string]string) (*instance, error) {
	i := &instance{process: process{name: name, binary: binary, dir: dir}}
	i.args = func() ([]string, error) {
		path, err := i.write()
		return []string{"serve", "--config", path}, err
	}
	s := &i.settings
	*s = gateway.Settings{
		Name: name, Place: place, Region: places[place], Places: places, Beat: 500, Grace: grace, Keep: addressTTL,
		Retry:      gateway.Retry{Ratio: budgetRatio, Window: budgetWindow.Seconds(), Slack: budgetSlack},
		Evacuation: int(evacuateBound.Milliseconds()), Cold: gateway.Cold{Factor: coldFactor, Slack: coldSlack},
	}
	for _, addr := range []*string{&s.Callers, &s.Ready, &s.Locate, &s.Peer, &s.Probe, &s.Metrics} {
		var err error
		if *addr, err = port.Addr(); err != nil {
			return nil, fmt.Errorf("reserve address of %s: %w", name, err)
		}
	}
	_, probePort, err := net.SplitHostPort(s.Probe)
	if err != nil {
		return nil, fmt.Errorf("address of %s: %w", name, err)
	}
	s.Probe, s.Loads = net.JoinHostPort(host, probePort), net.JoinHostPort(host, loadsPort)
	if i.storeLink, err = newRelay("", store); err != nil {
		return nil, err
	}
	s.Store = i.storeLink.addr
	if i.callerLink, err = newRelay("", s.Callers); err != nil {
		return nil, err
	}
	return i, nil
}

// write stores the settings file and returns its path.
func (i *instance) write() (string, error) { return i.writeSettings(i.settings) }

// changeSettings writes a settings file with one changed setting. If faulty is
// set, the file is also invalid, and the instance keeps its settings.
func (i *instance) changeSettings(faulty bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.settings.Retry
	i.settings.Retry.Slack--
	if faulty {
		i.settings.Retry.Window = -1
	}
	_, err := i.write()
	if faulty {
		i.settings.Retry = old // the other settings are read without the lock
	}
	return err
}

// suspend stops the process of an instance until a time.
func (s *Soak) suspend(i *instance, until time.Time) {
	s.ledger.Disturb(i.name, until)
	i.signal(syscall.SIGSTOP)
	sleep.For(s.ctx, time.Until(until))
	i.signal(syscall.SIGCONT)
	s.ledger.Disturb(i.name, time.Now())
	s.ledger.Forgets(i.name)
}

// close kills the process and closes the links.
func (i *instance) close() {
	i.kill()
	i.storeLink.close()
	i.callerLink.close()
}
