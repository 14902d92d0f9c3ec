package meter

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// scrape returns the sample lines that begin with one of the prefixes, sorted.
func scrape(t *testing.T, m *Meter, prefixes ...string) []string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var out []string
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(line, p) }) {
			out = append(out, line)
		}
	}
	slices.Sort(out)
	return out
}

// TestEntryMetrics checks the names, labels and values of an entry's samples as a
// scraper receives them.
func TestEntryMetrics(t *testing.T) {
	counts := new(connector.Counts)
	counts.BytesSent.Store(1000)
	counts.SentKinds[0].Messages.Store(3) // The kind at index 0 is a start, which carries work.
	counts.SentKinds[0].Bytes.Store(900)
	counts.SentKinds[len(messenger.MessageKinds)-1].Bytes.Store(100)
	m, err := New(Identity{Role: "entry", Peer: "entry-0"}, Sources{
		Traffic: counts,
		Busy:    func() (time.Duration, uint64) { return 1500 * time.Millisecond, 7 },
		Entry: func() EntryState {
			return EntryState{
				OpenJobs: 2, KeptJobs: 5, QueuedTasks: 11,
				Partitions:    []messenger.PartitionEpoch{{Partition: 3, Epoch: 4}},
				ConfigVersion: 9, ConfigAge: -1, Draining: true,
				ConfigStates: []StateCount{{State: "behind", Count: 3}},
				Objectives:   []ObjectiveState{{Service: "quote", Objective: "latency", Budget: 0.25, MinBadJobs: 3}},
			}
		},
		CertificateExpiry: func() time.Time { return time.Unix(1_800_000_000, 0) },
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Answered("quote", "failed", "task-failed", 300*time.Millisecond)
	m.Judged("quote", "success", "bad")
	m.Started("quote", 20*time.Millisecond)
	m.Request("POST", "/v1/services/{service}/jobs", 502, time.Second)
	m.Request("MADE-UP", "", 405, time.Second)
	m.Request("MADE-UP-TOO", "", 405, time.Second)
	m.StoreCall("read", "unavailable")
	m.Crashed("quote")
	m.RejectedWhileFree("quote")
	m.Recalled("ended")
	m.Inquired("unanswered")
	want := []string{
		`http_server_request_duration_seconds_count{http_request_method="POST",http_response_status_code="502",http_route="/v1/services/{service}/jobs"} 1`,
		`http_server_request_duration_seconds_count{http_request_method="_OTHER",http_response_status_code="405",http_route=""} 2`,
		`sardinelock_certificate_expiry_seconds 1.8e+09`,
		`sardinelock_config_age_seconds -1`,
		`sardinelock_config_processes{state="behind"} 3`,
		`sardinelock_config_version 9`,
		`sardinelock_control_busy_time_seconds_total 1.5`,
		`sardinelock_control_bytes_total 100`,
		`sardinelock_control_events_total 7`,
		`sardinelock_draining 1`,
		`sardinelock_job_answers_total{outcome="failed",reason="task-failed",service="quote"} 1`,
		`sardinelock_job_duration_seconds_bucket{outcome="failed",service="quote",le="0.25"} 0`,
		`sardinelock_job_duration_seconds_bucket{outcome="failed",service="quote",le="0.5"} 1`,
		`sardinelock_job_inquiries_total{outcome="unanswered"} 1`,
		`sardinelock_job_queue_time_seconds_sum{service="quote"} 0.02`,
		`sardinelock_job_recalls_total{outcome="ended"} 1`,
		`sardinelock_job_rejections_while_free_total{service="quote"} 1`,
		`sardinelock_jobs{state="answered"} 3`,
		`sardinelock_jobs{state="open"} 2`,
		`sardinelock_objective_budget_ratio{objective="latency",service="quote"} 0.25`,
		`sardinelock_objective_events_total{objective="success",service="quote",verdict="bad"} 1`,
		`sardinelock_objective_min_bad_jobs{objective="latency",service="quote"} 3`,
		`sardinelock_partition_epoch{partition="3"} 4`,
		`sardinelock_partitions_owned 1`,
		`sardinelock_peer_bytes_total{type="start"} 900`,
		`sardinelock_peer_messages_total{type="start"} 3`,
		`sardinelock_store_calls_total{error_type="unavailable",operation="read"} 1`,
		`sardinelock_task_crashes_total{service="quote"} 1`,
		`sardinelock_tasks_queued 11`,
	}
	got := scrape(t, m, "http_server_request_duration_seconds_count", "sardinelock_certificate", "sardinelock_config",
		"sardinelock_control", "sardinelock_draining", "sardinelock_job_answers", `sardinelock_job_duration_seconds_bucket{outcome="failed",service="quote",le="0.25"}`,
		`sardinelock_job_duration_seconds_bucket{outcome="failed",service="quote",le="0.5"}`, "sardinelock_job_queue_time_seconds_sum", "sardinelock_job_recalls", "sardinelock_job_inquiries",
		"sardinelock_job_rejections",
		"sardinelock_jobs", "sardinelock_objective", "sardinelock_partition", `sardinelock_peer_bytes_total{type="start"}`,
		`sardinelock_peer_messages_total{type="start"}`, "sardinelock_store", "sardinelock_task")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
}

// TestAgentMetrics checks the names, labels and values of an agent's samples.
func TestAgentMetrics(t *testing.T) {
	m, err := New(Identity{Role: "agent", Peer: "agent-0"}, Sources{
		Traffic: new(connector.Counts),
		Busy:    func() (time.Duration, uint64) { return 0, 0 },
		Agent: func() AgentState {
			return AgentState{Running: 3, Waiting: 1, Slots: 8, Records: 40, State: messenger.UpstreamServing, HighestEpoch: 6, Entries: 2, UpstreamCrashes: 5,
				Evacuations: &EvacuationState{Version: 12, Age: 1500 * time.Millisecond, DataCentres: []string{"dc-1", "dc-2"}},
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`sardinelock_agent_epoch 6`,
		`sardinelock_agent_records 40`,
		`sardinelock_agent_slots 8`,
		`sardinelock_agent_tasks{state="running"} 3`,
		`sardinelock_agent_tasks{state="waiting"} 1`,
		`sardinelock_agent_upstream_crashes_total 5`,
		`sardinelock_agent_upstream{state="absent"} 0`,
		`sardinelock_agent_upstream{state="leaving"} 0`,
		`sardinelock_agent_upstream{state="serving"} 1`,
		`sardinelock_evacuation_active{data_centre="dc-1"} 1`,
		`sardinelock_evacuation_active{data_centre="dc-2"} 1`,
		`sardinelock_evacuation_age_seconds 1.5`,
		`sardinelock_evacuation_version 12`,
		`sardinelock_peer_connections{role="entry"} 2`,
	}
	if diff := cmp.Diff(want, scrape(t, m, "sardinelock_agent", "sardinelock_evacuation", "sardinelock_peer_connections")); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
}
