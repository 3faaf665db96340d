package sleep

import (
	"context"
	"time"
)

const (
	// countdownSteps is in how many steps a countdown is timed.
	countdownSteps = 4
	// minPause is the shortest lateness of a step that is taken for a pause of this
	// process.
	minPause = 20 * time.Millisecond
)

// Countdown counts down time in which this process runs. A step that ends late by more
// than its length does not count: the process was paused in it, and what others sent may
// still wait to be read. The zero value is over.
type Countdown struct {
	step  time.Duration
	end   time.Time // of the present step
	steps int       // left, including the present one
}

// NewCountdown starts a countdown. The caller calls Next when the countdown's Wait has
// passed.
func NewCountdown(d time.Duration, now time.Time) Countdown {
	step := d / countdownSteps
	return Countdown{step: step, end: now.Add(step), steps: countdownSteps}
}

// Wait returns how long the present step lasts.
func (c *Countdown) Wait(now time.Time) time.Duration { return max(c.end.Sub(now), 0) }

// Next starts the next step if the present one has ended. It returns true if the
// countdown is over.
func (c *Countdown) Next(now time.Time) (over bool) {
	late := now.Sub(c.end)
	if late < 0 || c.steps == 0 {
		return c.steps == 0
	}
	if late <= max(c.step, minPause) {
		c.steps--
	}
	c.end = now.Add(c.step)
	return c.steps == 0
}

// ForRunning waits until a countdown of d is over. It returns the error of ctx if ctx
// ends first.
func ForRunning(ctx context.Context, d time.Duration) error {
	for c := NewCountdown(d, time.Now()); !c.Next(time.Now()); {
		if err := For(ctx, c.Wait(time.Now())); err != nil {
			return err
		}
	}
	return ctx.Err()
}
