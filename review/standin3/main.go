//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannotDo = 2
)

type reviewCase struct {
	options options
	play    func(*world, bool) (bool, error)
}

var cases = map[string]reviewCase{
	"late-order": {options{daemons: 6, replicationLag: time.Millisecond}, lateOrder},
	"restarted":  {options{daemons: 2, links: true, replicationLag: 60 * time.Millisecond, promotionDelay: 300 * time.Millisecond}, restarted},
	"comes-back": {options{daemons: 2, links: true, replicationLag: 60 * time.Millisecond, promotionDelay: time.Second}, comesBack},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return cannotDo
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotDo
	}
	defer rec.close()
	c := cases[os.Args[1]]
	w, err := newWorld(rec, c.options)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		rec.say("the case cannot run: %v", err)
		return cannotDo
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		w.killAll()
		os.Exit(cannotDo)
	}()
	isBroken, err := c.play(w, os.Getenv("TROUBLE") != "0")
	w.recordRuns()
	switch {
	case err != nil:
		rec.say("the case cannot run: %v", err)
		return cannotDo
	case isBroken:
		rec.say("the rule was broken")
		return broken
	default:
		rec.say("the rule held")
		return held
	}
}
