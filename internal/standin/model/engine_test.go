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

// exchange posts a body, or gets when it is nil, and decodes the answer.
func exchange(t *testing.T, url string, in, out any) *http.Response {
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

// TestCacheMovesAndTellsWithGaps fills a small cache, moves a prefix to another
// engine, and reads the events.
func TestCacheMovesAndTellsWithGaps(t *testing.T) {
	first, err := StartEngine(EngineConfig{CacheBlocks: 4, CacheEventGap: 3})
	require.NoError(t, err)
	t.Cleanup(first.Stop)
	second, err := StartEngine(EngineConfig{CacheEventLag: time.Hour})
	require.NoError(t, err)
	t.Cleanup(second.Stop)
	ask := ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: strings.Repeat("word ", 3*blockTokens)}}}

	exchange(t, first.URL()+"/v1/chat/completions", ask, nil)
	var moved KVBlocks
	exchange(t, first.URL()+"/v1/kv/export", ask, &moved)
	require.Len(t, moved.Blocks, 3)
	exchange(t, second.URL()+"/v1/kv/import", moved, nil)
	var answer ChatResponse
	exchange(t, second.URL()+"/v1/chat/completions", ask, &answer)
	require.Equal(t, 3*blockTokens, answer.Usage.PromptTokensDetails.CachedTokens)

	ask.Messages[0].Content = strings.Repeat("other ", 3*blockTokens)
	exchange(t, first.URL()+"/v1/chat/completions", ask, nil)
	var told CacheEvents
	exchange(t, first.URL()+"/v1/cache/events?since=1", nil, &told)
	var numbers []int64
	for _, e := range told.Events {
		numbers = append(numbers, e.Seq)
	}
	// Six blocks were stored and two of them put out: eight events, of which
	// each third is never told.
	require.Equal(t, []int64{2, 4, 5, 7, 8}, numbers)
	exchange(t, second.URL()+"/v1/cache/events", nil, &told)
	require.Empty(t, told.Events, "events come late")
}

// TestContinueFromChecksItsBeginning asks to go on from another's text.
func TestContinueFromChecksItsBeginning(t *testing.T) {
	engine, err := StartEngine(EngineConfig{})
	require.NoError(t, err)
	t.Cleanup(engine.Stop)
	ask := ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: "ref-1"}}}
	ask.ContinueFrom = &ContinueFrom{Text: "Answer of another", Tokens: 1}
	resp := exchange(t, engine.URL()+"/v1/chat/completions", ask, nil)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, "no", resp.Header.Get(server.HeaderRan))

	tokens, _ := Answer("m", Prompt(ask.Messages), 0)
	require.True(t, IsWhole(strings.Join(tokens, ""), "ref-1"))
	require.False(t, IsWhole(strings.Join(tokens[1:], ""), "ref-1"))
	require.False(t, IsWhole(strings.Join(tokens, ""), "ref-2"))
}
