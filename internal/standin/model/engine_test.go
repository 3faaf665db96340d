package model

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// callJSON sends in as the JSON body of a POST, or a GET if in is nil, and
// decodes the response into out unless out is nil.
func callJSON(t *testing.T, url string, in, out any) *http.Response {
	t.Helper()
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if in != nil {
		data, err := json.Marshal(in)
		require.NoError(t, err)
		method, body = http.MethodPost, bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	require.NoError(t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	if out != nil {
		require.NoError(t, json.Unmarshal(data, out), string(data))
	}
	return resp
}

// TestCacheTransferAndEventGaps fills a small cache, transfers a prefix to
// another engine and checks which cache events are returned.
func TestCacheTransferAndEventGaps(t *testing.T) {
	first, err := StartEngine(EngineConfig{CacheBlocks: 4, CacheEventGap: 3})
	require.NoError(t, err)
	t.Cleanup(first.Stop)
	second, err := StartEngine(EngineConfig{CacheEventLag: time.Hour})
	require.NoError(t, err)
	t.Cleanup(second.Stop)
	req := ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: strings.Repeat("word ", 3*blockTokens)}}}

	callJSON(t, first.URL()+"/v1/chat/completions", req, nil)
	var exported KVBlocks
	callJSON(t, first.URL()+"/v1/kv/export", req, &exported)
	require.Len(t, exported.Blocks, 3)
	callJSON(t, second.URL()+"/v1/kv/import", exported, nil)
	var answer ChatResponse
	callJSON(t, second.URL()+"/v1/chat/completions", req, &answer)
	require.Equal(t, 3*blockTokens, answer.Usage.PromptTokensDetails.CachedTokens)

	req.Messages[0].Content = strings.Repeat("other ", 3*blockTokens)
	callJSON(t, first.URL()+"/v1/chat/completions", req, nil)
	var returned CacheEvents
	callJSON(t, first.URL()+"/v1/cache/events?since=1", nil, &returned)
	var seqs []int64
	for _, e := range returned.Events {
		seqs = append(seqs, e.Seq)
	}
	// Six blocks were stored and two of them evicted: eight events, of which
	// every third is hidden.
	require.Equal(t, []int64{2, 4, 5, 7, 8}, seqs)
	callJSON(t, second.URL()+"/v1/cache/events", nil, &returned)
	require.Empty(t, returned.Events, "events must not appear before CacheEventLag")
}

// TestContinueFromRejectsForeignText asks to continue a text that is not the
// beginning of the answer. It also checks that IsCompleteAnswer accepts only a
// complete answer with the right references.
func TestContinueFromRejectsForeignText(t *testing.T) {
	engine, err := StartEngine(EngineConfig{})
	require.NoError(t, err)
	t.Cleanup(engine.Stop)
	req := ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: "ref-1"}}}
	req.ContinueFrom = &ContinueFrom{Text: "Answer of another", Tokens: 1}
	resp := callJSON(t, engine.URL()+"/v1/chat/completions", req, nil)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, "no", resp.Header.Get(server.HeaderRan))

	tokens, _ := Answer("m", Prompt(req.Messages), 0)
	require.True(t, IsCompleteAnswer(strings.Join(tokens, ""), "ref-1"))
	require.False(t, IsCompleteAnswer(strings.Join(tokens[1:], ""), "ref-1"))
	require.False(t, IsCompleteAnswer(strings.Join(tokens, ""), "ref-2"))
}
