package cataloguer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var sample = Catalogue{Version: 3, MaxBodyBytes: 10, Queues: []Queue{
	{Name: "a", Host: "a.example", Prefix: "/x/", Service: "s", MaxAttempts: 1, SlowdownFactor: 1.5, LatencyAllowance: time.Second},
	{Name: "b", Host: "a.example", Prefix: "/x/y/", Service: "s", MaxAttempts: 2},
	{Name: "c", Prefix: "/z/", Service: "t", MaxAttempts: 1, RequiresAdvice: true},
}}

func TestFind(t *testing.T) {
	for _, c := range []struct{ host, path, name, rest string }{
		{"a.example", "/x/1", "a", "1"},
		{"A.example", "/x/y/1", "b", "1"},
		{"other", "/z/1", "c", "1"},
		{"other", "/x/1", "", ""},
		{"a.example", "/x", "", ""},
	} {
		q, rest, found := sample.Find(c.host, c.path)
		got := []string{"", rest}
		if found {
			got[0] = q.Name
		}
		if diff := cmp.Diff([]string{c.name, c.rest}, got); diff != "" {
			t.Errorf("%s%s (-want +got):\n%s", c.host, c.path, diff)
		}
	}
}

func TestEncode(t *testing.T) {
	b, err := sample.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&sample, got); diff != "" {
		t.Errorf("catalogue (-want +got):\n%s", diff)
	}
	for _, bad := range [][]byte{nil, []byte("x"), b[:len(b)-1], {0xa0}} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%x was accepted", bad)
		}
	}
}

func TestOfferNeverLowersVersion(t *testing.T) {
	var s Store
	var got []bool
	for _, v := range []uint64{3, 2, 3, 5, 4} {
		got = append(got, s.Offer(&Catalogue{Version: v}))
	}
	if diff := cmp.Diff([]bool{true, false, false, true, false}, got); diff != "" {
		t.Errorf("accepted versions (-want +got):\n%s", diff)
	}
	if v := s.InForce().Version; v != 5 {
		t.Errorf("version %d is in force", v)
	}
}
