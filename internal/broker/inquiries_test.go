package broker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// The states of a job whose request was read late.
const (
	jobHeld     = "held"
	jobAdmitted = "admitted"
	jobGivenUp  = "given up"
)

// unread is how long the request of a job has been unread when it is submitted.
const unread = testResubmitDelay / 2

// TestInquiryBeforeAdmission submits a job whose request was read late at an entry to which two others
// are connected. It checks what becomes of the job by their answers.
func TestInquiryBeforeAdmission(t *testing.T) {
	unknown := messenger.Inquiry{Job: "j", Step: messenger.InquiryUnknown}
	open := func(age time.Duration) messenger.Inquiry {
		return messenger.Inquiry{Job: "j", Step: messenger.InquiryOpen, Age: age}
	}
	earlier := open(unread + 10*time.Second)
	for _, test := range []inquiryTest{
		{"unknown", []messenger.Inquiry{unknown}, []messenger.Inquiry{unknown}, false, false, false, jobAdmitted, "answered"},
		{"unknown to one", []messenger.Inquiry{unknown}, nil, false, false, true, jobAdmitted, "unanswered"},
		{"not answered", nil, nil, false, false, true, jobAdmitted, "unanswered"},
		{"connection ends", []messenger.Inquiry{unknown}, nil, true, false, true, jobAdmitted, "unanswered"},
		{"submitted elsewhere later", []messenger.Inquiry{open(0)}, nil, false, false, false, jobGivenUp, "resubmitted-elsewhere"},
		{"submitted elsewhere shortly before", []messenger.Inquiry{open(unread)}, []messenger.Inquiry{unknown}, false, false, false, jobGivenUp, "resubmitted-elsewhere"},
		{"submitted elsewhere before", []messenger.Inquiry{earlier}, []messenger.Inquiry{unknown}, false, false, true, jobAdmitted, "answered"},
		{"recalled", []messenger.Inquiry{earlier}, []messenger.Inquiry{unknown}, false, true, false, jobAdmitted, "answered"},
		{"recalled, and not answered", []messenger.Inquiry{earlier}, nil, false, true, true, jobAdmitted, "unanswered"},
		{"another job", []messenger.Inquiry{{Job: "other", Step: messenger.InquiryUnknown}}, []messenger.Inquiry{unknown}, false, false, true, jobAdmitted, "unanswered"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.run(t)
		})
	}
}

type inquiryTest struct {
	name          string
	first, second []messenger.Inquiry // first and second are what the two entries answer.
	leave         bool                // leave is set if the second then closes its connection.
	ends          bool                // ends is set if the first has ended the job, which is recalled from it.
	held          bool                // held is set if the job is held until the answer timeout.
	state         string              // state is the state of the job at last.
	outcome       string              // outcome is the end of the inquiry in the metrics.
}

func (test *inquiryTest) run(t *testing.T) {
	w := newAgentWorld(t)
	first, firstInbox := w.dialInquirer("entry-2")
	second, secondInbox := w.dialInquirer("entry-3")
	answer := w.submitUnread("j", unread)
	expect(t, firstInbox, inquiriesFrame([]string{"j"}))
	expect(t, secondInbox, inquiriesFrame([]string{"j"}))
	first.Send(&messenger.Frame{Inquiries: test.first})
	second.Send(&messenger.Frame{Inquiries: test.second})
	if len(test.first) > 0 && test.first[0].Age > unread {
		expect(t, firstInbox, &messenger.Frame{Recalls: []messenger.Recall{{Job: "j", Step: messenger.RecallRequested}}})
	}
	if test.ends {
		sendRecall(first, "j", messenger.RecallEnded)
	}
	if test.leave {
		second.Close()
	}
	if test.held {
		time.Sleep(testResubmitDelay / 4)
		w.checkState(answer, jobHeld)
	}
	w.checkState(answer, test.state)
	if sample := fmt.Sprintf("sardinelock_job_inquiries_total{outcome=%q} 1\n", test.outcome); !strings.Contains(w.metrics(), sample) {
		t.Errorf("the metrics lack %s", sample)
	}
}

// expect checks the next frame that an entry receives.
func expect(t *testing.T, inbox <-chan *messenger.Frame, want *messenger.Frame) {
	t.Helper()
	select {
	case got := <-inbox:
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("the frame (-want +got):\n%s", diff)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no frame within 5 s, want %v", want)
	}
}

// TestInquiryOfReturningEntry checks that an entry that connects while a job is held is asked about it.
func TestInquiryOfReturningEntry(t *testing.T) {
	w := newAgentWorld(t)
	c, inbox := w.dialInquirer("entry-2")
	answer := w.submitUnread("j", testResubmitDelay)
	expect(t, inbox, inquiriesFrame([]string{"j"}))
	c.Close()
	c, inbox = w.dialInquirer("entry-2")
	expect(t, inbox, inquiriesFrame([]string{"j"}))
	c.Send(&messenger.Frame{Inquiries: []messenger.Inquiry{{Job: "j", Step: messenger.InquiryOpen}}})
	w.checkState(answer, jobGivenUp)
}

// TestPromptRequestWaitsForNoMessage checks that no entry is asked about a job whose request was read
// promptly, nor about one that was read late if there is no other entry.
func TestPromptRequestWaitsForNoMessage(t *testing.T) {
	w := newAgentWorld(t)
	w.checkState(w.submitUnread("alone", testResubmitDelay), jobAdmitted)
	w = newAgentWorld(t)
	_, inbox := w.dialInquirer("entry-2")
	w.checkState(w.submitUnread("j", 0), jobAdmitted)
	select {
	case f := <-inbox:
		t.Errorf("the other entry received %v", f)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestInquiryAnswers checks the answers of an entry: it has the job, or remembers who asked, so that a later
// submission is recalled from there.
func TestInquiryAnswers(t *testing.T) {
	w := newAgentWorld(t)
	c, inbox := w.dialInquirer("entry-2")
	w.checkState(w.submitUnread("known", 0), jobAdmitted)
	time.Sleep(testResubmitDelay)
	c.Send(inquiriesFrame([]string{"known", "unknown"}))
	f := <-inbox
	if len(f.Inquiries) != 2 {
		t.Fatalf("the answer is %v", f)
	}
	if age := f.Inquiries[0].Age; age < testResubmitDelay || age > 20*testResubmitDelay {
		t.Errorf("the age is %v", age)
	}
	f.Inquiries[0].Age = 0
	want := []messenger.Inquiry{{Job: "known", Step: messenger.InquiryOpen}, {Job: "unknown", Step: messenger.InquiryUnknown}}
	if diff := cmp.Diff(want, f.Inquiries); diff != "" {
		t.Errorf("the answers (-want +got):\n%s", diff)
	}
	if !w.isOpen("unknown") || w.isOpen("known") {
		t.Error("the entry that asked is not the owner of exactly the job that was unknown")
	}
}

// TestLateInquiryAnswer checks that an entry whose answer comes after the inquiry's end, with an earlier
// submission, is sent a recall.
func TestLateInquiryAnswer(t *testing.T) {
	w := newAgentWorld(t)
	c, inbox := w.dialInquirer("entry-2")
	answer := w.submitUnread("j", unread)
	expect(t, inbox, inquiriesFrame([]string{"j"}))
	w.checkState(answer, jobAdmitted)
	c.Send(&messenger.Frame{Inquiries: []messenger.Inquiry{{Job: "j", Step: messenger.InquiryOpen, Age: 10 * time.Second}}})
	expect(t, inbox, &messenger.Frame{Recalls: []messenger.Recall{{Job: "j", Step: messenger.RecallRequested}}})
}

// TestInquiryKeepsOwner checks that an inquiry of one entry does not replace the record of another one, which
// has the job open.
func TestInquiryKeepsOwner(t *testing.T) {
	w := newAgentWorld(t)
	c, inbox := w.dialInquirer("entry-2")
	third, _ := w.dialInquirer("entry-3")
	third.Send(openJobsFrame([]string{"j"}))
	w.await("the open job", func() bool { return w.isOpen("j") })
	c.Send(inquiriesFrame([]string{"j"}))
	expect(t, inbox, &messenger.Frame{Inquiries: []messenger.Inquiry{{Job: "j", Step: messenger.InquiryUnknown}}})
	w.broker.loop.Call(func(now time.Time) {
		if owner, _ := w.broker.tracker.Owner(w.broker.loop.Elapsed(now), "j"); owner != "entry-3" {
			t.Errorf("the owner is %s", owner)
		}
	})
}

// TestInquiryOfUnconnectedOwner checks that a job whose request was read late waits for the entry that is
// recorded as its owner, also without a connection to it.
func TestInquiryOfUnconnectedOwner(t *testing.T) {
	w := newAgentWorld(t)
	c, inbox := w.dialInquirer("entry-2")
	w.broker.loop.Call(func(now time.Time) { w.broker.tracker.Opened(w.broker.loop.Elapsed(now), "entry-3", "j") })
	answer := w.submitUnread("j", unread)
	expect(t, inbox, inquiriesFrame([]string{"j"}))
	c.Send(&messenger.Frame{Inquiries: []messenger.Inquiry{{Job: "j", Step: messenger.InquiryUnknown}}})
	time.Sleep(testResubmitDelay / 2)
	w.checkState(answer, jobHeld)
}

// dialInquirer connects as another entry, and returns the inquiries and recalls that it receives.
func (w *agentWorld) dialInquirer(peer messenger.Peer) (*connector.Conn, <-chan *messenger.Frame) {
	w.t.Helper()
	frames := make(chan *messenger.Frame, 16)
	c := w.dialAsEntry(peer, netip.AddrPort{}, func(f *messenger.Frame) {
		if len(f.Inquiries)+len(f.Recalls) > 0 {
			frames <- &messenger.Frame{Inquiries: f.Inquiries, Recalls: f.Recalls}
		}
	})
	w.await("the connection", func() (connected bool) {
		w.broker.loop.Call(func(time.Time) { connected = w.broker.entries[peer] != nil })
		return connected
	})
	return c, frames
}

// submitUnread submits a job of one task whose request has been unread for some time. The returned
// channel gets its answer.
func (w *agentWorld) submitUnread(id string, unread time.Duration) <-chan assigner.Answer {
	answer := make(chan assigner.Answer, 1)
	j := testJob(id)
	j.Unread, j.UnreadKnown = unread, true
	go func() {
		if a, err := w.broker.Submit(w.t.Context(), j, func() {}); err == nil {
			answer <- a
		}
	}()
	return answer
}

// metrics returns the broker's metrics.
func (w *agentWorld) metrics() string {
	r := httptest.NewRecorder()
	w.broker.Meter().Handler().ServeHTTP(r, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return r.Body.String()
}

// checkState checks that a job is held, or that it soon is in the given other state.
func (w *agentWorld) checkState(answer <-chan assigner.Answer, want string) {
	w.t.Helper()
	switch want {
	case jobHeld:
		if w.isAdmitted() || len(answer) > 0 {
			w.t.Error("the job is not held")
		}
	case jobAdmitted:
		w.await("the admission", w.isAdmitted)
	case jobGivenUp:
		w.await("the answer", func() bool { return len(answer) > 0 })
		if a := <-answer; a.Outcome != assigner.OutcomeGivenUp || a.Reason != "resubmitted-elsewhere" || a.Launched {
			w.t.Errorf("the answer is %v", a)
		}
		if w.isAdmitted() {
			w.t.Error("the job was admitted")
		}
	}
}
