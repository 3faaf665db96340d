package capacity

import "fmt"

// row is one line of the page: what a role needs of one resource.
type row struct {
	role      string
	resource  string
	mechanism string
	// work returns the amount at the target size, as text, and how it follows
	// from the figures.
	work func(f *Figures, m *missing, s Size) (amount, basis string)
	// largest is the largest size measured.
	largest string
}

// rows is every line, by role.
func rows() []row {
	var all []row
	for _, part := range [][]row{callerRows(), policyRows(), fleetRows(), documentRows(), storeRows()} {
		all = append(all, part...)
	}
	return all
}

func callerRows() []row {
	const role = "entry host: requests"
	return []row{
		{role, "processor", "frontend, request, attempt over net/http", pipelineCore, "1 host, callers and stand-ins on the same cores"},
		{role, "processor for tokens", "one event read and one written for each token", tokenCore, "1,010 tokens in a stream"},
		{role, "memory, idle", "one process, Go", idleMemory, "10 hosts in one process"},
	}
}

func pipelineCore(f *Figures, m *missing, s Size) (string, string) {
	const cores = 10
	perSecond := f.get(m, "PipelineThroughput", "requests/s")
	if perSecond == 0 {
		return "", ""
	}
	perNode := s.RequestsPerS / s.Nodes
	share := perNode / (perSecond / cores) * 100
	return fmt.Sprintf("%.1f%% of a core", share),
		fmt.Sprintf("%.0f requests/s on %d cores, callers and stand-ins included; %.0f requests/s a node", perSecond, cores, perNode)
}

func tokenCore(f *Figures, m *missing, s Size) (string, string) {
	const more = 1000 // tokens by which the two streams differ
	long := f.get(m, "Stream/tokens=1010", "ns/op")
	short := f.get(m, "Stream/tokens=10", "ns/op")
	perToken := (long - short) / more
	perNode := s.TokensPerS / s.Nodes
	return fmt.Sprintf("%.1f%% of a core", core(2*perToken, perNode)),
		fmt.Sprintf("%.1f µs a token read, the sending server's part included, and as much again to write it on; %.0f tokens/s a node", perToken/1e3, perNode)
}

func idleMemory(f *Figures, m *missing, _ Size) (string, string) {
	each := f.get(m, "IdleHostMemory", "MB/host")
	return fmt.Sprintf("%.1f MB", each), "slope from 2 to 10 hosts in one process; the Go runtime and binary come on top once"
}

func policyRows() []row {
	const role = "entry host: policy"
	return []row{
		{role, "processor, decisions", "policy: a few upstreams drawn from the host's subset", decisionCore, "6,600 upstreams in one pool"},
		{role, "processor, observation", "policy: pools read every 100 ms", observeCore, "6,600 upstreams in one pool"},
		{role, "processor, limits", "limit: token buckets by shares", limitCore, "1 limit; fleets of 12 in tests"},
		{role, "processor, upstream states", "upstream: settled every 100 ms", settleCore, "6,600 upstreams"},
	}
}

func decisionCore(f *Figures, m *missing, s Size) (string, string) {
	each := f.get(m, "Decision/upstreams=100", "ns/op")
	rate := s.RequestsPerS / s.Nodes * s.StagesPerCall
	return fmt.Sprintf("%.2f%% of a core", core(each, rate)),
		fmt.Sprintf("%.1f µs a decision among 100 upstreams (a host tracks %.0f of a pool); %.0f decisions/s a node", each/1e3, s.TrackedPerPool, rate)
}

func observeCore(f *Figures, m *missing, s Size) (string, string) {
	const perSecond = 10
	each := f.get(m, "Observe/upstreams=100", "ns/op")
	return fmt.Sprintf("%.2f%% of a core", core(each, perSecond*s.Pools)),
		fmt.Sprintf("%.1f µs for 100 upstreams, %d times a second, %.0f pools", each/1e3, perSecond, s.Pools)
}

func limitCore(f *Figures, m *missing, s Size) (string, string) {
	each := f.get(m, "Take", "ns/op")
	rate := s.RequestsPerS / s.Nodes
	return fmt.Sprintf("%.3f%% of a core", core(each, rate)), fmt.Sprintf("%.0f ns a request; %.0f requests/s a node", each, rate)
}

func settleCore(f *Figures, m *missing, _ Size) (string, string) {
	const perSecond = 10
	each := f.get(m, "Settle", "ns/op")
	return fmt.Sprintf("%.2f%% of a core", core(each, perSecond)), fmt.Sprintf("%.0f µs for all upstreams, %d times a second", each/1e3, perSecond)
}

func fleetRows() []row {
	const role = "entry host: membership"
	const largest = "2,300 hosts on a fake network; 36 with real datagrams"
	return []row{
		{role, "messages", "member: probes inside a data centre, delegates between", memberBytes, largest},
		{role, "processor", "member: decisions, codec and fake network", memberCore, largest},
		{role, "memory", "member: one record for each host", memberMemory, largest},
	}
}

func memberBytes(f *Figures, m *missing, _ Size) (string, string) {
	mean := f.get(m, "Fleet/hosts=2300", "B/s-mean")
	most := f.get(m, "Fleet/hosts=2300", "B/s-max")
	return fmt.Sprintf("%.0f B/s, a delegate %.0f B/s", mean, most), "measured at the size itself; sent and received, headers included"
}

func memberCore(f *Figures, m *missing, _ Size) (string, string) {
	fake := f.get(m, "Fleet/hosts=2300", "core%/host")
	real36 := f.get(m, "RealHosts/hosts=36", "core%/host")
	return fmt.Sprintf("%.2f%% of a core", fake+real36),
		fmt.Sprintf("%.3f%% at 2,300 on the fake network, and the %.3f%% that real datagrams took at 36 hosts", fake, real36)
}

func memberMemory(f *Figures, m *missing, _ Size) (string, string) {
	const kilobytesPerMB = 1000
	return fmt.Sprintf("%.2f MB", f.get(m, "Fleet/hosts=2300", "kB/host")/kilobytesPerMB), "measured at the size itself"
}

func documentRows() []row {
	const role = "entry host: configuration"
	return []row{
		{role, "memory", "config: the newest generation whole", documentMemory, "50,000 workspaces"},
		{role, "processor", "document: unchanged sections are not read again", documentCore, "50,000 workspaces"},
		{role, "time to in force", "config: watchers in each data centre, datagrams, bodies from peers", inForce, "384 hosts in 14 data centres in one process"},
	}
}

func documentMemory(f *Figures, m *missing, _ Size) (string, string) {
	return fmt.Sprintf("%.1f MB", f.get(m, "Following50000Workspaces", "MB-held")), "one generation with 50,000 workspaces, texts and index"
}

func documentCore(f *Figures, m *missing, s Size) (string, string) {
	change := f.get(m, "Following50000Workspaces", "ns/op")
	rate := s.ChangesPerDay / secondsPerDay
	return fmt.Sprintf("%.2f%% of a core", core(change, rate)),
		fmt.Sprintf("%.0f ms if every change touched the section of workspaces; %.3f changes/s", change/1e6, rate)
}

func inForce(f *Figures, m *missing, _ Size) (string, string) {
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
		{role, "waiting watches", "config: three hosts of each data centre watch one key", watches, "384 hosts in 14 data centres"},
		{"platform's host list", "reads", "upstream and member: every host reads the whole list", hostListReads, "12 hosts"},
	}
}

func claimWrites(_ *Figures, _ *missing, s Size) (string, string) {
	return fmt.Sprintf("at most %.0f/s", s.ClaimShards/s.ClaimWindowS),
		fmt.Sprintf("%.0f shards, one write each in %.0f ms, whatever the number of hosts", s.ClaimShards, s.ClaimWindowS*1000)
}

func claimsPerWrite(_ *Figures, _ *missing, s Size) (string, string) {
	claims := s.RequestsPerS * s.OnceShare
	return fmt.Sprintf("%.0f entries", 2*claims/(s.ClaimShards/s.ClaimWindowS)),
		fmt.Sprintf("assumed: %.0f%% of requests may run only once, so %.0f claims/s, each with an outcome", s.OnceShare*100, claims)
}

func configReads(f *Figures, m *missing, _ Size) (string, string) {
	small := f.get(m, "InForce/hosts=12", "store-reads/s")
	large := f.get(m, "InForce/hosts=384", "store-reads/s")
	return fmt.Sprintf("%.1f/s at 384 hosts", large), fmt.Sprintf("%.1f/s at 12 hosts in 4 data centres, with a change each few seconds", small)
}

func watches(_ *Figures, _ *missing, s Size) (string, string) {
	return fmt.Sprintf("%.0f", s.DataCentres*s.WatchersPerSite), "grows with data centres, not with hosts"
}

func hostListReads(_ *Figures, _ *missing, s Size) (string, string) {
	const entryBytes = 130
	listed := s.Nodes + s.Servers
	return fmt.Sprintf("%.0f/s of %.1f MB", s.Nodes, listed*entryBytes/1e6),
		fmt.Sprintf("one read a second and host; about %d bytes for each of %.0f entries", entryBytes, listed)
}
