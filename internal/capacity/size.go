package capacity

// Size is the size that the system is designed for.
type Size struct {
	Nodes           float64
	Servers         float64
	DataCentres     float64
	Workspaces      float64
	RequestsPerS    float64
	TokensPerS      float64
	StagesPerCall   float64
	ChangesPerDay   float64
	Pools           float64
	OnceShare       float64 // assumed share of requests that may run only once
	TrackedPerPool  float64 // upstreams of a pool that one host sends work to
	ClaimShards     float64
	ClaimWindowS    float64 // seconds between two writes of a shard
	WatchersPerSite float64
}

// Target is the size of the users' two-year aim, with what the system itself
// fixes and what is assumed.
func Target() Size {
	return Size{
		Nodes:           2_300,
		Servers:         6_600,
		DataCentres:     14,
		Workspaces:      50_000,
		RequestsPerS:    37_000,
		TokensPerS:      11_000_000,
		StagesPerCall:   4,
		ChangesPerDay:   10_000,
		Pools:           8,
		OnceShare:       0.05,
		TrackedPerPool:  64,
		ClaimShards:     16,
		ClaimWindowS:    0.06,
		WatchersPerSite: 3,
	}
}

// secondsPerDay turns rates of a day into rates of a second.
const secondsPerDay = 86_400

// nanosecondsPerSecond turns a benchmark's time into a share of a core.
const nanosecondsPerSecond = 1e9

// core turns nanoseconds of work and a rate of it into percent of a core.
func core(nanoseconds, perSecond float64) float64 {
	const percent = 100
	return nanoseconds * perSecond / nanosecondsPerSecond * percent
}
