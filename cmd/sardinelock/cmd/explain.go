package cmd

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB-ID [FILE...]",
		Short: "Print the timeline of a job from the logs of all processes",
		Long: `Print the timeline of a job from the logs of all processes, in chronological order.

Reads the files, or standard input. Text in front of the JSON object of a line, such
as the name of the instance, is printed in front of the event.`,
		Example: `  sardinelock explain 5c0e7a21d94b36f8 entry.log agent-*.log`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(c.InOrStdin(), args[1:], args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no line names the job %q", args[0])
			}
			printTimeline(c.OutOrStdout(), lines)
			return nil
		},
	}
}

// logLine is a parsed line of a process's log.
type logLine struct {
	source string // the text before the JSON object, or the file name
	at     time.Time
	event  string
	fields []string // "name=value" of each field that is not empty, sorted
}

const maxLineBytes = 1 << 20

// readLogs returns the lines that mention a job, in chronological order.
func readLogs(stdin io.Reader, files []string, job string) ([]logLine, error) {
	var lines []logLine
	if len(files) == 0 {
		return sortLines(scanLog(lines, stdin, "", job))
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err = scanLog(lines, f, name, job)
		if closing := f.Close(); err == nil {
			err = closing
		}
		if err != nil {
			return nil, err
		}
	}
	return sortLines(lines, nil)
}

func sortLines(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, err
}

func scanLog(lines []logLine, r io.Reader, name, job string) ([]logLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		prefix, body, found := strings.Cut(s.Text(), "{")
		if !found || !strings.Contains(body, job) {
			continue
		}
		if l, ok := parseLine("{" + body); ok {
			l.source = cmp.Or(strings.Join(strings.Fields(prefix), " "), name)
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

// parseLine parses the JSON object of a line. It returns false if the text is not
// a JSON object.
func parseLine(text string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return logLine{}, false
	}
	var l logLine
	l.event, _ = fields["event"].(string)
	at, _ := fields["time"].(string)
	l.at, _ = time.Parse(time.RFC3339Nano, at)
	for name, value := range fields {
		switch name {
		case "time", "level", "event", "job":
			continue
		}
		if text := fmt.Sprint(value); text != "" {
			l.fields = append(l.fields, name+"="+text)
		}
	}
	slices.Sort(l.fields)
	return l, true
}

func printTimeline(w io.Writer, lines []logLine) {
	start := lines[0].at
	for _, l := range lines {
		fmt.Fprintf(w, "%9.1f ms  %-24s %-16s %s\n",
			float64(l.at.Sub(start))/float64(time.Millisecond), l.source, l.event, strings.Join(l.fields, " "))
	}
}
