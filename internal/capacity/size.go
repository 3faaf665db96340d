package capacity

// Size contains the numbers from which the rows are computed. Rates are for the
// whole system.
type Size struct {
	Hosts                 float64
	Upstreams             float64
	DataCentres           float64
	Workspaces            float64
	RequestsPerSecond     float64
	TokensPerSecond       float64
	StagesPerRequest      float64
	ChangesPerDay         float64
	Pools                 float64
	NonIdempotentShare    float64 // assumed share of non-idempotent requests
	TrackedPerPool        float64 // upstreams of a pool to which one host sends work
	ClaimShards           float64
	ClaimWindowSeconds    float64 // seconds between two writes of one shard
	WatchersPerDataCentre float64
}

// Target returns the size that the users plan to reach in two years, with the
// numbers that the system's own settings fix and those that are assumed.
func Target() Size {
	return Size{
		Hosts:                 2_300,
		Upstreams:             6_600,
		DataCentres:           14,
		Workspaces:            50_000,
		RequestsPerSecond:     37_000,
		TokensPerSecond:       11_000_000,
		StagesPerRequest:      4,
		ChangesPerDay:         10_000,
		Pools:                 8,
		NonIdempotentShare:    0.05,
		TrackedPerPool:        64,
		ClaimShards:           16,
		ClaimWindowSeconds:    0.06,
		WatchersPerDataCentre: 3,
	}
}

const secondsPerDay = 86_400

const nanosecondsPerSecond = 1e9

// corePercent returns the percentage of one core that an operation uses which
// takes the given nanoseconds and runs perSecond times per second.
func corePercent(nanoseconds, perSecond float64) float64 {
	const percent = 100
	return nanoseconds * perSecond / nanosecondsPerSecond * percent
}
