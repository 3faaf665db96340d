package standin

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
)

// Spec says what a deployment consists of.
type Spec struct {
	// Places are the data centres; upstreams are spread over them in turn.
	Places []host.Place
	Pools  []PoolSpec
	// Models are what engines hold at the start; none means any model.
	Models []document.Model
	// HostListLag is how late the host list shows a change.
	HostListLag time.Duration
	// StoreAddr and HostListAddr are where to listen; empty means any port.
	StoreAddr    string
	HostListAddr string
	// StoreDelay is how long each call of the key-value service takes.
	StoreDelay time.Duration
	// Pace stretches the time that upstreams work; zero means 1.
	Pace float64
	// Seed decides which calls a fault's share hits.
	Seed uint64
}

// PoolSpec is one pool of upstreams.
type PoolSpec struct {
	Pool  document.Pool
	Count int
}

// defaultCount is the number of upstreams of a pool that no count names.
const defaultCount = 3

// FromDocument returns the deployment for a document's sites, pools and
// models. The counts say how many upstreams each pool has.
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

// The times that upstreams work at a pace of 1.
const (
	encodeTime     = 3 * time.Millisecond
	retrieveTime   = 5 * time.Millisecond
	rerankTime     = 5 * time.Millisecond
	serviceTime    = 5 * time.Millisecond
	firstTokenTime = 20 * time.Millisecond
	perPromptToken = 50 * time.Microsecond
	perTokenTime   = 2 * time.Millisecond
	loadInterval   = 200 * time.Millisecond
	cacheEventLag  = 500 * time.Millisecond
)

// cacheEventGap hides one cache event in so many.
const cacheEventGap = 50

// The weight store of a deployment.
const (
	weightBytes          = 64 << 10
	weightBytesPerSecond = 1 << 20
	weightDownloads      = 8
)

// paced stretches a time by the deployment's pace.
func (s Spec) paced(d time.Duration) time.Duration {
	if s.Pace <= 0 {
		return d
	}
	return time.Duration(float64(d) * s.Pace)
}
