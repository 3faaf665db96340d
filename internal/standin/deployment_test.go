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

// testTimeout bounds each call and each wait for an expected state.
const testTimeout = 10 * time.Second

func startDeployment(t *testing.T) *standin.Deployment {
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

// client opens a new connection for each call. On a reused connection net/http
// retries a call that has an Idempotency-Key and got no answer, and the retry
// would be counted as another execution.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// response is a response with its body, or the error of the call.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// post sends body as JSON with the request ID id, and with key as its
// Idempotency-Key unless key is empty.
func post(t *testing.T, url, id, key string, body any) response {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set(server.HeaderRequestID, id)
	if key != "" {
		req.Header[service.HeaderIdempotencyKey] = []string{key}
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func chatRequest(question string, stream bool, received []string) model.ChatRequest {
	req := model.ChatRequest{Model: "small", Stream: stream, Messages: []model.Message{{Role: "user", Content: question}}}
	if len(received) > 0 {
		req.ContinueFrom = &model.ContinueFrom{Text: strings.Join(received, ""), Tokens: len(received)}
	}
	return req
}

// TestAnswersFollowTheirRequests checks that an engine's answer repeats the
// request ID and the reference of its request, that the same prompt is cached
// the second time, and that a retriever finds documents of its workspace.
func TestAnswersFollowTheirRequests(t *testing.T) {
	d := startDeployment(t)
	engine := d.Pool("engines")[0].URLPath("/v1/chat/completions")
	question := "ref-41 where is argon " + strings.Repeat("bottle ", 40)
	for round := range 2 {
		got := post(t, engine, "r1", "", chatRequest(question, false, nil))
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

// TestCutStreamContinues cuts a stream and checks that another engine continues
// it without repeating or losing a token. A truncated stream must end without a
// read error, but also without [DONE].
func TestCutStreamContinues(t *testing.T) {
	d := startDeployment(t)
	first, second := d.Pool("engines")[0], d.Pool("engines")[1]
	first.Fault(fault.Fault{Kind: fault.Cut, AfterEvents: 5, Count: 1})
	cut := post(t, first.URLPath("/v1/chat/completions"), "r1", "", chatRequest("ref-7", true, nil))
	require.Error(t, cut.err, "a cut stream must end with a read error")
	head, complete := streamText(t, cut.body)
	require.False(t, complete)
	require.Len(t, head, 5)
	rest := post(t, second.URLPath("/v1/chat/completions"), "r1", "", chatRequest("ref-7", true, head))
	require.NoError(t, rest.err)
	tail, complete := streamText(t, rest.body)
	require.True(t, complete)
	want, _ := model.Answer("small", model.Prompt(chatRequest("ref-7", true, nil).Messages), 0)
	require.Equal(t, want, append(head, tail...))

	second.Fault(fault.Fault{Kind: fault.Truncate, AfterEvents: 2, Count: 1})
	short := post(t, second.URLPath("/v1/chat/completions"), "r1", "", chatRequest("ref-7", true, nil))
	require.NoError(t, short.err, "a truncated stream must end without a read error")
	_, complete = streamText(t, short.body)
	require.False(t, complete)
}

// streamText returns the tokens of a stream and whether it ended with [DONE].
func streamText(t *testing.T, body []byte) (tokens []string, complete bool) {
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

// TestFaultsReportWhetherCallRan compares what the responses under each fault
// say with the executions that the ledger counted.
func TestFaultsReportWhetherCallRan(t *testing.T) {
	d := startDeployment(t)
	orders := d.Pool("orders")[0]
	order := func(key string) response {
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

	orders.Fault(fault.Fault{Kind: fault.AnswerOfOtherCall, Count: 1})
	crossed := order("crossed")
	require.Equal(t, "whole", crossed.header.Get(server.HeaderRequestID))
	require.Equal(t, whole.body, crossed.body)

	orders.Fault(fault.Fault{Kind: fault.Crash, Marker: "poison", ForMS: 300})
	require.Error(t, order("poison").err)
	require.Error(t, order("while-down").err)
	require.Eventually(t, func() bool { return order("back").status == http.StatusOK }, testTimeout, 10*time.Millisecond)

	d.Leave(orders)
	leaving := order("leaving")
	require.Equal(t, "leaving", leaving.header.Get(server.HeaderUpstreamState))
	require.Equal(t, "no", leaving.header.Get(server.HeaderRan))

	require.Equal(t, map[string]int{"whole": 1, "failed": 1, "lost": 1, "crossed": 1, "poison": 1, "back": 1}, d.Ledger.Executions())
}

// TestHostListLagAndRefusal checks that the host list shows a change only after
// its lag, and that listing fails under a Refuse fault.
func TestHostListLagAndRefusal(t *testing.T) {
	d := startDeployment(t)
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

// TestEngineFencing sends an order with an outdated fencing number: an engine
// that checks fencing refuses it, and one that does not applies it and counts
// it as stale.
func TestEngineFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine, err := model.StartEngine(model.EngineConfig{ChecksFencing: checks})
		require.NoError(t, err)
		t.Cleanup(engine.Stop)
		sendOrder := func(fencing int64, version string) int {
			return post(t, engine.URL()+"/admin/orders", "o", "", model.Order{
				Fencing: fencing, Models: []model.EngineModel{{Name: "small", Version: version}},
			}).status
		}
		require.Equal(t, http.StatusOK, sendOrder(5, "2"))
		status := sendOrder(4, "1")
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
