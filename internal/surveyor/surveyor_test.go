package surveyor

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestScripts runs scripts of "sample size=N value=N", which adds a sample, "fit", which
// prints the line fitted to the samples, and "usage stat=FIELDS statm=FIELDS", which
// parses the files of a process; commas replace the spaces between fields.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		var out strings.Builder
		var samples []Sample
		for _, l := range lines {
			switch l.Verb {
			case "sample":
				samples = append(samples, Sample{parseNumber(t, l.Arg("size")), parseNumber(t, l.Arg("value"))})
			case "fit":
				f := fitLine(samples)
				fmt.Fprintf(&out, "base %.4f slope %.4f error %.4f at-100 %.4f\n", f.Base, f.PerUnit, f.StandardError, f.At(100))
				samples = nil
			case "usage":
				u, err := parseUsage(commasToSpaces(l.Arg("stat")), commasToSpaces(l.Arg("statm")))
				fmt.Fprintln(&out, u.ProcessorTime, u.ResidentBytes > 0, err)
			default:
				t.Fatal("unknown verb", l)
			}
		}
		return out.String()
	})
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func commasToSpaces(text string) []byte { return []byte(strings.ReplaceAll(text, ",", " ")) }
