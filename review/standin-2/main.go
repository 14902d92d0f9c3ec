// Command review-2 has the stand-ins of the review's cases and plays them.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each is told whether to cause the disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"count":      playCount,
	"crash-loop": playCrashLoop,
	"late-start": playLateStart,
	"drain":      playDrain,
	"estimate":   playEstimate,
	"move":       playMove,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{began: time.Now(), out: f}
	rec.linef("case %s, with the disruption: %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.linef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.linef("verdict: broken %v: %s", v.broken, v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}

// longest is the time after which a case is ended.
const longest = 115 * time.Second

// stopOnSignal ends all processes and then this one, at a signal or when the case takes too long.
func (g *rig) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	g.stop()
	os.Exit(2)
}

// with plays a case on a started rig and ends its processes.
func with(rec *record, entries, agents int, routes []map[string]any, f func(*rig) (verdict, error)) (verdict, error) {
	g, err := newRig(rec, entries, agents, routes)
	if err != nil {
		return verdict{}, errors.Join(errCannotRun, err)
	}
	defer g.stop()
	go g.stopOnSignal()
	if err := g.start(); err != nil {
		return verdict{}, err
	}
	return f(g)
}
