package receiver

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCountElements(t *testing.T) {
	got := make(map[string]int)
	want := map[string]int{
		`[]`: 1, `[1]`: 1, ` [1, 2,3]`: 3, `[[1,2],{"a":1,"b":[2,3]}]`: 2, `["a,b","\",\"c",","]`: 3, `["\\","]"]`: 2, `null`: 1,
	}
	for list := range want {
		got[list] = CountElements([]byte(list))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("elements (-want +got):\n%s", diff)
	}
}
