package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func TestCheckRestoresFindsWhatNewerStatesForbid(t *testing.T) {
	u := (&platformtest.Upstream{ID: "u1"}).Start()
	t.Cleanup(u.Close)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+u.Addr().String(), nil)
	require.NoError(t, err)
	r.Header.Set("Attempt-Id", "r1")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	now, h := time.Now(), &hostProcess{settings: platformtest.HostSettings{Name: "entry-0"}}
	s := &server{Upstream: u}
	e := &environment{upstreams: []*server{s}, hosts: []*hostProcess{h}}
	sent := func(key string) []outcome { return []outcome{{id: "r1", host: "entry-0", key: key, sentAt: now}} }
	require.Empty(t, e.checkRestores(sent(keptKey)))
	require.Len(t, e.checkRestores(sent("key-0")), 1, "the key is withdrawn")
	s.unlistedAt = now.Add(-drainBound)
	require.Empty(t, e.checkRestores(sent(keptKey)))
	s.unlistedAt = now.Add(-drainBound - time.Millisecond)
	require.Len(t, e.checkRestores(sent(keptKey)), 1, "the upstream is unlisted")
	e.restores = []time.Time{now}
	require.Len(t, e.checkRestores(sent(keptKey)), 1, "hosts knew it before the restore")
	e.restores = []time.Time{s.unlistedAt.Add(time.Second)}
	require.Empty(t, e.checkRestores(sent(keptKey)), "a restore may have lost it before hosts knew")
	s.unlistedAt = now.Add(-time.Minute)
	e.restores = []time.Time{now.Add(-5 * time.Second)}
	h.disruptions = []*disruption{{kind: killed, from: now.Add(-30 * time.Second), until: now.Add(-29 * time.Second)}}
	require.Empty(t, e.checkRestores(sent(keptKey)), "the host started after the upstream was unlisted and saw it in the copy")
	e.restores, h.disruptions = []time.Time{s.unlistedAt.Add(-time.Second)}, nil
	require.Len(t, e.checkRestores(sent(keptKey)), 1, "the upstream was listed as leaving after the restore")
	s.removed = true
	require.Empty(t, e.checkRestores(sent(keptKey)), "the entry was removed soon after the restore")
	e.restores = nil
	require.Len(t, e.checkRestores(sent(keptKey)), 1, "no copy listed the upstream again")
	h.disruptions = []*disruption{{kind: storeCut, from: now.Add(-time.Second), until: now}}
	require.Empty(t, e.checkRestores(sent(keptKey)), "the host was cut off from the store")
}
