// Command standin plays a script of the review: it starts the programs of the system as
// processes, with stand-ins for clients, executors and the platform's store, and checks one
// rule from what these see.
//
//	standin SCRIPT PROGRAM RECORD
//
// The variable TROUBLE=0 leaves out the disruption. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the script couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var scripts = map[string]func(w *world, trouble bool){
	"agent-restart": agentRestart,
	"agent-pause":   agentPause,
	"cancel":        cancelElsewhere,
	"duplicate":     duplicateAfterCancel,
	"refuse":        refuse,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCRIPT PROGRAM RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { <-signals; w.close(); os.Exit(2) }()
	defer func() {
		w.close()
		if p := recover(); p != nil {
			if _, ok := p.(cannotRun); !ok {
				fmt.Fprintln(os.Stderr, p)
			}
			code = 2
		}
	}()
	scripts[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		w.logLocked("the rule held; %d runs", len(w.runs))
		fmt.Println("held")
		return 0
	}
	w.logLocked("the rule was broken %d times; %d runs", len(w.violations), len(w.runs))
	fmt.Printf("broken %d times; the first: %s\n", len(w.violations), w.violations[0])
	return 1
}
