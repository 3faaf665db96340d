package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
)

// The number of engines that hold a shared segment follows the demand for it, and the requests
// of each engine are kept near its share of all requests. Both are decided by arrival rates and
// not by queues, so that a further engine has the segment before requests queue. The figures
// behind the constants are in docs/design/prompt-homes.md.

const (
	// demandTime is the time over which arrival rates are averaged. Segments become hot for a few
	// seconds.
	demandTime = 4 * time.Second
	// holderShare is the share of an engine's mean demand for which one engine holds a segment.
	// Segments of less demand move between engines as a whole.
	holderShare = 0.5
	// releaseShare is the share of the demand that justifies the holders of a segment below
	// which one of them is given up. Without this hysteresis, a demand near a limit would have
	// the segment read again and again.
	releaseShare = 0.6
	// copyTime is the time over which reading a segment at a further engine must pay.
	copyTime = 10 * time.Second
	// idleShare is the share of its read rate that an engine may use before its requests count
	// as more than its share. An engine below it has no queue.
	idleShare = 0.05
	// shareBurst is how many requests beyond its share an engine may get within demandTime. Fewer
	// say nothing about the demand.
	shareBurst = 1.5
	// loadWeight and loadSquareWeight are the penalty, in prompt tokens, for requests beyond an
	// engine's share, as a multiple of it. A small excess is worth less than reading a segment again.
	loadWeight       = 20_000
	loadSquareWeight = 150_000
	// maxSharePenalty bounds that penalty. It is less than fullEnginePenalty, or else requests go
	// to engines without free concurrency while others have some.
	maxSharePenalty = 0.75 * fullEnginePenalty
	// joinShare is what an engine that joins counts as having got, by the mean of the others. With
	// 1, empty engines got four fifths of the mean within their first second.
	joinShare = 1.5
	// leastReading is how many tokens a request counts as for idleShare at least. Requests
	// that read little still slow an engine down while they generate.
	leastReading = 1000
	// speedExponent makes the share of an engine grow less than its read rate. With 1, the
	// fastest engines got twice the mean number of requests.
	speedExponent = 0.1
	// leastWorking is how many working engines there must be for any share. With fewer, requests go
	// to failing engines anyway.
	leastWorking = 0.1
	// maxSegments bounds the segments of a service whose demand is tracked.
	maxSegments = 4096
	// maxHomes bounds the homes of a prompt.
	maxHomes = 8
)

// decayingRate is a rate per second, averaged over about demandTime.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

func (r decayingRate) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(demandTime))
}

func (r *decayingRate) add(now time.Time, amount float64) {
	r.perSecond, r.at = r.rate(now)+amount/demandTime.Seconds(), now
}

// segment is the demand for the parts that requests share, and the engines that hold them.
type segment struct {
	demand  decayingRate  // requests
	wanted  int           // number of engines that the demand justifies
	holders []instance.ID // sorted: there may be as many as engines, and each choice looks up each engine
}

func newSegments() *lru.LRU[uint64, *segment] {
	// NewLRU fails only if the size is not positive, and this one is a constant.
	segments, _ := lru.NewLRU[uint64, *segment](maxSegments, nil)
	return segments
}

// sharedHash returns the hash of all parts but the last; 0 if there are none.
func sharedHash(chain []uint64) uint64 {
	if len(chain) < 2 {
		return 0
	}
	return chain[len(chain)-2]
}

// engineShares is what engines of a service get of its requests.
type engineShares struct {
	mean    float64 // requests per second of an engine, or what it takes without a queue
	reading float64 // tokens that a request has its engine read
	weight  float64 // mean weight of an engine
}

// joinEngines sets what each engine got lately. It counts one that is new or becomes warm as if
// it got more than the mean of the others. Its count decays within demandTime, so that it takes
// over segments gradually.
func joinEngines(now time.Time, engines []candidate, all []instance.Status) {
	sum, n, joining := 0.0, 0.0, false
	for i := range engines {
		e := &engines[i]
		e.got = e.demand.rate(now)
		switch {
		case all[i].Cold:
			e.joined = false
		case e.joined:
			sum += e.got
			n++
		default:
			joining = true
		}
	}
	if !joining {
		return
	}
	for i := range engines {
		if e := &engines[i]; !e.joined && !all[i].Cold {
			e.joined, e.got = true, max(e.got, joinShare*sum/max(n, 1))
			e.demand = decayingRate{e.got, now}
		}
	}
}

// shares returns the shares of the engines that may be chosen. Cold ones, which get what they take, count
// only if there are no others. Ejected engines don't count, and engines that fail calls count in
// part: otherwise the engines that work seem to get more than their share, and requests go to
// those that fail.
func (t *tracker) shares(now time.Time, engines []candidate, all []instance.Status) (s engineShares) {
	n, readRate := 0.0, 0.0
	allCold := !slices.ContainsFunc(all, func(s instance.Status) bool { return !s.Cold })
	for i, e := range engines {
		if all[i].Cold && !allCold {
			continue
		}
		works := 1 - all[i].ErrorRate
		if works *= works; all[i].Ejected {
			works = 0
		}
		n += works
		readRate += works * e.readRate
		s.weight += works * e.shareWeight
		s.mean += e.got
	}
	if n < leastWorking {
		return engineShares{}
	}
	s.weight /= n
	s.reading = t.reading.rate(now) / max(t.demand.rate(now), math.SmallestNonzeroFloat64)
	s.mean = max(s.mean, idleShare*readRate/max(s.reading, leastReading)) / n
	return s
}

// shareWeight returns the weight of the share of the requests of an engine that reads at a rate.
func shareWeight(readRate float64) float64 { return math.Pow(readRate/defaultReadRate, speedExponent) }

// penalty returns the penalty for an engine that gets more than its share.
func (s engineShares) penalty(e candidate) float64 {
	if s.mean == 0 {
		return 0
	}
	share := s.mean * e.shareWeight / s.weight
	excess := max((e.got-shareBurst/demandTime.Seconds())/share-1, 0)
	return min(excess*(loadWeight+loadSquareWeight*excess), maxSharePenalty)
}

// wantedHolders returns how many engines the demand for a segment justifies. Reading the segment at
// one more engine takes the engine as long as a number of requests, which counts over copyTime.
func (s engineShares) wantedHolders(now time.Time, seg *segment, tokens, engines int) int {
	if s.mean == 0 { // few engines work
		return min(max(seg.wanted, 1), engines)
	}
	perHolder := holderShare*s.mean + float64(tokens)/max(s.reading, 1)/copyTime.Seconds()
	justified := seg.demand.rate(now) / perHolder
	wanted := min(max(seg.wanted, int(math.Ceil(justified)), 1), engines)
	for wanted > 1 && justified < releaseShare*float64(wanted) {
		wanted--
	}
	return wanted
}

// holding is how a segment is held while a request for it is placed.
type holding struct {
	wanted int
	// more means that the demand justifies another engine that holds the segment.
	more bool
}

// holdingOf returns how a segment is held, and marks the engines that hold it. An engine that
// was restarted, or has probably evicted the segment, does not hold it.
func (t *tracker) holdingOf(hash uint64, engines []candidate, all []instance.Status, shared int) (h holding) {
	h.wanted = 1
	seg, there := t.segments.Peek(hash)
	if !there || hash == 0 {
		return h
	}
	holders := 0
	for i := range engines {
		if e := &engines[i]; !all[i].Ejected && e.cached >= shared && seg.isHolder(all[i].ID) {
			e.holds = true
			holders++
		}
	}
	h.wanted = max(seg.wanted, 1)
	h.more = holders > 0 && holders < h.wanted
	return h
}

// countDemand counts a request that was placed on an engine, and decides how many engines are to
// hold its shared parts. It returns how many do.
func (t *tracker) countDemand(now time.Time, chosen instance.ID, chain []uint64, parts []call.PromptPart, unread int) (holders int) {
	t.demand.add(now, 1)
	t.reading.add(now, float64(unread))
	t.engines[chosen].demand.add(now, 1)
	hash := sharedHash(chain)
	if hash == 0 || !t.byDemand {
		return 0
	}
	seg, there := t.segments.Get(hash)
	if !there {
		seg = &segment{}
		t.segments.Add(hash, seg)
	}
	seg.demand.add(now, 1)
	seg.holders = slices.DeleteFunc(seg.holders, func(id instance.ID) bool {
		e := t.engines[id]
		return e == nil || !e.cache.parts.Contains(hash)
	})
	seg.hold(chosen)
	seg.wanted = t.current.wantedHolders(now, seg, sharedTokens(parts), max(len(t.engines), 1))
	if n := len(seg.holders) - seg.wanted; n > 0 {
		for _, id := range t.busiestHolders(now, seg, chosen)[:n] {
			seg.giveUp(id)
		}
	}
	return len(seg.holders)
}

func (s *segment) isHolder(id instance.ID) bool {
	_, holds := slices.BinarySearch(s.holders, id)
	return holds
}

func (s *segment) hold(id instance.ID) {
	if i, holds := slices.BinarySearch(s.holders, id); !holds {
		s.holders = slices.Insert(s.holders, i, id)
	}
}

func (s *segment) giveUp(id instance.ID) {
	if i, holds := slices.BinarySearch(s.holders, id); holds {
		s.holders = slices.Delete(s.holders, i, i+1)
	}
}

// busiestHolders returns the holders of a segment, other than the one just chosen. The one that
// gets most requests by its share is first.
func (t *tracker) busiestHolders(now time.Time, seg *segment, chosen instance.ID) []instance.ID {
	others := slices.DeleteFunc(slices.Clone(seg.holders), func(id instance.ID) bool { return id == chosen })
	load := make(map[instance.ID]float64, len(others))
	for _, id := range others {
		e := t.engines[id]
		load[id] = e.demand.rate(now) / e.shareWeight
	}
	slices.SortStableFunc(others, func(a, b instance.ID) int { return cmp.Compare(load[b], load[a]) })
	return others
}

// homeEngines returns the first homes of a prompt, the first of which is homeEngine. Schedulers
// that know nothing of each other's choices choose the same engines for it. There are at most
// maxHomes, since finding them is a large part of the time that a choice takes.
func homeEngines(all []instance.Status, chain []uint64, n int) []instance.ID {
	if n <= 1 || len(chain) < 2 {
		return []instance.ID{homeEngine(all, chain)}
	}
	n = min(n, maxHomes)
	shared := sharedHash(chain)
	homes, ranks := make([]instance.ID, 0, n+1), make([]uint64, 0, n+1) // by descending rank
	for _, s := range all {
		rank := xxh3.HashStringSeed(string(s.ID), shared)
		if s.Ejected || len(ranks) == n && rank <= ranks[n-1] {
			continue
		}
		i, _ := slices.BinarySearchFunc(ranks, rank, func(a, b uint64) int { return cmp.Compare(b, a) })
		homes, ranks = slices.Insert(homes, i, s.ID), slices.Insert(ranks, i, rank)
		homes, ranks = homes[:min(len(homes), n)], ranks[:min(len(ranks), n)]
	}
	return homes
}
