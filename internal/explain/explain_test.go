package explain_test

import (
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/internal/explain"
)

// Guards against a wrong parameter that is ignored, or whose error does not name it.
func TestWrongParameterIsNamed(t *testing.T) {
	for query, param := range map[string]string{
		"": "host", "host=a": "path", "host=a&path=b": "path", "host=a&path=/&prompt_tokens=x": "prompt_tokens",
		"host=a&path=/&output_tokens=-1": "output_tokens", "host=a&path=/&parts=p": "parts", "host=a&path=/&parts=p:1,:2": "parts",
		"host=a&path=/&parts=p:9&prompt_tokens=8": "prompt_tokens", "service=s&pieces=0": "pieces", "service=": "service",
		"host=a&path=/&pieces=1,-1": "pieces", "host=a&path=/&pieces=1,,1": "pieces", "service=s&pieces=1,2": "pieces", "service=s&version=v": "version", "host=a&path=/&speed=1": "speed", "host=a&host=b&path=/": "host",
	} {
		values, err := url.ParseQuery(query)
		require.NoError(t, err)
		_, err = explain.Parse(values)
		require.ErrorContains(t, err, `"`+param+`"`, query)
	}
	q, err := explain.Parse(url.Values{"host": {"a"}, "path": {"/"}, "pieces": {"1,0,16"}, "parts": {"x:y:7,z:3"}})
	require.NoError(t, err)
	require.Equal(t, explain.Query{Host: "a", Path: "/", StagePieces: []int{1, 0, 16}, PromptTokens: 10, Parts: []call.PromptPart{{ID: "x:y", Tokens: 7}, {ID: "z", Tokens: 3}}}, q)
}
