package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// Guards against a stream that is taken up behind new ones, or a new one ahead of others.
func TestOnlyStreamsThatHaveBegunAreResumed(t *testing.T) {
	for name, c := range map[string]struct {
		kind      routing.Kind
		resumes   string
		lastEvent int64
		want      bool
	}{
		"new":               {kind: routing.Stream, lastEvent: call.NoEvent},
		"after an event":    {kind: routing.Stream, lastEvent: 0, want: true},
		"before any event":  {kind: routing.Stream, resumes: "a", lastEvent: call.NoEvent, want: true},
		"not a stream":      {kind: routing.AtMostOnce, resumes: "a", lastEvent: 3},
		"repeatable lookup": {kind: routing.Idempotent, resumes: "a", lastEvent: 3},
	} {
		x := &exchange{route: &routing.Route{Kind: c.kind}, request: &call.Request{Resumes: c.resumes, LastEvent: c.lastEvent}}
		require.Equal(t, c.want, x.resumesStream(), name)
	}
}

// Guards against a stream that goes on at another version, because a host that lacks
// its record takes the version that it sees for the only one, and against refusals where
// there is no other.
func TestOnlyVersionIsSureOnlyIfNoOtherCanHaveBegunTheStream(t *testing.T) {
	for name, c := range map[string]struct {
		versions   []string
		complete   bool
		unanswered int
		sure       bool
	}{
		"one version":             {versions: []string{"v1"}, complete: true, sure: true},
		"two versions":            {versions: []string{"v1", "v2"}, complete: true},
		"none":                    {complete: true},
		"host has just started":   {versions: []string{"v1"}},
		"a host has not answered": {versions: []string{"v1"}, complete: true, unanswered: 1},
	} {
		version, sure := onlyVersion(c.versions, c.complete, c.unanswered)
		require.Equal(t, c.sure, sure, name)
		require.Equal(t, c.sure, version == "v1", name)
	}
}
