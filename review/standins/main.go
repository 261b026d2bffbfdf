// Command standins plays the scripts of the review: it starts nodes of the project as separate processes before stand-ins
// of the platform, of runners and of clients, and judges what these have seen.
//
// # Usage
//
//	review-standins CASE RECORD
//	review-standins engine ID
//
// CASE is the number of a case, RECORD the file that gets what was sent, answered and run. The exit code is 0 if the rule
// held, 1 if it was broken and 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is left out. The
// second form is the process of a model runner, which a case starts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// cases are the cases by number.
var cases = map[string]func(ctx context.Context, l *ledger, trouble bool) error{
	"1": playRefusalOfAnother,
	"2": playEndOfLeavingRunner,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(number, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = f.Close() }()
	l := newLedger(f)
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = cases[number](ctx, l, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		l.write("not run: %v", err)
		return exitNotRun
	}
	broken := l.finish()
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
