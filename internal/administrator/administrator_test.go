package administrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/reporter"
	"sardinelock.dev/sardinelock/internal/scripter"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", runScript)
}

// testAPI is an administration API over simulated entries with scripted answers. It
// uses the real store client with an emulated platform.
type testAPI struct {
	t        *testing.T
	now      time.Time
	platform *emulator.Platform
	faults   emulator.Faults
	store    *storer.Client
	parts    map[Call][]Part
	// failPuts is the number of object writes that still fail without taking effect.
	failPuts int
	out      strings.Builder
	mux      *http.ServeMux
}

func runScript(t *testing.T, lines []scripter.Line) string {
	a := &testAPI{
		t:        t,
		now:      time.Unix(1_700_000_000, 0).UTC(),
		platform: emulator.NewPlatform(1, emulator.Faults{}),
		parts:    make(map[Call][]Part),
		mux:      http.NewServeMux(),
	}
	server := httptest.NewServer(a.platform.Handler())
	t.Cleanup(server.Close)
	a.store = storer.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	a.store.Sleep = func(context.Context, time.Duration) {}
	New(a.options()).Register(a.mux)
	for _, l := range lines {
		a.apply(l)
	}
	return a.out.String()
}

func (a *testAPI) options() Options {
	return Options{
		Authenticate: authenticate,
		AskAll: func(_ context.Context, call Call, body []byte) []Part {
			if call == CallHolds || call == CallCancelJobs {
				fmt.Fprintf(&a.out, "  entries are told: %s %s\n", call, body)
			}
			return a.parts[call]
		},
		AskOwner: func(_ context.Context, s identifier.Submission, call Call, _ []byte) Part {
			fmt.Fprintf(&a.out, "  the owner is told: %s %s\n", call, s)
			return a.parts[call][0]
		},
		Config: func() (*configurer.Config, uint64) {
			return &configurer.Config{
				Services: []configurer.Service{{Name: "quote", Objective: configurer.Objective{SuccessRatio: 0.9}}},
				Teams:    []configurer.Team{{Name: "order-desk", Slots: 10}},
			}, 7
		},
		Read:    a.store.Read,
		Write:   a.store.Write,
		Object:  a.store.Object,
		Objects: a.store.Objects,
		PutObject: func(ctx context.Context, key string, body []byte) error {
			if a.failPuts > 0 {
				a.failPuts--
				return &storer.Error{Op: "put-object", Kind: storer.KindUnavailable, Err: context.DeadlineExceeded}
			}
			return a.store.PutObject(ctx, key, body)
		},
		Now:           func() time.Time { return a.now },
		Sleep:         func(context.Context, time.Duration) {},
		ConfigTimeout: 50 * time.Millisecond,
	}
}

// authenticate takes the role of a request from its Role header.
func authenticate(r *http.Request, roles ...authenticator.Role) (authenticator.Principal, *submitter.Problem) {
	role := authenticator.Role(r.Header.Get("Role"))
	for _, allowed := range roles {
		if role == allowed {
			return authenticator.Principal{Name: "ann", Role: role}, nil
		}
	}
	return authenticator.Principal{}, &submitter.Problem{Status: http.StatusForbidden, Title: "the role does not allow this"}
}

func (a *testAPI) apply(l scripter.Line) {
	switch l.Verb {
	case "entry":
		a.part(CallEntry, l, Entry{Peer: messenger.Peer(l.Arg("peer")), State: EntryServing})
	case "upstream":
		a.part(CallUpstreams, l, []Upstream{a.upstream(l)})
	case "partition":
		a.part(CallPartitions, l, []Partition{a.partition(l)})
	case "data-centre":
		a.part(CallDataCentres, l, []DataCentre{a.dataCentre(l)})
	case "agent":
		a.part(CallRoster, l, []RosterAgent{a.rosterAgent(l)})
	case "roster":
		a.roster(l)
	case "declared":
		for _, r := range registrar.ReadRosters(a.platform.Read(registrar.RosterPrefix)) {
			fmt.Fprintf(&a.out, "region %s version %d: members %d, declared %v\n", r.Region, r.Version, len(r.Members), r.DeclaredDead())
		}
	case "usage":
		a.part(CallUsage, l, []Usage{{Service: "quote", Team: l.Arg("team"), OpenJobs: a.number(l, "open"), SentTasks: a.number(l, "sent")}})
	case "cancelled":
		a.part(CallCancelJobs, l, Cancelled{Jobs: a.number(l, "jobs")})
	case "restored":
		a.part(CallRestore, l, Restored{Ended: l.Arg("ended") == "true"})
	case "told":
		a.part(CallHolds, l, nil)
	case "owner":
		a.part(CallCancelJob, l, a.reply(l))
	case "counts":
		a.counts(l)
	case "snapshot":
		a.snapshot(l)
	case "store":
		a.faults = emulator.Faults{Down: l.Arg("down") == "true"}
		a.platform.SetFaults(a.faults)
	case "fail-puts":
		a.failPuts = a.number(l, "count")
	case "wait":
		a.now = a.now.Add(time.Duration(a.number(l, "seconds")) * time.Second)
	case "holds":
		for _, row := range a.platform.Read(HoldPrefix).Rows {
			fmt.Fprintf(&a.out, "hold %s\n", row.Key)
		}
		for name, d := range ReadHolds(a.platform.Read(HoldPrefix)).DataCentres {
			fmt.Fprintf(&a.out, "evacuated %s: %+v\n", name, d)
		}
	case "entries":
		a.parts[CallEntry] = nil
	case "gone":
		a.parts[CallUpstreams] = nil
	case "GET", "POST":
		a.request(l)
	default:
		a.t.Fatalf("%s: unknown verb", l)
	}
}

// part adds the answer of an entry to a call, or a missing answer for silent=true.
func (a *testAPI) part(call Call, l scripter.Line, v any) {
	p := Part{Peer: messenger.Peer(l.Arg("peer"))}
	if l.Arg("silent") == "true" {
		p.Detail = "the entry did not answer"
	} else {
		p.Body = a.encode(v)
	}
	a.parts[call] = append(a.parts[call], p)
}

func (a *testAPI) upstream(l scripter.Line) Upstream {
	return Upstream{
		Peer:        messenger.Peer(l.Arg("name")),
		State:       messenger.UpstreamServing,
		Services:    []string{"quote"},
		Slots:       8,
		Credit:      a.number(l, "credit"),
		Outstanding: a.number(l, "outstanding"),
		Ejected:     l.Arg("ejected"),
		EjectedBy:   len(l.Arg("ejected")) / max(1, len(l.Arg("ejected"))),
		Hold:        placer.Hold(l.Arg("hold")),
		SeenBy:      1,
	}
}

func (a *testAPI) dataCentre(l scripter.Line) DataCentre {
	d := DataCentre{
		Name:        l.Arg("name"),
		Hold:        placer.Hold(l.Arg("hold")),
		Entries:     a.number(l, "entries"),
		Upstreams:   a.number(l, "upstreams"),
		Outstanding: a.number(l, "outstanding"),
	}
	if d.Hold != "" {
		d.By, d.At = l.Arg("by"), a.now.Add(time.Duration(a.number(l, "at"))*time.Second)
	}
	return d
}

func (a *testAPI) rosterAgent(l scripter.Line) RosterAgent {
	return RosterAgent{
		Peer:        messenger.Peer(l.Arg("name")),
		Region:      "ub",
		Version:     uint64(a.number(l, "version")),
		State:       coordinator.AgentState(l.Arg("state")),
		ConnectedTo: a.number(l, "connected"),
		Fencing:     a.number(l, "fencing"),
	}
}

// roster writes the table row of a region's roster.
func (a *testAPI) roster(l scripter.Line) {
	r := registrar.Roster{Version: uint64(a.number(l, "version"))}
	for _, name := range strings.Split(l.Arg("members"), ",") {
		r.Members = append(r.Members, registrar.Member{Peer: messenger.Peer(name)})
	}
	a.platform.Write(storer.Transaction{RequestID: storer.NewRequestID(), Puts: []storer.Put{registrar.RosterPut(l.Arg("region"), r)}})
}

func (a *testAPI) partition(l scripter.Line) Partition {
	left := submitter.Duration(time.Second)
	p := Partition{
		Partition: identifier.Partition(a.number(l, "number")),
		Owner:     messenger.Peer(l.Arg("owner")),
		Epoch:     uint64(a.number(l, "epoch")),
	}
	if l.Arg("owner") == l.Arg("peer") {
		p.LeaseLeft = &left
	}
	return p
}

func (a *testAPI) reply(l scripter.Line) JobReply {
	if l.Arg("found") != "true" {
		return JobReply{}
	}
	return JobReply{Found: true, State: &JobState{
		State:  submitter.StateAnswered,
		Answer: &submitter.Answer{Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonCancelled},
	}}
}

// encodedSnapshot returns an encoded snapshot with good and bad jobs.
func (a *testAPI) encodedSnapshot(l scripter.Line) []byte {
	r := reporter.New()
	for range a.number(l, "good") {
		r.Record(a.now, reporter.Event{Service: "quote", Outcome: submitter.OutcomeComplete})
	}
	for range a.number(l, "bad") {
		r.Record(a.now, reporter.Event{Service: "quote", Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonTaskFailed})
	}
	s := r.Snapshot(a.now)
	s.Peer = l.Arg("peer")
	s.Instance = l.Arg("instance")
	s.Incomplete = strings.ReplaceAll(l.Arg("incomplete"), "-", " ")
	text, err := s.Encode()
	if err != nil {
		a.t.Fatal(err)
	}
	return text
}

func (a *testAPI) counts(l scripter.Line) {
	p := Part{Peer: messenger.Peer(l.Arg("peer"))}
	if l.Arg("silent") == "true" {
		p.Detail = "the entry did not answer"
	} else {
		p.Body = a.encodedSnapshot(l)
	}
	a.parts[CallBurn] = append(a.parts[CallBurn], p)
}

// snapshot puts the snapshot of an entry into the object store.
func (a *testAPI) snapshot(l scripter.Line) {
	if err := a.store.PutObject(a.t.Context(), SnapshotPrefix+l.Arg("instance"), a.encodedSnapshot(l)); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testAPI) request(l scripter.Line) {
	r := httptest.NewRequest(l.Verb, l.Args[0], strings.NewReader(l.Arg("body")))
	r.Header.Set("Role", "operator")
	if role := l.Arg("role"); role != "" {
		r.Header.Set("Role", role)
	}
	if id := l.Arg("change"); id != "" {
		r.Header.Set(HeaderChangeID, "00000000-0000-0000-0000-00000000000"+id)
	}
	w := httptest.NewRecorder()
	fmt.Fprintf(&a.out, "%s %s\n", l.Verb, l.Args[0])
	a.mux.ServeHTTP(w, r)
	fmt.Fprintf(&a.out, "  %d %s\n", w.Code, strings.TrimSpace(w.Body.String()))
}

func (a *testAPI) encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		a.t.Fatal(err)
	}
	return text
}

func (a *testAPI) number(l scripter.Line, name string) int {
	n := 0
	if text := l.Arg(name); text != "" {
		if _, err := fmt.Sscanf(text, "%d", &n); err != nil {
			a.t.Fatalf("%s: %v", l, err)
		}
	}
	return n
}

// TestLostAnswers makes changes on a platform that loses the response to about half of
// the writes after they have taken effect. Each change must be made once and have its
// record, and the state must match the last change.
func TestLostAnswers(t *testing.T) {
	platform := emulator.NewPlatform(3, emulator.Faults{LoseAnswerRatio: 0.5})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	store := storer.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	store.Sleep = func(context.Context, time.Duration) {}
	a := &testAPI{t: t, store: store, now: time.Unix(1_700_000_000, 0), parts: map[Call][]Part{
		CallUpstreams: {{Peer: "e1", Body: []byte(`[{"peer":"a1"}]`)}},
	}}
	mux := http.NewServeMux()
	New(a.options()).Register(mux)
	const changes = 40
	for i := range changes {
		action := []string{"drain", "undrain"}[i%2]
		id := fmt.Sprintf("00000000-0000-0000-0000-%012d", i)
		accepted := false
		for range 20 {
			r := httptest.NewRequest(http.MethodPost, "/v1/admin/upstreams/a1/"+action, nil)
			r.Header.Set("Role", "operator")
			r.Header.Set(HeaderChangeID, id)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			if w.Code == http.StatusOK {
				accepted = true
				break
			}
			if w.Code != http.StatusServiceUnavailable {
				t.Fatalf("change %d: status %d: %s", i, w.Code, w.Body)
			}
		}
		if !accepted {
			t.Fatalf("change %d was never resolved", i)
		}
		held := len(platform.Read(upstreamHolds).Rows)
		if want := 1 - i%2; held != want {
			t.Errorf("after change %d there are %d holds, want %d", i, held, want)
		}
	}
	keys, err := store.Objects(t.Context(), recordPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(changes, len(keys)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}
