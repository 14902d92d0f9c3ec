// Command standin-3 starts a small deployment of the project's programs on loopback addresses beside
// stand-ins for the platform, and plays one case of the third review on it.
package main

import (
	"flag"
	"fmt"
	"os"
)

// exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/sardinelock", "the project's program")
	dir := flag.String("dir", "", "temporary folder")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	cases := map[string]func(c *setting) int{"cancels": cancels, "crowd": crowd, "large": large, "odd": odd, "silent": silent}
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(cannotRun)
	}
	os.Exit(run(&setting{program: *program, dir: *dir, record: rec, trouble: *trouble}))
}

// setting is what a case is given.
type setting struct {
	program, dir string
	record       *record
	trouble      bool
}

// verdict writes the result of a case and returns its exit code.
func (s *setting) verdict(code int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	s.record.line("verdict", "exit", code, "text", text)
	return code
}
