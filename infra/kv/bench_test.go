package kv_test

import (
	"testing"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/kv"
	"github.com/galenaseam/galenaseam/internal/standin/store"
)

func newBenchClient(b *testing.B) *kv.Client {
	s, err := store.Start(store.Config{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Stop)
	c, err := kv.New(kv.Config{Endpoints: []string{s.URL()}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// BenchmarkCompareAndSwap writes 4 kB, the size of a batch of claims.
func BenchmarkCompareAndSwap(b *testing.B) {
	c := newBenchClient(b)
	value := make([]byte, 4<<10)
	version := infra.NoVersion
	b.ReportAllocs()
	for b.Loop() {
		next, err := c.CompareAndSwap(b.Context(), "k", version, value, infra.NoLease)
		if err != nil {
			b.Fatal(err)
		}
		version = next
	}
}

// BenchmarkGet reads 4 kB.
func BenchmarkGet(b *testing.B) {
	c := newBenchClient(b)
	if _, err := c.CompareAndSwap(b.Context(), "k", infra.NoVersion, make([]byte, 4<<10), infra.NoLease); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Get(b.Context(), "k"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWatch measures the time from a write until a watch delivers its entry.
func BenchmarkWatch(b *testing.B) {
	c := newBenchClient(b)
	changes, err := c.Watch(b.Context(), "k")
	if err != nil {
		b.Fatal(err)
	}
	<-changes
	version := infra.NoVersion
	b.ReportAllocs()
	for b.Loop() {
		next, err := c.CompareAndSwap(b.Context(), "k", version, []byte("value"), infra.NoLease)
		if err != nil {
			b.Fatal(err)
		}
		for seen := infra.NoVersion; seen != next; {
			seen = (<-changes).Version
		}
		version = next
	}
}
