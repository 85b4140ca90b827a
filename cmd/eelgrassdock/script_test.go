package main

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
)

const waitTime = 15 * time.Second // longest wait for a process of a script

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"eelgrassdock": func() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr})) },
	})
}

// TestScripts runs the binary's processes together: what a script shows of one
// command line, settings file or signal is what an operator gets.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"port":  setPort,
			"subst": substitute,
			"await": await,
		},
	})
}

// setPort sets each named variable to a free address.
func setPort(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		addr, err := port.Addr()
		ts.Check(err)
		ts.Setenv(name, addr)
	}
}

// substitute replaces the variables in files.
func substitute(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await waits until a URL answers with status 200.
func await(ts *testscript.TestScript, _ bool, args []string) {
	until := time.Now().Add(waitTime)
	for time.Now().Before(until) {
		res, err := http.Get(args[0])
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("no answer from %s in %s", args[0], waitTime)
}
