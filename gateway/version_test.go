package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

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
