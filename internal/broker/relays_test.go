package broker

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

var cutEntryAddr = netip.MustParseAddrPort("127.0.0.9:9")

// TestRecallThroughAgent submits a job that an entry without a connection has open. What that entry tells
// and answers comes through an agent.
func TestRecallThroughAgent(t *testing.T) {
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	agent.Send(w.relayFrame(openJobsFrame([]string{"j"})))
	w.await("the open job", func() bool { return w.isOpen("j") })
	w.submit("j")
	// The recall is repeated until it ends, also after it was accepted.
	requested := messenger.Recall{Job: "j", Step: messenger.RecallRequested}
	w.awaitRecall(relays, requested)
	w.awaitRecall(relays, requested)
	agent.Send(w.relayFrame(recallFrame("j", messenger.RecallAccepted)))
	for range 3 {
		w.awaitRecall(relays, requested)
	}
	if w.isAdmitted() {
		t.Error("the job was admitted before the owner's answer")
	}
	agent.Send(w.relayFrame(recallFrame("j", messenger.RecallEnded)))
	w.await("the admission", w.isAdmitted)
}

// TestRecallOfRelayedJob recalls a job of this entry through an agent, twice.
func TestRecallOfRelayedJob(t *testing.T) {
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	// The entry without a connection is known, so that it is told of the job.
	agent.Send(w.relayFrame(openJobsFrame([]string{"other"})))
	w.submit("j")
	w.awaitRelay(relays, tellsOfJob)
	for range 2 {
		agent.Send(w.relayFrame(recallFrame("j", messenger.RecallRequested)))
		w.awaitRecall(relays, messenger.Recall{Job: "j", Step: messenger.RecallEnded})
	}
	if w.isAdmitted() {
		t.Error("the job may still be launched")
	}
}

// TestAcceptedRecallFromEarlierIncarnation recalls a job through an agent from an entry that accepts and
// then ends. Only a message of its next incarnation shows that.
func TestAcceptedRecallFromEarlierIncarnation(t *testing.T) {
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	agent.Send(w.relayFrame(openJobsFrame([]string{"j"})))
	w.await("the open job", func() bool { return w.isOpen("j") })
	w.submit("j")
	w.awaitRecall(relays, messenger.Recall{Job: "j", Step: messenger.RecallRequested})
	agent.Send(w.relayFrame(recallFrame("j", messenger.RecallAccepted)))
	w.checkAdmission(false)
	next := w.relayFrame(openJobsFrame([]string{"other"}))
	next.Relays[0].From = "entry-2-restarted"
	agent.Send(next)
	w.checkAdmission(true)
}

// TestRelayedRecallsAreBounded checks that a message with many recalls is not larger than agents pass on.
func TestRelayedRecallsAreBounded(t *testing.T) {
	const jobs, maxBytes = 3000, 64 << 10
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	agent.Send(w.relayFrame(openJobsFrame(ids)))
	w.await("the open jobs", func() bool { return w.isOpen(ids[jobs-1]) })
	for _, id := range ids {
		w.submit(id)
	}
	end := time.After(time.Second)
	for {
		select {
		case r := <-relays:
			if len(r.Message) > maxBytes {
				t.Fatalf("a message has %d bytes", len(r.Message))
			}
		case <-end:
			return
		}
	}
}

// TestInquiryThroughAgent submits a job whose request was read late. The entry that has a later submission
// has no connection.
func TestInquiryThroughAgent(t *testing.T) {
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	agent.Send(w.relayFrame(openJobsFrame([]string{"other"})))
	w.await("the other entry", func() bool { return w.isOpen("other") })
	answer := w.submitUnread("j", unread)
	w.awaitRelay(relays, func(f *messenger.Frame) bool {
		return slices.Contains(f.Inquiries, messenger.Inquiry{Job: "j", Step: messenger.InquiryRequested})
	})
	w.checkState(answer, jobHeld)
	agent.Send(w.relayFrame(&messenger.Frame{Inquiries: []messenger.Inquiry{{Job: "j", Step: messenger.InquiryOpen}}}))
	w.checkState(answer, jobGivenUp)
}

// TestNoRelayWhileConnected checks that nothing goes through agents to an entry that is connected, that its
// messages go through agents once its connection has ended, and that they don't when it is back.
func TestNoRelayWhileConnected(t *testing.T) {
	w := newAgentWorld(t)
	_, relays := w.dialRelayingAgent()
	entry := w.dialAsEntry("entry-2", cutEntryAddr, func(*messenger.Frame) {})
	w.submit("j")
	expectNone := func() {
		t.Helper()
		select {
		case r := <-relays:
			t.Errorf("a message to %v went through an agent", r.To)
		case <-time.After(tellAge + 3*tellInterval):
		}
	}
	expectNone()
	entry.Close()
	w.awaitRelay(relays, tellsOfJob)
	w.dialAsEntry("entry-2", cutEntryAddr, func(*messenger.Frame) {})
	w.await("the connection", func() bool { return w.relayTargetCount() == 0 })
	for len(relays) > 0 {
		<-relays
	}
	expectNone()
}

// TestRelayedJobsAreBounded checks that each message has a bounded number of jobs, and that all jobs are
// told of in turn.
func TestRelayedJobsAreBounded(t *testing.T) {
	const jobs = 2*maxRelayedJobs + 10
	w := newAgentWorld(t)
	agent, relays := w.dialRelayingAgent()
	agent.Send(w.relayFrame(openJobsFrame([]string{"other"})))
	for i := range jobs {
		w.submit(fmt.Sprintf("j%04d", i))
	}
	told := make(map[string]bool)
	w.awaitRelay(relays, func(f *messenger.Frame) bool {
		if len(f.OpenJobs) > maxRelayedJobs {
			t.Errorf("a message has %d jobs", len(f.OpenJobs))
		}
		for _, j := range f.OpenJobs {
			told[j.Job] = true
		}
		return len(told) == jobs
	})
}

// TestRelayToAnotherAddress checks that a message for another entry is ignored.
func TestRelayToAnotherAddress(t *testing.T) {
	w := newAgentWorld(t)
	agent, _ := w.dialRelayingAgent()
	other := w.relayFrame(openJobsFrame([]string{"i"}))
	other.Relays[0].To = cutEntryAddr
	agent.Send(other)
	agent.Send(w.relayFrame(openJobsFrame([]string{"j"})))
	w.await("the open job", func() bool { return w.isOpen("j") })
	if w.isOpen("i") {
		t.Error("a message for another entry was applied")
	}
}

// relayFrame returns a frame in which an agent passes on a message of the entry without a connection.
func (w *agentWorld) relayFrame(f *messenger.Frame) *messenger.Frame {
	w.t.Helper()
	var message bytes.Buffer
	if err := messenger.Append(&message, f); err != nil {
		w.t.Fatal(err)
	}
	return &messenger.Frame{Relays: []messenger.Relay{{
		From: "entry-2", ReplyTo: cutEntryAddr, To: w.broker.settings.PeerAnnounce, Message: message.Bytes(),
	}}}
}

// dialRelayingAgent connects as an agent, which has sent its first frame, and returns the messages to the entry without a connection that
// it is to pass on.
func (w *agentWorld) dialRelayingAgent() (*connector.Conn, <-chan messenger.Relay) {
	w.t.Helper()
	relays := make(chan messenger.Relay, 1024)
	c := w.dialHandling("agent-1", func(f *messenger.Frame) {
		for _, r := range f.Relays {
			if r.To == cutEntryAddr {
				relays <- r
			}
		}
	})
	w.send(c)
	return c, relays
}

// awaitRelay waits for a message that holds.
func (w *agentWorld) awaitRelay(relays <-chan messenger.Relay, holds func(*messenger.Frame) bool) {
	w.t.Helper()
	timeout := time.After(5 * time.Second)
	for found := false; !found; {
		select {
		case r := <-relays:
			if r.ReplyTo != w.broker.settings.PeerAnnounce || r.From != w.broker.peer {
				w.t.Errorf("a message is from %v at %v", r.From, r.ReplyTo)
			}
			if err := messenger.Decode(r.Message, func(f *messenger.Frame) { found = found || holds(f) }); err != nil {
				w.t.Fatal(err)
			}
		case <-timeout:
			w.t.Fatal("no such message within 5 s")
		}
	}
}

func (w *agentWorld) awaitRecall(relays <-chan messenger.Relay, want messenger.Recall) {
	w.t.Helper()
	w.awaitRelay(relays, func(f *messenger.Frame) bool { return slices.Contains(f.Recalls, want) })
}

// tellsOfJob reports whether a message tells that the job j has been open for tellAge.
func tellsOfJob(f *messenger.Frame) bool {
	return slices.ContainsFunc(f.OpenJobs, func(j messenger.OpenJob) bool { return j.Job == "j" && j.Age >= tellAge })
}

// relayTargetCount returns the number of entries that are sent messages through agents.
func (w *agentWorld) relayTargetCount() (n int) {
	w.broker.loop.Call(func(time.Time) { n = len(w.broker.relays.list()) })
	return n
}

// TestRecallOfEarlierSubmission has another entry tell of a job that was submitted here as well. Only an
// earlier submission is recalled.
func TestRecallOfEarlierSubmission(t *testing.T) {
	w := newAgentWorld(t)
	owner, recalls := w.dialEntry("entry-2")
	w.submit("j")
	w.await("the job", func() bool { known, _ := w.broker.Status("j"); return known })
	tell := func(age time.Duration) {
		owner.Send(&messenger.Frame{OpenJobs: []messenger.OpenJob{{Job: "j", Age: age}}})
	}
	tell(0)
	tell(time.Millisecond)
	select {
	case r := <-recalls:
		t.Errorf("a later submission was recalled: %v", r)
	case <-time.After(testResubmitDelay / 4):
	}
	tell(10 * time.Second)
	if r := w.nextRecall(recalls); r != (messenger.Recall{Job: "j", Step: messenger.RecallRequested}) {
		t.Errorf("the owner received %v", r)
	}
	tell(10 * time.Second)
	sendRecall(owner, "j", messenger.RecallEnded)
	sendRecall(owner, "k", messenger.RecallRequested)
	if r := w.nextRecall(recalls); r.Job != "k" {
		t.Errorf("the owner received %v", r)
	}
}

// nextRecall returns what an entry receives next about recalls.
func (w *agentWorld) nextRecall(recalls <-chan messenger.Recall) (r messenger.Recall) {
	w.t.Helper()
	select {
	case r = <-recalls:
	case <-time.After(5 * time.Second):
		w.t.Error("nothing about recalls within 5 s")
	}
	return r
}
