package edge

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a setting of which operators don't know whether a change takes effect.
func TestOperationsPageSaysWhenEachSettingIsInForce(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	for field := range reflect.TypeFor[Settings]().Fields() {
		rows := 0
		for line := range strings.Lines(string(page)) {
			columns := strings.Split(line, "|")
			if len(columns) == 5 && strings.Contains(columns[1], "`"+field.Name+"`") {
				rows++
				atOnce := strings.HasPrefix(strings.TrimSpace(columns[3]), "at once")
				require.Equal(t, slices.Contains(reloadable, field.Name), atOnce, field.Name)
			}
		}
		require.Equal(t, 1, rows, "rows of %s", field.Name)
	}
	for _, name := range reloadable {
		_, exists := reflect.TypeFor[Settings]().FieldByName(name)
		require.True(t, exists, name)
	}
}

func TestSettingsThatAwaitARestartAreNamed(t *testing.T) {
	started := Settings{Name: "a", Capacity: 1}
	require.Empty(t, restartSettings(started, started))
	updated := started
	updated.Grace, updated.Capacity, updated.FleetKey = 1, 2, []byte("k")
	require.Equal(t, []string{"FleetKey", "Capacity"}, restartSettings(started, updated))
}
