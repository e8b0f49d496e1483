// Command standin plays the cases of the review against mulberrygate processes. It exits
// with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held, broken, failed = 0, 1, 2
)

// errBroken reports a broken rule.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

var cases = map[string]func(*record, bool) error{
	"smuggle": playSmuggle,
	"drain":   playDrain,
	"route":   playRoute,
	"tenant":  playTenant,
	"pause":   playPause,
	"cutoff":  playCutOff,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](rec, trouble) }()
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("interrupted")
		closeCurrent()
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the case did not end in time")
		closeCurrent()
	}
	code := held
	switch e := err.(type) {
	case nil:
		rec.printf("the rule held")
		fmt.Println("the rule held")
	case errBroken:
		code = broken
		rec.printf("RULE BROKEN: %s", e.text)
		fmt.Println("rule broken:", e.text)
	default:
		code = failed
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	return code
}
