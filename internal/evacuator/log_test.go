package evacuator

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestLog guards against lines of entries and agents that differ: operators compare the versions and ages.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	journal := journaler.New("info", &out)
	e := New(Limits{})
	e.Offer(messenger.Evacuations{Version: 3, DataCentres: []string{"dc-1"}}, 0)
	c, _ := e.Offer(messenger.Evacuations{Version: 4, DataCentres: []string{"dc-2", "dc-3"}}, 0)
	c.Log(journal, 1500*time.Millisecond, "platform")
	journal.Close()
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		got = append(got, regexp.MustCompile(`"event".*`).FindString(line))
	}
	want := []string{
		`"event":"evacuation-begun","data-centre":"dc-2","evacuations-version":4,"age":1500,"source":"platform"}`,
		`"event":"evacuation-begun","data-centre":"dc-3","evacuations-version":4,"age":1500,"source":"platform"}`,
		`"event":"evacuation-ended","data-centre":"dc-1","evacuations-version":4,"age":1500,"source":"platform"}`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
