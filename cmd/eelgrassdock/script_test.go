package main

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
)

const awaitTimeout = 15 * time.Second // limit of await in a script

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"eelgrassdock": func() { os.Exit(run(os.Args[1:], stdStreams{out: os.Stdout, err: os.Stderr})) },
	})
}

// TestScripts runs commands of the binary together as separate processes. The
// scripts check command lines, settings files and signals as an operator uses
// them.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"port":  setPort,
			"subst": expandFiles,
			"await": awaitOK,
		},
	})
}

// setPort sets each named variable to a free local address.
func setPort(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		addr, err := port.Addr()
		ts.Check(err)
		ts.Setenv(name, addr)
	}
}

// expandFiles replaces the variables in the named files by their values.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// awaitOK polls a URL until it answers with status 200, at most awaitTimeout.
func awaitOK(ts *testscript.TestScript, _ bool, args []string) {
	until := time.Now().Add(awaitTimeout)
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
	ts.Fatalf("no answer from %s in %s", args[0], awaitTimeout)
}
