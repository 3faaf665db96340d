package standin

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
)

// Spec describes the stand-ins of a deployment.
type Spec struct {
	// Places are the data centres. Upstreams are assigned to them round-robin.
	Places []host.Place
	Pools  []PoolSpec
	// Models are loaded on every engine at the start. If there are none,
	// engines serve any model.
	Models []document.Model
	// HostListLag is the delay after which the host list shows a change.
	HostListLag time.Duration
	// StoreAddr and HostListAddr are the addresses to listen on; empty means a
	// free loopback port.
	StoreAddr    string
	HostListAddr string
	// StoreDelay is how long the key-value store waits before it serves a call.
	StoreDelay time.Duration
	// Pace multiplies the processing times of upstreams; zero means 1.
	Pace float64
	// Seed seeds the random choice of the calls that a fault with a Share
	// affects.
	Seed uint64
}

// PoolSpec is a pool and how many upstreams it has.
type PoolSpec struct {
	Pool  document.Pool
	Count int
}

// defaultCount is the number of upstreams of a pool for which FromDocument is
// given no count.
const defaultCount = 3

// FromDocument returns the Spec for a document's sites, pools and models.
// counts holds the number of upstreams by pool name.
func FromDocument(doc *document.Document, counts map[string]int) Spec {
	var spec Spec
	for _, site := range doc.Sites {
		spec.Places = append(spec.Places, host.Place{
			DataCentre: host.DataCentre(site.DataCentre), Region: host.Region(site.Region),
		})
	}
	for _, pool := range doc.Pools {
		count, ok := counts[pool.Name]
		if !ok {
			count = defaultCount
		}
		spec.Pools = append(spec.Pools, PoolSpec{Pool: pool, Count: count})
	}
	spec.Models = doc.Models
	return spec
}

// Times of upstreams at a Pace of 1. Pace scales all but loadInterval and
// cacheEventLag.
const (
	encodeTime         = 3 * time.Millisecond
	retrieveTime       = 5 * time.Millisecond
	rerankTime         = 5 * time.Millisecond
	serviceTime        = 5 * time.Millisecond
	firstTokenTime     = 20 * time.Millisecond
	perPromptTokenTime = 50 * time.Microsecond
	perTokenTime       = 2 * time.Millisecond
	loadInterval       = 200 * time.Millisecond
	cacheEventLag      = 500 * time.Millisecond
)

// cacheEventGap makes engines hide each cache event whose sequence number is a
// multiple of it.
const cacheEventGap = 50

// Settings of the weight store.
const (
	modelWeightBytes     = 64 << 10
	weightBytesPerSecond = 1 << 20
	maxWeightDownloads   = 8
)

// scaleDuration multiplies d by Pace.
func (s Spec) scaleDuration(d time.Duration) time.Duration {
	if s.Pace <= 0 {
		return d
	}
	return time.Duration(float64(d) * s.Pace)
}
