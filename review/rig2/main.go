//go:build review

// Command rig2 runs the scripts of the second review: it starts the daemons of a small
// deployment as separate processes, plays the platform, the instances and the clients, and
// checks a rule. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(e *environment) (int, error){
	"successor-lost": successorLost,
}

// environment is what a case gets.
type environment struct {
	trouble bool
	dir     string
	log     *recorder
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE DIRECTORY")
		return failed
	}
	// KEEP_LOGS names a folder in which the logs of the daemons are kept.
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Println(err)
			return failed
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	log, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, log: log}
	code, err := cases[os.Args[1]](e)
	if err != nil {
		log.event("rig", "could not run: %v", err)
		return failed
	}
	log.event("rig", "exit %d", code)
	return code
}
