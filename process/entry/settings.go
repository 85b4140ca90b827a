package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/check"
)

// Settings are the start parameters of one process. All other parameters are
// in the configuration, which all entries share.
type Settings struct {
	// Name identifies the entry to operators. The entry's ID consists of the
	// name and a random suffix that is new at each start.
	Name string `json:"name" validate:"required,max=64,printascii,excludesall=. "`
	// Addr is the IP address and port that callers connect to.
	Addr string `json:"addr" validate:"required,ipport"`
	// Peer is the IP address and port, TCP and UDP, that other entries use.
	Peer string `json:"peer" validate:"required,ipport"`
	// Place is the data centre of the entry, and Region the region of the
	// place.
	Place  string `json:"place" validate:"required,max=64,printascii"`
	Region string `json:"region" validate:"required,max=64,printascii"`
	// Platform is the URL of the platform's services.
	Platform string `json:"platform" validate:"required,http_url"`
	// Start is the longest wait for the configuration at the start, in seconds,
	// after which the process ends with an error; 30 if 0.
	Start int `json:"start,omitempty" validate:"gte=0,lte=86400"`
	// Stop is the longest graceful stop in seconds; 300 if 0.
	Stop int `json:"stop,omitempty" validate:"gte=0,lte=86400"`
	// Keep is how long callers may cache a locate answer, in seconds; 30 if 0.
	Keep int `json:"keep,omitempty" validate:"gte=0,lte=600"`
	// Memory is the memory of this process in MB, and Files the number of its descriptors;
	// no limit if 0.
	Memory int `json:"memory,omitempty" validate:"gte=0,lte=16777216"`
	Files  int `json:"files,omitempty" validate:"gte=0,lte=16777216"`
	// Level is the lowest level that is logged: "info" if empty.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// ReadSettings reads and validates a settings file. The error lists every
// invalid field with its value and the allowed values.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("decode settings %s: %w", path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return s, fmt.Errorf("decode settings %s: data after the end of the object", path)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("check settings %s: %w", path, err)
	}
	return s, nil
}

// Check validates the settings and returns all faults in one error.
func (s Settings) Check() error { return check.Struct(s) }
