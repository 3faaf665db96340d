package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// get returns the status of a request on a new connection.
func get(t *testing.T, url string) (int, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	require.NoError(t, response.Body.Close())
	return response.StatusCode, nil
}

func TestListenerComesUpOnItsPort(t *testing.T) {
	l, err := Listen("", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	require.NoError(t, err)
	defer l.Stop()
	for range 20 {
		status, err := get(t, l.URL())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		l.Down()
		_, err = get(t, l.URL())
		require.ErrorContains(t, err, "connection refused")
		require.NoError(t, l.Up())
	}
}

// Up must not wait for a port that another process has open.
func TestPortInUseIsReportedWhenListenerComesUp(t *testing.T) {
	l, err := Listen("", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	require.NoError(t, err)
	defer l.Stop()
	l.Down()
	other, err := net.Listen("tcp", l.Addr().String())
	require.NoError(t, err)
	defer other.Close()
	started := time.Now()
	require.ErrorContains(t, l.Up(), "address already in use")
	require.Less(t, time.Since(started), time.Second)
}
