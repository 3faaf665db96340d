package staging

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/routing"
)

const (
	// busyShare is the share of the servers' capacity that the arriving pieces must take
	// for a batch to wait to be filled. Below it there is time for small batches, and
	// waiting only adds to the duration.
	busyShare = 0.45
	// maxFillWait is how long a group waits for its batch to be filled. On 15 servers
	// whose pace jumps, at 70% of their capacity, 30 ms shortened the mean duration by 5%;
	// longer waits gained nothing.
	maxFillWait = 30 * time.Millisecond
	// fasterShare is the share of the duration at the free server within which another
	// one must finish the batch for the batch to wait for it. At 0.75, times grew because
	// paces change in the meantime.
	fasterShare = 0.5
)

// busyServer is a server that runs a call.
type busyServer struct {
	slowness float64
	freeIn   time.Duration
}

// batchChoice is what it depends on whether a free server takes the queued pieces now, or
// they wait to fill a batch or for a faster server.
type batchChoice struct {
	spec   *routing.StageServer
	pieces int           // queued pieces that may run at the server
	oldest time.Duration // how long the oldest of their groups has been queued
	// slack is the least time that a group can wait and still be in time.
	slack time.Duration
	// slowness is that of the free server, the fastest one.
	slowness float64
	busy     []busyServer
	// arrivals is how many pieces arrive per second. speed is the number of calls that run
	// at once, each weighted by the speed of its server.
	arrivals float64
	speed    float64
}

// starts reports whether the server takes the pieces now. wait is how long the decision
// holds if it does not and nothing changes.
func (c batchChoice) starts() (now bool, wait time.Duration) {
	if c.pieces >= c.spec.BatchSize {
		return true, 0
	}
	if c.pieces < c.neededBatch() && c.oldest < maxFillWait && c.slack > maxFillWait {
		return false, maxFillWait - c.oldest
	}
	if wait, is := c.fasterServer(); is {
		return false, wait
	}
	return true, 0
}

// neededBatch returns the size that batches must have for the servers to keep up with the
// arriving pieces: the fixed duration of a call is shared by its pieces. It is 1 while the
// servers have time for small batches.
func (c batchChoice) neededBatch() int {
	full := float64(c.spec.BatchSize)
	if c.arrivals*c.spec.FullBatchTime().Seconds() < busyShare*c.speed*full {
		return 1
	}
	perPiece := c.speed/c.arrivals - c.spec.PieceTime.Seconds()
	if perPiece <= 0 {
		return c.spec.BatchSize
	}
	return int(min(math.Ceil(c.spec.CallTime.Seconds()/perPiece), full))
}

// fasterServer reports whether a server that runs a call would finish the pieces clearly
// sooner than the free one, and when that server is free.
func (c batchChoice) fasterServer() (freeIn time.Duration, is bool) {
	usual := float64(callTime(c.spec, c.pieces))
	limit := time.Duration(fasterShare * c.slowness * usual)
	for _, b := range c.busy {
		if end := b.freeIn + time.Duration(b.slowness*usual); end < limit {
			limit, freeIn, is = end, b.freeIn, true
		}
	}
	return freeIn, is
}
