package staging

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// peers answer calls between hosts; the first calls fail as told.
type peers struct {
	fail  []error
	cut   bool // after the first failure no new connection is answered
	asked []netip.AddrPort
}

func (p *peers) Call(ctx context.Context, peer netip.AddrPort, _ link.Method, in, out any) error {
	if _, isGroup := in.(Group); !isGroup {
		if p.cut {
			<-ctx.Done()
			return ctx.Err()
		}
		return link.ErrUnknownMethod
	}
	p.asked = append(p.asked, peer)
	if len(p.asked) <= len(p.fail) {
		return p.fail[len(p.asked)-1]
	}
	pieces := in.(Group).Pieces
	*out.(*gathered) = gathered{Results: make([]call.PieceResult, pieces)}
	return nil
}

// gatherOnce has a group gathered whose first calls fail.
func gatherOnce(t *testing.T, cut bool, fail ...error) (p *peers, owners *ownership.Table, err error) {
	var fleet hosttest.Fleet
	for i := range 12 {
		info := host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))}
		fleet = append(fleet, host.Member{Info: info})
	}
	p = &peers{fail: fail, cut: cut}
	owners = ownership.New(fleet, time.Now())
	service := "pieces"
	for i := 0; ; i++ {
		if _, own := owners.Owner(service, time.Now()); !own {
			break
		}
		service = fmt.Sprint("pieces", i)
	}
	r := &Runner{
		config: RunnerConfig{Owners: owners, Caller: p, Logger: slog.New(slog.DiscardHandler)},
		waits:  make(map[string]wait),
	}
	_, err = r.gather(t.Context(), Group{Service: service, RequestID: "r", Pieces: 2, Remaining: time.Second, Aim: time.Second})
	return p, owners, err
}

// TestBrokenConnectionKeepsTheGatherer breaks the connection under a call. The
// gatherer lives: another one beside it would run calls against its own.
func TestBrokenConnectionKeepsTheGatherer(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	p, _, err := gatherOnce(t, false, broken)
	require.NoError(t, err)
	require.Len(t, p.asked, 2)
	require.Equal(t, p.asked[0], p.asked[1])
}

// TestGathererThatCannotBeReachedIsReplaced fails to connect to the gatherer,
// as after its process was killed.
func TestGathererThatCannotBeReachedIsReplaced(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	refused := errs.Combine(link.ErrNotSent, errors.New("connection refused"))
	p, _, err := gatherOnce(t, false, broken, refused)
	require.NoError(t, err)
	require.Len(t, p.asked, 3)
	require.NotEqual(t, p.asked[1], p.asked[2])
}

// TestGathererBehindACutIsReplacedAtOnce breaks the connection by a cut, after
// which a new connection would hang.
func TestGathererBehindACutIsReplacedAtOnce(t *testing.T) {
	broken := errs.Combine(link.ErrBroken, errors.New("connection reset by peer"))
	begun := time.Now()
	p, _, err := gatherOnce(t, true, broken)
	require.NoError(t, err)
	require.Len(t, p.asked, 2)
	require.NotEqual(t, p.asked[0], p.asked[1])
	require.Less(t, time.Since(begun), time.Second)
}
