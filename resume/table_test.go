package resume

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestRecordIsKnownUntilItExpires(t *testing.T) {
	records := newTable()
	records.put(Record{Attempt: "a", Service: "s", Version: "v1", TTL: 5 * time.Second}, start)
	got, known := records.get("a", start.Add(4*time.Second))
	require.True(t, known)
	require.Equal(t, Record{Attempt: "a", Service: "s", Version: "v1", TTL: time.Second}, got)
	_, known = records.get("a", start.Add(5*time.Second))
	require.False(t, known)
	_, known = records.get("b", start)
	require.False(t, known)
}

// A stream that is resumed lives on, at the version that began it.
func TestRefreshedRecordKeepsItsVersionAndTheLaterExpiry(t *testing.T) {
	records := newTable()
	records.put(Record{Attempt: "a", Version: "v1", TTL: 5 * time.Second}, start)
	records.put(Record{Attempt: "a", Version: "v2", TTL: 9 * time.Second}, start)
	records.put(Record{Attempt: "a", Version: "v2", TTL: time.Second}, start)
	got, known := records.get("a", start.Add(8*time.Second))
	require.True(t, known)
	require.Equal(t, "v1", got.Version)
	records.put(Record{Attempt: "a", Version: "v2", TTL: time.Second}, start.Add(9*time.Second))
	got, known = records.get("a", start.Add(9*time.Second))
	require.True(t, known)
	require.Equal(t, "v2", got.Version, "an expired record says nothing")
}

func TestRecordsAreBoundedInNumberAndLife(t *testing.T) {
	records := newTable()
	records.put(Record{Attempt: "long", TTL: time.Hour}, start)
	_, known := records.get("long", start.Add(maxTTL))
	require.False(t, known)
	for i := range maxRecords + 10 {
		records.put(Record{Attempt: strconv.Itoa(i), TTL: time.Minute}, start)
	}
	require.Equal(t, maxRecords, records.records.Len())
	_, known = records.get(strconv.Itoa(maxRecords+9), start)
	require.True(t, known)
	_, known = records.get("0", start)
	require.False(t, known, "the oldest are dropped first")
	records.put(Record{Attempt: "later", TTL: time.Minute}, start.Add(time.Minute))
	require.Equal(t, 1, records.records.Len(), "expired records are dropped")
}
