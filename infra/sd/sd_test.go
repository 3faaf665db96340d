package sd_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/sd"
)

// serveAndList serves one response and returns the client's result.
func serveAndList(t *testing.T, status int, body string) ([]infra.Listing, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client, err := sd.New(sd.Config{URL: server.URL, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	defer client.Close()
	return client.List(t.Context())
}

func TestListReadsLabels(t *testing.T) {
	body := `[{"targets":["10.0.0.1:80","engine.example:80"],"labels":{"pool":"engines","data_centre":"riga-1","region":"latvia","state":"live"}},
		{"targets":["10.0.0.2:80"],"labels":{"data_centre":"riga-1","region":"latvia","state":"draining"}}]`
	got, err := serveAndList(t, http.StatusOK, body)
	require.NoError(t, err)
	place := host.Place{DataCentre: "riga-1", Region: "latvia"}
	require.Equal(t, []infra.Listing{
		{Addr: netip.MustParseAddrPort("10.0.0.1:80"), Place: place, Pool: "engines"},
		{Addr: netip.MustParseAddrPort("10.0.0.2:80"), Place: place, Leaving: true},
	}, got, "a host name is ignored, and an unknown state means leaving")
}

// TestTruncatedListIsRejected checks that a truncated list or an error status is
// an error. Callers then keep the previous list; a shortened list would remove
// live machines.
func TestTruncatedListIsRejected(t *testing.T) {
	body := `[{"targets":["10.0.0.1:80"],"labels":{}}]`
	for at := range len(body) {
		_, err := serveAndList(t, http.StatusOK, body[:at])
		require.Error(t, err, "cut at %d", at)
	}
	_, err := serveAndList(t, http.StatusBadGateway, body)
	require.Error(t, err)
}
