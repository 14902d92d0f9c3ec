package broker

import (
	"net/netip"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// testResubmitDelay is how soon callers submit again in the tests.
const testResubmitDelay = 200 * time.Millisecond

// TestRecallBeforeAdmission submits a job that another entry has open, and checks when it is
// admitted: not before that entry has no run of it, unless it does not answer or is gone.
func TestRecallBeforeAdmission(t *testing.T) {
	accept := messenger.Recall{Job: "j", Step: messenger.RecallAccepted}
	end := messenger.Recall{Job: "j", Step: messenger.RecallEnded}
	for _, test := range []struct {
		name     string
		answers  []messenger.Recall // answers are what the owner sends.
		leave    bool               // leave is set if the owner then closes its connection.
		admitted bool
	}{
		{"ended", []messenger.Recall{accept, end}, false, true},
		{"ended at once", []messenger.Recall{end}, false, true},
		{"accepted", []messenger.Recall{accept}, false, false},
		{"unanswered", nil, false, true},
		{"owner gone", []messenger.Recall{accept}, true, true},
		{"owner gone without an answer", nil, true, true},
		{"another job", []messenger.Recall{accept, {Job: "other", Step: messenger.RecallEnded}}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newAgentWorld(t)
			owner, recalls := w.dialEntry("entry-2")
			owner.Send(openJobsFrame([]string{"j"}))
			w.await("the open job", func() bool { return w.isOpen("j") })
			w.submit("j")
			if r := <-recalls; r != (messenger.Recall{Job: "j", Step: messenger.RecallRequested}) {
				t.Errorf("the owner received %v", r)
			}
			if w.isAdmitted() {
				t.Error("the job was admitted before the owner's answer")
			}
			for _, a := range test.answers {
				sendRecall(owner, a.Job, a.Step)
			}
			if test.leave {
				owner.Close()
			}
			w.checkAdmission(test.admitted)
		})
	}
}

// checkAdmission checks whether the job is admitted.
func (w *agentWorld) checkAdmission(want bool) {
	w.t.Helper()
	if want {
		w.await("the admission", w.isAdmitted)
		return
	}
	time.Sleep(2 * testResubmitDelay)
	if w.isAdmitted() {
		w.t.Error("the job was admitted while the owner may have runs")
	}
}

// submit submits a job of one task, whose caller stays until the test ends.
func (w *agentWorld) submit(id string) {
	go func() { _, _ = w.broker.Submit(w.t.Context(), testJob(id), func() {}) }()
}

func testJob(id string) assigner.Job {
	return assigner.Job{
		ID: id, Service: "s", CallerTimeout: 5 * time.Second, SlowdownFactor: 1, LatencyAllowance: 5 * time.Second, MaxAttempts: 1,
		Steps: []assigner.Step{{Count: 1, DeclaredRunTime: time.Millisecond}},
	}
}

// TestRecallOfUnknownJob checks that an entry answers the recall of a job that it does not have.
func TestRecallOfUnknownJob(t *testing.T) {
	w := newAgentWorld(t)
	c, recalls := w.dialEntry("entry-2")
	sendRecall(c, "j", messenger.RecallRequested)
	if r := <-recalls; r != (messenger.Recall{Job: "j", Step: messenger.RecallEnded}) {
		t.Errorf("the answer is %v", r)
	}
}

// dialEntry connects as another entry, and returns the recalls that it receives.
func (w *agentWorld) dialEntry(peer messenger.Peer) (*connector.Conn, <-chan messenger.Recall) {
	w.t.Helper()
	recalls := make(chan messenger.Recall, 16)
	c := w.dialAsEntry(peer, netip.AddrPort{}, func(f *messenger.Frame) {
		for _, r := range f.Recalls {
			recalls <- r
		}
	})
	return c, recalls
}

// dialAsEntry connects as another entry, which accepts peers at the address and passes what it receives
// to the function.
func (w *agentWorld) dialAsEntry(peer messenger.Peer, addr netip.AddrPort, receive func(*messenger.Frame)) *connector.Conn {
	w.t.Helper()
	hello := messenger.Hello{Version: messenger.ProtocolVersion, Peer: peer, Role: messenger.RoleEntry, PeerAddr: addr}
	c, err := connector.Dial(w.context, "ws://"+w.broker.Addr().String()+connector.Path, connector.Options{
		Hello: func() messenger.Hello { return hello }, Counts: new(connector.Counts),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = c.Run(receive) }()
	return c
}

// isAdmitted reports whether a task waits for an upstream, which only those of admitted jobs do.
func (w *agentWorld) isAdmitted() (admitted bool) {
	w.broker.loop.Call(func(time.Time) {
		_, pending := w.broker.assigner.Counts()
		admitted = pending == 1
	})
	return admitted
}

// isOpen reports whether the broker has a record of a job that another entry has open.
func (w *agentWorld) isOpen(job string) (open bool) {
	w.broker.loop.Call(func(now time.Time) { _, open = w.broker.tracker.Owner(w.broker.loop.Elapsed(now), job) })
	return open
}
