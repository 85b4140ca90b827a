package config_test

import (
	"context"
	"fmt"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

func ExampleDecode() {
	_, faults := config.Decode([]byte(`{"secrets":["00112233445566778899aabbccddeeff"],
		"services":[{"id":"chat","kind":"engine","weights":{"gap":-1}}]}`))
	fmt.Println(faults[0])
	// Output: services[0].weights.gap: "-1" is not allowed, want a number of at least 0
}

// Two operators change the configuration from the same version.
func ExampleStore_Change() {
	var m platform.Memory
	store := &config.Store{Platform: m.Platform()}
	edit := func(max int) func(*config.Document) error {
		return func(d *config.Document) error {
			d.Secrets = []string{"00112233445566778899aabbccddeeff"}
			d.Services = []config.Service{{ID: "chat", Kind: config.KindEngine, Max: max}}
			return nil
		}
	}
	fmt.Println(store.Change(context.Background(), 0, edit(100), "ann"))
	fmt.Println(store.Change(context.Background(), 0, edit(200), "ben"))
	// Output:
	// 1 <nil>
	// 0 change is based on version 0, current is 1; 1 by ann
}
