package settings

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const minimalSettings = `host: {data_centre: riga-1, region: latvia}
listen: {http: "127.0.0.1:8080", link: "127.0.0.1:7946", operator: "127.0.0.1:9090"}
platform:
  store: ["http://127.0.0.1:2379"]
  host_list: http://127.0.0.1:2380/hosts
fleet: {key_file: /run/fleet.key}
`

func TestParseMinimalSettings(t *testing.T) {
	s, err := Parse([]byte(minimalSettings), nil)
	require.NoError(t, err)
	require.Equal(t, "riga-1", s.Host.DataCentre)
	require.Equal(t, Default().Claims, s.Claims)
}

func TestParseReportsEveryProblemWithItsPosition(t *testing.T) {
	text := `host: {data_centre: riga-1}
listen: {http: "localhost:8080", link: "127.0.0.1:7946", operator: "10.0.0.1:9090"}
platform:
  store: ["ftp://x"]
  host_list: http://127.0.0.1:2380/hosts
  store_timeout: 5
fleet: {key_file: k}
drain: {dely: 3s}
claims: {shards: 0}
`
	_, err := Parse([]byte(text), nil)
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid))
	got := err.Error()
	for _, want := range []string{
		"host.region: must be set",
		"line 2, column 16: listen.http: must be an IP number and a port",
		"operator.token_file: is needed",
		"line 4, column 10: platform.store: must be an http or https URL",
		`line 6, column 18: "5" is not a duration with a unit`,
		`line 8, column 9: unknown key "dely"`,
		"line 9, column 18: claims.shards: must be from 1 to 4096",
	} {
		require.Contains(t, got, want)
	}
	require.Len(t, invalid.Problems, 7, got)
}

func TestFlagsOverrideEnvironmentAndFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(minimalSettings), 0o600))
	t.Setenv("SEAMD_LISTEN_HTTP", "127.0.0.1:1111")
	t.Setenv("SEAMD_LISTEN_LINK", "127.0.0.1:2222")
	s, err := Load([]string{"-settings", path, "-listen-http", "127.0.0.1:3333"}, io.Discard)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:3333", s.Listen.HTTP)
	require.Equal(t, "127.0.0.1:2222", s.Listen.Link)
	require.Equal(t, "127.0.0.1:9090", s.Listen.Operator)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("host: [}"))
	f.Add([]byte("listen: {http: &a x, link: *a}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, nil)
		if err == nil {
			require.Empty(t, check(s))
		}
	})
}
