package soak

import (
	"fmt"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

const keepTime = 1.0 // seconds that callers may keep an answer

// instance is one instance on the platform path, with the links to it and from it.
type instance struct {
	process
	settings gateway.Settings
	store    *relay // link to the store
	door     *relay // link of callers
}

// newInstance makes an instance that is not started yet.
func newInstance(name, place, binary, dir, store string, places map[string]string) (*instance, error) {
	i := &instance{process: process{name: name, binary: binary, dir: dir}}
	i.args = func() ([]string, error) {
		path, err := i.write()
		return []string{"serve", "--config", path}, err
	}
	s := &i.settings
	*s = gateway.Settings{
		Name: name, Place: place, Region: places[place], Places: places, Beat: 500, Grace: grace, Keep: keepTime,
		Retry: gateway.Retry{Ratio: budgetRatio, Window: budgetSpan.Seconds(), Slack: budgetSlack},
	}
	for _, addr := range []*string{&s.Callers, &s.Ready, &s.Locate, &s.Peer, &s.Probe, &s.Loads, &s.Metrics} {
		var err error
		if *addr, err = port.Addr(); err != nil {
			return nil, fmt.Errorf("address of %s: %w", name, err)
		}
	}
	var err error
	if i.store, err = newRelay(store); err != nil {
		return nil, err
	}
	s.Store = i.store.addr
	if i.door, err = newRelay(s.Callers); err != nil {
		return nil, err
	}
	return i, nil
}

// write stores the settings file.
func (i *instance) write() (string, error) { return i.writeSettings(i.settings) }

// retune writes other settings, or a settings file with a fault.
func (i *instance) retune(faulty bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.settings
	i.settings.Retry.Slack--
	if faulty {
		i.settings.Retry.Window = -1
	}
	_, err := i.write()
	if faulty {
		i.settings = old
	}
	return err
}

// close ends the process and the links.
func (i *instance) close() {
	i.kill()
	i.store.close()
	i.door.close()
}
