package configurer

import (
	"fmt"
	"strings"
	"testing"
)

// plannedSizeBase returns a base of the planned size of 130 teams.
func plannedSizeBase() []byte {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range 12 {
		fmt.Fprintf(&b, "  - name: service-%d\n    path: /service-%d\n    timeout: 30s\n    default-run-time: 200ms\n", i, i)
		b.WriteString("    objective:\n      latency: 2s\n      latency-ratio: 0.99\n      success-ratio: 0.999\n")
	}
	b.WriteString("teams:\n")
	for i := range 130 {
		fmt.Fprintf(&b, "  - name: team-%d\n    slots: %d\n    starts-per-second: 500\n    token-hashes:\n", i, i)
		for j := range 2 {
			fmt.Fprintf(&b, "      - \"%064x\"\n", 2*i+j)
		}
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	base := plannedSizeBase()
	b.SetBytes(int64(len(base)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("base.yaml", base); err != nil {
			b.Fatal(err)
		}
	}
}
