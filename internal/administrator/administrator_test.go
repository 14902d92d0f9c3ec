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

// bench is an administration API over entries that are made of their parts, and
// the real client of a stand-in for the platform.
type bench struct {
	t        *testing.T
	now      time.Time
	platform *emulator.Platform
	faults   emulator.Faults
	store    *storer.Client
	parts    map[Call][]Part
	// failPuts is how many writes of objects fail before they take effect.
	failPuts int
	out      strings.Builder
	mux      *http.ServeMux
}

func runScript(t *testing.T, lines []scripter.Line) string {
	b := &bench{
		t:        t,
		now:      time.Unix(1_700_000_000, 0).UTC(),
		platform: emulator.NewPlatform(1, emulator.Faults{}),
		parts:    make(map[Call][]Part),
		mux:      http.NewServeMux(),
	}
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	b.store = storer.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	b.store.Sleep = func(context.Context, time.Duration) {}
	New(b.options()).Register(b.mux)
	for _, l := range lines {
		b.apply(l)
	}
	return b.out.String()
}

func (b *bench) options() Options {
	return Options{
		Authenticate: authenticate,
		AskAll: func(_ context.Context, call Call, body []byte) []Part {
			if call == CallHolds || call == CallCancelJobs {
				fmt.Fprintf(&b.out, "  entries are told: %s %s\n", call, body)
			}
			return b.parts[call]
		},
		AskOwner: func(_ context.Context, s identifier.Submission, call Call, _ []byte) Part {
			fmt.Fprintf(&b.out, "  the owner is told: %s %s\n", call, s)
			return b.parts[call][0]
		},
		Config: func() (*configurer.Config, uint64) {
			return &configurer.Config{
				Services: []configurer.Service{{Name: "quote", Objective: configurer.Objective{SuccessRatio: 0.9}}},
				Teams:    []configurer.Team{{Name: "order-desk", Slots: 10}},
			}, 7
		},
		Read:    b.store.Read,
		Write:   b.store.Write,
		Object:  b.store.Object,
		Objects: b.store.Objects,
		PutObject: func(ctx context.Context, key string, body []byte) error {
			if b.failPuts > 0 {
				b.failPuts--
				return &storer.Error{Op: "put-object", Kind: storer.KindUnavailable, Err: context.DeadlineExceeded}
			}
			return b.store.PutObject(ctx, key, body)
		},
		Now:           func() time.Time { return b.now },
		Pause:         func(context.Context, time.Duration) {},
		ConfigTimeout: 50 * time.Millisecond,
	}
}

// authenticate takes the role of a request from its header.
func authenticate(r *http.Request, roles ...authenticator.Role) (authenticator.Principal, *submitter.Problem) {
	role := authenticator.Role(r.Header.Get("Role"))
	for _, allowed := range roles {
		if role == allowed {
			return authenticator.Principal{Name: "ann", Role: role}, nil
		}
	}
	return authenticator.Principal{}, &submitter.Problem{Status: http.StatusForbidden, Title: "the role does not allow this"}
}

func (b *bench) apply(l scripter.Line) {
	switch l.Verb {
	case "entry":
		b.part(CallEntry, l, Entry{Peer: messenger.Peer(l.Arg("peer")), State: EntryServing})
	case "upstream":
		b.part(CallUpstreams, l, []Upstream{b.upstream(l)})
	case "partition":
		b.part(CallPartitions, l, []Partition{b.partition(l)})
	case "agent":
		b.part(CallRoster, l, []RosterAgent{b.rosterAgent(l)})
	case "roster":
		b.roster(l)
	case "declared":
		for _, r := range registrar.ReadRosters(b.platform.Read(registrar.RosterPrefix)) {
			fmt.Fprintf(&b.out, "region %s version %d: members %d, declared %v\n", r.Region, r.Version, len(r.Members), r.DeclaredDead())
		}
	case "usage":
		b.part(CallUsage, l, []Usage{{Service: "quote", Team: l.Arg("team"), OpenJobs: b.number(l, "open"), SentTasks: b.number(l, "sent")}})
	case "cancelled":
		b.part(CallCancelJobs, l, Cancelled{Jobs: b.number(l, "jobs")})
	case "restored":
		b.part(CallRestore, l, Restored{Ended: l.Arg("ended") == "true"})
	case "told":
		b.part(CallHolds, l, nil)
	case "owner":
		b.part(CallCancelJob, l, b.reply(l))
	case "counts":
		b.counts(l)
	case "snapshot":
		b.snapshot(l)
	case "store":
		b.faults = emulator.Faults{Down: l.Arg("down") == "true"}
		b.platform.SetFaults(b.faults)
	case "fail-puts":
		b.failPuts = b.number(l, "count")
	case "wait":
		b.now = b.now.Add(time.Duration(b.number(l, "seconds")) * time.Second)
	case "holds":
		for _, row := range b.platform.Read(HoldPrefix).Rows {
			fmt.Fprintf(&b.out, "hold %s\n", row.Key)
		}
	case "entries":
		b.parts[CallEntry] = nil
	case "gone":
		b.parts[CallUpstreams] = nil
	case "GET", "POST":
		b.request(l)
	default:
		b.t.Fatalf("%s: unknown verb", l)
	}
}

// part adds the part of an entry, or that it is silent.
func (b *bench) part(call Call, l scripter.Line, v any) {
	p := Part{Peer: messenger.Peer(l.Arg("peer"))}
	if l.Arg("silent") == "true" {
		p.Detail = "the entry did not answer"
	} else {
		p.Body = b.encode(v)
	}
	b.parts[call] = append(b.parts[call], p)
}

func (b *bench) upstream(l scripter.Line) Upstream {
	return Upstream{
		Peer:        messenger.Peer(l.Arg("name")),
		State:       messenger.UpstreamServing,
		Services:    []string{"quote"},
		Slots:       8,
		Credit:      b.number(l, "credit"),
		Outstanding: b.number(l, "outstanding"),
		Ejected:     l.Arg("ejected"),
		EjectedBy:   len(l.Arg("ejected")) / max(1, len(l.Arg("ejected"))),
		Hold:        placer.Hold(l.Arg("hold")),
		SeenBy:      1,
	}
}

func (b *bench) rosterAgent(l scripter.Line) RosterAgent {
	return RosterAgent{
		Peer:        messenger.Peer(l.Arg("name")),
		Region:      "ub",
		Version:     uint64(b.number(l, "version")),
		State:       coordinator.AgentState(l.Arg("state")),
		ConnectedTo: b.number(l, "connected"),
		Fencing:     b.number(l, "fencing"),
	}
}

// roster writes the row of a region's roster.
func (b *bench) roster(l scripter.Line) {
	r := registrar.Roster{Version: uint64(b.number(l, "version"))}
	for _, name := range strings.Split(l.Arg("members"), ",") {
		r.Members = append(r.Members, registrar.Member{Peer: messenger.Peer(name)})
	}
	b.platform.Write(storer.Transaction{RequestID: storer.NewRequestID(), Puts: []storer.Put{registrar.RosterPut(l.Arg("region"), r)}})
}

func (b *bench) partition(l scripter.Line) Partition {
	left := submitter.Duration(time.Second)
	p := Partition{
		Partition: identifier.Partition(b.number(l, "number")),
		Owner:     messenger.Peer(l.Arg("owner")),
		Epoch:     uint64(b.number(l, "epoch")),
	}
	if l.Arg("owner") == l.Arg("peer") {
		p.LeaseLeft = &left
	}
	return p
}

func (b *bench) reply(l scripter.Line) JobReply {
	if l.Arg("found") != "true" {
		return JobReply{}
	}
	return JobReply{Found: true, State: &JobState{
		State:  submitter.StateAnswered,
		Answer: &submitter.Answer{Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonCancelled},
	}}
}

// recorded returns a snapshot with good and bad jobs.
func (b *bench) recorded(l scripter.Line) []byte {
	r := reporter.New()
	for range b.number(l, "good") {
		r.Record(b.now, reporter.Event{Service: "quote", Outcome: submitter.OutcomeComplete})
	}
	for range b.number(l, "bad") {
		r.Record(b.now, reporter.Event{Service: "quote", Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonTaskFailed})
	}
	s := r.Snapshot(b.now)
	s.Peer = l.Arg("peer")
	s.Instance = l.Arg("instance")
	s.Incomplete = strings.ReplaceAll(l.Arg("incomplete"), "-", " ")
	text, err := s.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	return text
}

func (b *bench) counts(l scripter.Line) {
	p := Part{Peer: messenger.Peer(l.Arg("peer"))}
	if l.Arg("silent") == "true" {
		p.Detail = "the entry did not answer"
	} else {
		p.Body = b.recorded(l)
	}
	b.parts[CallBurn] = append(b.parts[CallBurn], p)
}

// snapshot puts the snapshot of an entry into the object store.
func (b *bench) snapshot(l scripter.Line) {
	if err := b.store.PutObject(b.t.Context(), SnapshotPrefix+l.Arg("instance"), b.recorded(l)); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) request(l scripter.Line) {
	r := httptest.NewRequest(l.Verb, l.Args[0], strings.NewReader(l.Arg("body")))
	r.Header.Set("Role", "operator")
	if role := l.Arg("role"); role != "" {
		r.Header.Set("Role", role)
	}
	if id := l.Arg("change"); id != "" {
		r.Header.Set(HeaderChangeID, "00000000-0000-0000-0000-00000000000"+id)
	}
	w := httptest.NewRecorder()
	fmt.Fprintf(&b.out, "%s %s\n", l.Verb, l.Args[0])
	b.mux.ServeHTTP(w, r)
	fmt.Fprintf(&b.out, "  %d %s\n", w.Code, strings.TrimSpace(w.Body.String()))
}

func (b *bench) encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		b.t.Fatal(err)
	}
	return text
}

func (b *bench) number(l scripter.Line, name string) int {
	n := 0
	if text := l.Arg(name); text != "" {
		if _, err := fmt.Sscanf(text, "%d", &n); err != nil {
			b.t.Fatalf("%s: %v", l, err)
		}
	}
	return n
}

// TestLostAnswers makes changes over a platform that loses the answer to every
// other write after it has taken effect: each change is made once, its record is
// whole, and the state is that of the last change.
func TestLostAnswers(t *testing.T) {
	platform := emulator.NewPlatform(3, emulator.Faults{LoseAnswerRatio: 0.5})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	store := storer.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	store.Sleep = func(context.Context, time.Duration) {}
	b := &bench{t: t, store: store, now: time.Unix(1_700_000_000, 0), parts: map[Call][]Part{
		CallUpstreams: {{Peer: "e1", Body: []byte(`[{"peer":"a1"}]`)}},
	}}
	mux := http.NewServeMux()
	New(b.options()).Register(mux)
	const changes = 40
	for i := range changes {
		action := []string{"drain", "undrain"}[i%2]
		id := fmt.Sprintf("00000000-0000-0000-0000-%012d", i)
		made := false
		for range 20 {
			r := httptest.NewRequest(http.MethodPost, "/v1/admin/upstreams/a1/"+action, nil)
			r.Header.Set("Role", "operator")
			r.Header.Set(HeaderChangeID, id)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			if w.Code == http.StatusOK {
				made = true
				break
			}
			if w.Code != http.StatusServiceUnavailable {
				t.Fatalf("change %d: status %d: %s", i, w.Code, w.Body)
			}
		}
		if !made {
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
