package kv_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/kv"
)

// documentedResponses are the responses that the service's own documentation
// shows, by path.
var documentedResponses = map[string]string{
	"/v3/kv/range":        `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`,
	"/v3/kv/txn":          `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"3","raft_term":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}`,
	"/v3/lease/grant":     `{"header":{"revision":"3"},"ID":"7587848390000000001","TTL":"10"}`,
	"/v3/lease/keepalive": `{"result":{"header":{"revision":"3"},"ID":"7587848390000000001"}}`,
	"/v3/lease/revoke":    `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`,
	"/v3/watch": `{"result":{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"2"},"created":true}}
{"result":{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"4","raft_term":"2"},"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"4","version":"2","value":"YmF6"}}]}}
`,
}

// TestDocumentedResponses checks the client against the responses in the
// service's documentation. Tests against the stand-in alone would not notice a
// mistake that client and stand-in have in common.
func TestDocumentedResponses(t *testing.T) {
	sent := map[string]string{}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sent[r.URL.Path] = string(body)
		if r.URL.Path == "/v3/lease/revoke" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, documentedResponses[r.URL.Path])
	}))
	defer service.Close()
	c, err := kv.New(kv.Config{Endpoints: []string{service.URL}})
	require.NoError(t, err)
	defer c.Close()
	ctx := t.Context()

	entry, err := c.Get(ctx, "foo")
	require.NoError(t, err)
	require.Equal(t, infra.Entry{Key: "foo", Value: []byte("bar"), Version: 2}, entry)
	require.JSONEq(t, `{"key":"Zm9v"}`, sent["/v3/kv/range"])

	version, err := c.CompareAndSwap(ctx, "foo", 2, []byte("bar"), infra.NoLease)
	require.NoError(t, err)
	require.Equal(t, infra.Version(3), version)
	require.JSONEq(t, `{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"2"}],
		"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`, sent["/v3/kv/txn"])

	lease, err := c.GrantLease(ctx, 10*time.Second)
	require.NoError(t, err)
	_, err = c.KeepAlive(ctx, lease)
	require.ErrorIs(t, err, infra.ErrLeaseGone, "a response without a TTL")
	require.ErrorIs(t, c.RevokeLease(ctx, lease), infra.ErrLeaseGone)

	changes, err := c.Watch(ctx, "foo")
	require.NoError(t, err)
	var last infra.Entry
	for entry := range changes {
		last = entry
	}
	require.Equal(t, infra.Entry{Key: "foo", Value: []byte("baz"), Version: 4}, last)
	require.JSONEq(t, `{"create_request":{"key":"Zm9v","start_revision":"3"}}`, sent["/v3/watch"])
}
