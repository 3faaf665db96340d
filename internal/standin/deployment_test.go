package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra/sd"
	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/server"
	"github.com/galenaseam/galenaseam/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for what must come.
const patience = 10 * time.Second

func start(t *testing.T) *standin.Deployment {
	t.Helper()
	pool := func(name string, kind document.Kind) standin.PoolSpec {
		return standin.PoolSpec{Pool: document.Pool{Name: name, Kind: kind, Concurrency: 4, ReportsLoad: true}, Count: 2}
	}
	d, err := standin.Start(standin.Spec{
		Places: []host.Place{{DataCentre: "riga-1", Region: "latvia"}, {DataCentre: "riga-2", Region: "latvia"}},
		Pools: []standin.PoolSpec{
			pool("engines", document.KindGenerate), pool("encoders", document.KindEncode),
			pool("retrievers", document.KindRetrieve), pool("rerankers", document.KindRerank),
			pool("orders", document.KindService),
		},
	})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d
}

// client uses each connection once: on a connection that was used before,
// net/http by itself repeats a call that has an Idempotency-Key and got no
// answer.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// reply is a whole answer, or the error of reading it.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// post makes one call with a request ID of its own.
func post(t *testing.T, url, id, key string, body any) reply {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set(server.HeaderRequestID, id)
	if key != "" {
		req.Header[service.HeaderIdempotencyKey] = []string{key}
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func chat(question string, stream bool, had []string) model.ChatRequest {
	req := model.ChatRequest{Model: "small", Stream: stream, Messages: []model.Message{{Role: "user", Content: question}}}
	if len(had) > 0 {
		req.ContinueFrom = &model.ContinueFrom{Text: strings.Join(had, ""), Tokens: len(had)}
	}
	return req
}

func TestAnswersAreTheirOwn(t *testing.T) {
	d := start(t)
	engine := d.Pool("engines")[0].URLPath("/v1/chat/completions")
	question := "ref-41 where is argon " + strings.Repeat("bottle ", 40)
	for round := range 2 {
		got := post(t, engine, "r1", "", chat(question, false, nil))
		require.NoError(t, got.err)
		require.Equal(t, "r1", got.header.Get(server.HeaderRequestID))
		var answer model.ChatResponse
		require.NoError(t, json.Unmarshal(got.body, &answer))
		require.Contains(t, answer.Choices[0].Message.Content, "ref-41")
		require.Equal(t, round > 0, answer.Usage.PromptTokensDetails.CachedTokens > 0)
	}
	var found model.RetrieveResponse
	got := post(t, d.Pool("retrievers")[0].URLPath("/v1/retrieve"), "r2", "", model.RetrieveRequest{Query: "q", Workspace: "depot", TopK: 3})
	require.NoError(t, json.Unmarshal(got.body, &found))
	require.Len(t, found.Documents, 3)
	require.Contains(t, found.Documents[0].Text, "workspace depot")
}

// TestCutStreamContinues cuts a stream and takes the rest from another engine.
func TestCutStreamContinues(t *testing.T) {
	d := start(t)
	first, second := d.Pool("engines")[0], d.Pool("engines")[1]
	first.Fault(fault.Fault{Kind: fault.Cut, AfterEvents: 5, Count: 1})
	cut := post(t, first.URLPath("/v1/chat/completions"), "r1", "", chat("ref-7", true, nil))
	require.Error(t, cut.err, "a cut stream must not look whole")
	head, whole := streamText(t, cut.body)
	require.False(t, whole)
	require.Len(t, head, 5)
	rest := post(t, second.URLPath("/v1/chat/completions"), "r1", "", chat("ref-7", true, head))
	require.NoError(t, rest.err)
	tail, whole := streamText(t, rest.body)
	require.True(t, whole)
	want, _ := model.Answer("small", model.Prompt(chat("ref-7", true, nil).Messages), 0)
	require.Equal(t, want, append(head, tail...))

	second.Fault(fault.Fault{Kind: fault.Truncate, AfterEvents: 2, Count: 1})
	short := post(t, second.URLPath("/v1/chat/completions"), "r1", "", chat("ref-7", true, nil))
	require.NoError(t, short.err, "a truncated stream ends like a whole one")
	_, whole = streamText(t, short.body)
	require.False(t, whole)
}

// streamText returns the tokens of a stream and whether it came to its end.
func streamText(t *testing.T, body []byte) (tokens []string, whole bool) {
	t.Helper()
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var chunk model.Chunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		if text := chunk.Choices[0].Delta.Content; text != "" {
			tokens = append(tokens, text)
		}
	}
	return tokens, false
}

// TestFaultsTellTheTruth checks what each failure says against what ran.
func TestFaultsTellTheTruth(t *testing.T) {
	d := start(t)
	orders := d.Pool("orders")[0]
	order := func(key string) reply {
		return post(t, orders.URLPath("/refill"), key, key, map[string]string{"gas": key})
	}

	whole := order("whole")
	require.Equal(t, http.StatusOK, whole.status)
	require.Contains(t, string(whole.body), `"gas":"whole"`)

	orders.Fault(fault.Fault{Kind: fault.Refuse, Count: 1})
	require.Equal(t, "no", order("refused").header.Get(server.HeaderRan))

	orders.Fault(fault.Fault{Kind: fault.ErrorAfterRun, Count: 1})
	require.Equal(t, http.StatusInternalServerError, order("failed").status)

	orders.Fault(fault.Fault{Kind: fault.LostAnswer, Count: 1})
	require.Error(t, order("lost").err)

	orders.Fault(fault.Fault{Kind: fault.Crossed, Count: 1})
	crossed := order("crossed")
	require.Equal(t, "whole", crossed.header.Get(server.HeaderRequestID))
	require.Equal(t, whole.body, crossed.body)

	orders.Fault(fault.Fault{Kind: fault.Crash, Marker: "poison", ForMS: 300})
	require.Error(t, order("poison").err)
	require.Error(t, order("while-down").err)
	require.Eventually(t, func() bool { return order("back").status == http.StatusOK }, patience, 10*time.Millisecond)

	d.Leave(orders)
	leaving := order("leaving")
	require.Equal(t, "leaving", leaving.header.Get(server.HeaderUpstreamState))
	require.Equal(t, "no", leaving.header.Get(server.HeaderRan))

	require.Equal(t, map[string]int{"whole": 1, "failed": 1, "lost": 1, "crossed": 1, "poison": 1, "back": 1}, d.Ledger.Executions())
}

func TestHostListLags(t *testing.T) {
	d := start(t)
	hosts, err := sd.New(sd.Config{URL: d.HostListURL()})
	require.NoError(t, err)
	t.Cleanup(hosts.Close)
	leaving := func() int {
		list, err := hosts.List(t.Context())
		require.NoError(t, err)
		require.Len(t, list, len(d.Upstreams))
		count := 0
		for _, l := range list {
			if l.Leaving {
				count++
			}
		}
		return count
	}
	d.HostList.Fault(fault.Fault{Kind: fault.Lag, DelayMS: int(time.Hour.Milliseconds())})
	d.Leave(d.Upstreams[0])
	require.Zero(t, leaving())
	d.HostList.Fault(fault.Fault{Kind: fault.Lag})
	require.Equal(t, 1, leaving())
	d.HostList.Fault(fault.Fault{Kind: fault.Refuse, Count: 1})
	_, err = hosts.List(t.Context())
	require.Error(t, err)
}

// TestOrdersAndFencing checks both kinds of engines against an old order.
func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine, err := model.StartEngine(model.EngineConfig{ChecksFencing: checks})
		require.NoError(t, err)
		t.Cleanup(engine.Stop)
		give := func(fencing int64, version string) int {
			return post(t, engine.URL()+"/admin/orders", "o", "", model.Order{
				Fencing: fencing, Models: []model.Loaded{{Name: "small", Version: version}},
			}).status
		}
		require.Equal(t, http.StatusOK, give(5, "2"))
		status := give(4, "1")
		if checks {
			require.Equal(t, http.StatusConflict, status)
			require.Equal(t, "2", engine.State().Models[0].Version)
		} else {
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, 1, engine.State().Stale)
			require.Equal(t, 1, engine.State().Reversals)
		}
		refused := post(t, engine.URL()+"/v1/chat/completions", "r", "", model.ChatRequest{Model: "other", Messages: []model.Message{{Content: "x"}}})
		require.Equal(t, "no", refused.header.Get(server.HeaderRan))
	}
}
