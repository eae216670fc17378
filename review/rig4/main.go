//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases maps the name of a case to its play, which reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"half-transaction": halfTransaction,
	"moved-route":      movedRoute,
	"shutdown":         pipelinedShutdown,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case of the first argument and writes the record to the file of the second.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "usage: rig4 CASE RECORD; cases: %s\n", strings.Join(names, ", "))
		return couldNot
	}
	record, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record, configuration(7, firstGroup))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", args[0], trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.close()
		os.Exit(couldNot)
	}()
	isBroken, err := cases[args[0]](w, trouble)
	w.noteRuns()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return couldNot
	case isBroken:
		w.note("the rule was broken")
		return broken
	default:
		w.note("the rule held")
		return held
	}
}

// configuration returns a version of the routes of the sheet of silozrak. fan-orders leads to the
// given group, the others to the first one.
func configuration(version int, fanOrders string) site.Configuration {
	return site.Configuration{
		Version: version,
		Routes: []site.Route{
			{Database: "fan-orders", Type: "primary", Group: fanOrders, Timeout: time.Second, Objective: time.Second},
			{Database: "probe-reads", Type: "bounded_staleness", Group: firstGroup, Timeout: 2 * time.Second, Objective: 1500 * time.Millisecond},
			{Database: "shift-logs", Type: "read_your_writes", Group: firstGroup, Timeout: time.Second, Objective: 2 * time.Second},
		},
		Connections: map[string]int{firstGroup: maxConnections, secondGroup: maxConnections},
	}
}
