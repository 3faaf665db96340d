package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/service"
)

func TestPlanIsDeterministicForSeed(t *testing.T) {
	plan := Plan(7, 2, 5*time.Minute)
	require.Equal(t, plan, Plan(7, 2, 5*time.Minute))
	require.NotEqual(t, plan, Plan(8, 2, 5*time.Minute))
	seen := map[string]bool{}
	for i, e := range plan {
		require.True(t, i == 0 || plan[i-1].At <= e.At)
		seen[string(e.Action)+string(e.Fault.Kind)] = true
	}
	for _, f := range storeFaults {
		require.True(t, seen[string(FailStore)+string(f.Kind)], f.Kind)
	}
	for _, f := range upstreamFaults {
		require.True(t, seen[string(FailUpstream)+string(f.Kind)], f.Kind)
	}
	for _, a := range []Action{KillHost, PauseHost, DrainHost, LeaveUpstream} {
		require.True(t, seen[string(a)], a)
	}
}

// completeAnswer returns a complete answer to a request in its format.
func completeAnswer(t *testing.T, q *request) string {
	t.Helper()
	tokens, _ := model.Answer("m", "user: "+q.mark, 0)
	text := strings.Join(tokens, "")
	encode := func(value any) string {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		return string(data)
	}
	answer := encode(map[string]any{"request_id": "id", "workspace": q.workspace, "output": text})
	var stream strings.Builder
	switch q.format {
	case formatJSON:
		return answer
	case formatEvents:
		for _, token := range tokens {
			fmt.Fprintf(&stream, "event: token\ndata: %s\n\n", encode(map[string]string{"text": token}))
		}
		return stream.String() + "event: done\ndata: " + answer + "\n\n"
	case formatChat:
		return encode(model.ChatResponse{Choices: []model.Choice{{Message: model.Message{Content: text}}}})
	case formatChatStream:
		for _, token := range tokens {
			chunk := model.Chunk{Choices: []model.ChunkChoice{{Delta: model.Delta{Content: token}}}}
			fmt.Fprintf(&stream, "data: %s\n\n", encode(chunk))
		}
		return stream.String() + "data: [DONE]\n\n"
	}
	return encode(service.Answer{Path: q.path, IdempotencyKey: q.key, Request: json.RawMessage(q.body)})
}

func classify(q *request, body string) reply {
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
	return classifyResponse(&entryHost{}, q, resp, []byte(body))
}

// TestClassifyResponseDetectsWrongAnswers checks, in each format, the request's
// own answer, another request's answer, and the own answer truncated at many
// positions.
func TestClassifyResponseDetectsWrongAnswers(t *testing.T) {
	for f := formatJSON; f <= formatService; f++ {
		own := &request{mark: "ref-own", workspace: "w", format: f, path: "/refills", body: `{"order":"ref-own"}`, key: "key-ref-own"}
		other := &request{mark: "ref-other", workspace: "w", format: f, path: "/refills", body: `{"order":"ref-other"}`, key: "key-ref-other"}
		body := completeAnswer(t, own)
		got := classify(own, body)
		require.Equal(t, complete, got.outcome)
		require.Empty(t, got.defect)

		foreign := classify(own, completeAnswer(t, other))
		require.NotEmpty(t, foreign.defect, "format %d", f)
		require.True(t, foreign.foreign)

		for at := 1; at < len(strings.TrimSpace(body)); at += 3 {
			cut := classify(own, body[:at])
			require.True(t, cut.outcome == unknown || cut.defect != "", "format %d cut at %d looks complete", f, at)
		}
	}
	said := classifyProblem(&entryHost{}, []byte(`{"ran":"no","cause":"limit"}`))
	require.Equal(t, notRun, said.outcome)
	require.NotEmpty(t, classifyProblem(&entryHost{}, []byte(`{"cause":"limit"}`)).defect)
}

// TestChecksDetectEachBreach checks that the invariants report one breach each.
func TestChecksDetectEachBreach(t *testing.T) {
	f := &fleet{ledger: newLedger(), edits: newEdits(), deployment: Deployment{Name: "d"}}
	addReply := func(mark string, outcome outcome) {
		q := &request{mark: mark, key: "key-" + mark, path: "/refills"}
		f.ledger.addRequest(q)
		f.ledger.addReply(q, reply{outcome: outcome, host: &entryHost{}})
	}
	verdicts := func(ran executions) map[string]bool {
		report := &Report{}
		f.checkRequests(report, ran)
		f.checkUpstreams(report, ran)
		held := map[string]bool{}
		for _, i := range report.Invariants {
			held[strings.TrimPrefix(i.Name, "d ")] = i.Held
		}
		return held
	}
	addReply("ref-1", complete)
	addReply("ref-2", notRun)
	good := executions{byKey: map[string]int{"key-ref-1": 1}}
	for name, held := range verdicts(good) {
		require.True(t, held, name)
	}
	require.False(t, verdicts(executions{byKey: map[string]int{"key-ref-1": 2}})["at most once"])
	require.False(t, verdicts(executions{})["none lost"])
	require.False(t, verdicts(executions{byKey: map[string]int{"key-ref-1": 1, "key-ref-2": 1}})["not run is true"])
	f.overview.Upstreams = []standin.Status{{}}
	f.overview.Upstreams[0].Stats.LateWork = []time.Time{time.Now()}
	require.False(t, verdicts(good)["leaving"])
	good.crashesByMark = map[string]int{"ref-1": maxCrashesPerRequest}
	require.True(t, verdicts(good)["crash-causing"])
	good.crashesByMark["ref-1"]++
	require.False(t, verdicts(good)["crash-causing"])
	f.pauseEnds = []time.Time{time.Now().Add(-time.Second)}
	require.True(t, verdicts(good)["leaving"], "a host that was just resumed")
	f.ledger.addReply(&request{mark: "ref-1"}, reply{outcome: complete, defect: "another's", foreign: true})
	require.False(t, verdicts(good)["own answer"])

	report := &Report{}
	f.loadDuration, f.storeAfter.Writes = time.Second, maxStoreWrites
	f.checkStoreCalls(report)
	f.storeAfter.Leases = 1
	f.checkStoreCalls(report)
	require.True(t, report.Invariants[0].Held)
	require.False(t, report.Invariants[1].Held)

	f.edits.addAccepted(acceptedEdit{marker: "# edit-1", section: "prices", generation: 2})
	require.Empty(t, f.edits.findLost("prices:\n  # edit-1\n  - {pool: p}\n"))
	require.Len(t, f.edits.findLost("prices:\n  # edit-11\n  - {pool: p}\n"), 1)
}

func TestCountGoroutinesExcludesConnections(t *testing.T) {
	profile := "goroutine profile: total 8\n5 @ 0x1 0x2\n#\t0x1\tmain.work+0x1\n\n2 @ 0x3\n#\t0x3\tnet/http.(*persistConn).readLoop+0x1\n\n1 @ 0x4\n#\t0x4\tmain.other+0x1\n"
	require.Equal(t, 6, countGoroutines(strings.NewReader(profile)))
}
