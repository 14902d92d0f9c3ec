package identifier

import (
	"strings"
	"testing"
)

// FuzzParse checks that no text makes the parser panic, and that every accepted text
// is a canonical id, in a valid partition, that round-trips through its text form.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"01a23f86-4d4d-7b39-a540-3aaf28009530",
		"01A23F86-4D4D-7B39-A540-3AAF28009530",
		"01a23f86-4d4d-4b39-a540-3aaf28009530",
		"{01a23f86-4d4d-7b39-a540-3aaf2800953}",
		"01a23f864d4d7b39a5403aaf28009530",
		"urn:uuid:01a23f86-4d4d-7b39-a540-3aaf",
		"", "-", strings.Repeat("0", 36),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err != nil {
			if !id.IsZero() {
				t.Errorf("%q: Parse returned both an id and an error: %v", text, err)
			}
			return
		}
		if id.String() != strings.ToLower(text) {
			t.Errorf("%q: the text form is %q", text, id.String())
		}
		if id.Partition() >= Partitions {
			t.Errorf("%q: partition %d", text, id.Partition())
		}
		var again Submission
		if err := again.UnmarshalText([]byte(id.String())); err != nil || again != id {
			t.Errorf("%q: the text form is parsed as %v, %v", text, again, err)
		}
	})
}
