package capacity

import "fmt"

// row is one row of the table: how much of one resource a role needs.
type row struct {
	role      string
	resource  string
	mechanism string
	// compute returns the amount at size s, as text, and the measured or assumed
	// values that it is based on.
	compute func(f *Measurements, m *missingValues, s Size) (amount, basis string)
	// largestMeasured is the largest size for which the mechanism was measured.
	largestMeasured string
}

// rows returns all rows, grouped by role.
func rows() []row {
	var all []row
	for _, part := range [][]row{requestRows(), policyRows(), membershipRows(), configRows(), storeRows()} {
		all = append(all, part...)
	}
	return all
}

func requestRows() []row {
	const role = "entry host: requests"
	return []row{
		{role, "processor", "frontend, request, attempt over net/http", requestCPU, "1 host, callers and stand-ins on the same cores"},
		{role, "processor for tokens", "one event read and one written for each token", tokenCPU, "1,010 tokens in a stream"},
		{role, "memory, idle", "one process, Go", idleMemory, "10 hosts in one process"},
	}
}

func requestCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	const cores = 10 // cores of the machine that runs the benchmark
	perSecond := f.get(m, "PipelineThroughput", "requests/s")
	if perSecond == 0 {
		return "", ""
	}
	perHost := s.RequestsPerSecond / s.Hosts
	share := perHost / (perSecond / cores) * 100
	return fmt.Sprintf("%.1f%% of a core", share),
		fmt.Sprintf("%.0f requests/s on %d cores, callers and stand-ins included; %.0f requests/s a node", perSecond, cores, perHost)
}

// tokenCPU divides the difference between a long and a short stream by their
// difference in tokens, so that the cost of a request itself cancels out. A host
// reads and writes each token.
func tokenCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	const extraTokens = 1000 // difference in length of the two streams
	long := f.get(m, "Stream/tokens=1010", "ns/op")
	short := f.get(m, "Stream/tokens=10", "ns/op")
	perToken := (long - short) / extraTokens
	perHost := s.TokensPerSecond / s.Hosts
	return fmt.Sprintf("%.1f%% of a core", corePercent(2*perToken, perHost)),
		fmt.Sprintf("%.1f µs a token read, the sending server's part included, and as much again to write it on; %.0f tokens/s a node", perToken/1e3, perHost)
}

func idleMemory(f *Measurements, m *missingValues, _ Size) (string, string) {
	each := f.get(m, "IdleHostMemory", "MB/host")
	return fmt.Sprintf("%.1f MB", each), "slope from 2 to 10 hosts in one process; the Go runtime and binary come on top once"
}

func policyRows() []row {
	const role = "entry host: policy"
	return []row{
		{role, "processor, decisions", "policy: a few upstreams drawn from the host's subset", decisionCPU, "6,600 upstreams in one pool"},
		{role, "processor, observation", "policy: pools read every 100 ms", observationCPU, "6,600 upstreams in one pool"},
		{role, "processor, limits", "limit: token buckets by shares", limitCPU, "1 limit; fleets of 12 in tests"},
		{role, "processor, upstream states", "upstream: settled every 100 ms", upstreamStateCPU, "6,600 upstreams"},
	}
}

func decisionCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	each := f.get(m, "Decision/upstreams=100", "ns/op")
	rate := s.RequestsPerSecond / s.Hosts * s.StagesPerRequest
	return fmt.Sprintf("%.2f%% of a core", corePercent(each, rate)),
		fmt.Sprintf("%.1f µs a decision among 100 upstreams (a host tracks %.0f of a pool); %.0f decisions/s a node", each/1e3, s.TrackedPerPool, rate)
}

func observationCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	const perSecond = 10
	each := f.get(m, "Observe/upstreams=100", "ns/op")
	return fmt.Sprintf("%.2f%% of a core", corePercent(each, perSecond*s.Pools)),
		fmt.Sprintf("%.1f µs for 100 upstreams, %d times a second, %.0f pools", each/1e3, perSecond, s.Pools)
}

func limitCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	each := f.get(m, "Take", "ns/op")
	rate := s.RequestsPerSecond / s.Hosts
	return fmt.Sprintf("%.3f%% of a core", corePercent(each, rate)), fmt.Sprintf("%.0f ns a request; %.0f requests/s a node", each, rate)
}

func upstreamStateCPU(f *Measurements, m *missingValues, _ Size) (string, string) {
	const perSecond = 10
	each := f.get(m, "Settle", "ns/op")
	return fmt.Sprintf("%.2f%% of a core", corePercent(each, perSecond)), fmt.Sprintf("%.0f µs for all upstreams, %d times a second", each/1e3, perSecond)
}

func membershipRows() []row {
	const role = "entry host: membership"
	const largest = "2,300 hosts on a fake network; 36 with real datagrams"
	return []row{
		{role, "messages", "member: probes inside a data centre, delegates between", membershipTraffic, largest},
		{role, "processor", "member: decisions, codec and fake network", membershipCPU, largest},
		{role, "memory", "member: one record for each host", membershipMemory, largest},
	}
}

func membershipTraffic(f *Measurements, m *missingValues, _ Size) (string, string) {
	mean := f.get(m, "Fleet/hosts=2300", "B/s-mean")
	most := f.get(m, "Fleet/hosts=2300", "B/s-max")
	return fmt.Sprintf("%.0f B/s, a delegate %.0f B/s", mean, most), "measured at the size itself; sent and received, headers included"
}

func membershipCPU(f *Measurements, m *missingValues, _ Size) (string, string) {
	fake := f.get(m, "Fleet/hosts=2300", "core%/host")
	real36 := f.get(m, "RealHosts/hosts=36", "core%/host")
	return fmt.Sprintf("%.2f%% of a core", fake+real36),
		fmt.Sprintf("%.3f%% at 2,300 on the fake network, and the %.3f%% that real datagrams took at 36 hosts", fake, real36)
}

func membershipMemory(f *Measurements, m *missingValues, _ Size) (string, string) {
	const kilobytesPerMB = 1000
	return fmt.Sprintf("%.2f MB", f.get(m, "Fleet/hosts=2300", "kB/host")/kilobytesPerMB), "measured at the size itself"
}

func configRows() []row {
	const role = "entry host: configuration"
	return []row{
		{role, "memory", "config: the newest generation whole", configMemory, "50,000 workspaces"},
		{role, "processor", "document: unchanged sections are not read again", configCPU, "50,000 workspaces"},
		{role, "time to in force", "config: watchers in each data centre, datagrams, bodies from peers", configPropagation, "384 hosts in 14 data centres in one process"},
	}
}

func configMemory(f *Measurements, m *missingValues, _ Size) (string, string) {
	return fmt.Sprintf("%.1f MB", f.get(m, "Following50000Workspaces", "MB-held")), "one generation with 50,000 workspaces, texts and index"
}

func configCPU(f *Measurements, m *missingValues, s Size) (string, string) {
	change := f.get(m, "Following50000Workspaces", "ns/op")
	rate := s.ChangesPerDay / secondsPerDay
	return fmt.Sprintf("%.2f%% of a core", corePercent(change, rate)),
		fmt.Sprintf("%.0f ms if every change touched the section of workspaces; %.3f changes/s", change/1e6, rate)
}

func configPropagation(f *Measurements, m *missingValues, _ Size) (string, string) {
	small := f.get(m, "InForce/hosts=12", "s-longest")
	large := f.get(m, "InForce/hosts=384", "s-longest")
	return fmt.Sprintf("%.2f s at 384 hosts", large), fmt.Sprintf("the slowest host; %.2f s at 12 hosts", small)
}

func storeRows() []row {
	const role = "platform's key-value service"
	return []row{
		{role, "writes", "claim: group commit, one write for each shard and window", claimWrites, "see docs/design/claims.md"},
		{role, "claims each write carries", "claim: group commit", claimsPerWrite, "see docs/design/claims.md"},
		{role, "reads, no change of hosts", "config: watchers ask for the head; nobody else does", configReads, "384 hosts in 14 data centres"},
		{role, "waiting watches", "config: three hosts of each data centre watch one key", openWatches, "384 hosts in 14 data centres"},
		{"platform's host list", "reads", "upstream and member: every host reads the whole list", hostListReads, "12 hosts"},
	}
}

func claimWrites(_ *Measurements, _ *missingValues, s Size) (string, string) {
	return fmt.Sprintf("at most %.0f/s", s.ClaimShards/s.ClaimWindowSeconds),
		fmt.Sprintf("%.0f shards, one write each in %.0f ms, whatever the number of hosts", s.ClaimShards, s.ClaimWindowSeconds*1000)
}

func claimsPerWrite(_ *Measurements, _ *missingValues, s Size) (string, string) {
	claims := s.RequestsPerSecond * s.NonIdempotentShare
	return fmt.Sprintf("%.0f entries", 2*claims/(s.ClaimShards/s.ClaimWindowSeconds)),
		fmt.Sprintf("assumed: %.0f%% of requests may run only once, so %.0f claims/s, each with an outcome", s.NonIdempotentShare*100, claims)
}

func configReads(f *Measurements, m *missingValues, _ Size) (string, string) {
	small := f.get(m, "InForce/hosts=12", "store-reads/s")
	large := f.get(m, "InForce/hosts=384", "store-reads/s")
	return fmt.Sprintf("%.1f/s at 384 hosts", large), fmt.Sprintf("%.1f/s at 12 hosts in 4 data centres, with a change each few seconds", small)
}

func openWatches(_ *Measurements, _ *missingValues, s Size) (string, string) {
	return fmt.Sprintf("%.0f", s.DataCentres*s.WatchersPerDataCentre), "grows with data centres, not with hosts"
}

func hostListReads(_ *Measurements, _ *missingValues, s Size) (string, string) {
	const entryBytes = 130
	entries := s.Hosts + s.Upstreams
	return fmt.Sprintf("%.0f/s of %.1f MB", s.Hosts, entries*entryBytes/1e6),
		fmt.Sprintf("one read a second and host; about %d bytes for each of %.0f entries", entryBytes, entries)
}
