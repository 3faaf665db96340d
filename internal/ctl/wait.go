package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaseam/galenaseam/operator"
)

// pollInterval is the interval at which config wait polls the host.
const pollInterval = 200 * time.Millisecond

// defaultWait is the default of config wait's flag -for.
const defaultWait = 30 * time.Second

func (t *tool) waitCommand() *ffcli.Command {
	fs := t.flags("wait")
	timeout := fs.Duration("for", defaultWait, "how long to wait")
	return &ffcli.Command{
		Name:       "wait",
		ShortUsage: "seamctl config wait [-for 30s] [generation]",
		ShortHelp:  "Wait until every live host has a generation in force.",
		LongHelp: "Without a generation it waits for the one the host has now. Exits with 5 and\n" +
			"lists the hosts that are behind when time runs out.\n\n" +
			"Examples:\n  seamctl config wait 42\n  seamctl config wait -for 6s",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			return t.wait(ctx, args, *timeout)
		},
	}
}

// wait polls one host until every live host has the generation in force, or
// until the timeout has passed.
func (t *tool) wait(ctx context.Context, args []string, timeout time.Duration) error {
	if len(args) > 1 {
		return fmt.Errorf("%w: give at most one generation", errUsage)
	}
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	wanted := status.Generation
	if len(args) == 1 {
		if wanted, err = strconv.ParseUint(args[0], 10, 64); err != nil {
			return fmt.Errorf("%w: %q is not a generation", errUsage, args[0])
		}
	}
	for {
		hosts, err := c.Hosts(ctx)
		if err == nil && len(hostsBehind(hosts, wanted)) == 0 {
			return t.printHosts(hosts, wanted)
		}
		select {
		case <-ctx.Done():
			_ = t.printHosts(hosts, wanted)
			return errTimeout
		case <-time.After(pollInterval):
		}
	}
}

// hostsBehind returns the hosts not known to be dead whose generation is below
// wanted.
func hostsBehind(hosts []operator.HostRow, wanted uint64) []operator.HostRow {
	var behind []operator.HostRow
	for _, h := range hosts {
		if h.State != "dead" && h.Generation < wanted {
			behind = append(behind, h)
		}
	}
	return behind
}

// printHosts prints each host and whether it has the wanted generation in force.
func (t *tool) printHosts(hosts []operator.HostRow, wanted uint64) error {
	tab := table{head: []string{"HOST", "DATA CENTRE", "GENERATION", "IN FORCE"}}
	for _, h := range hosts {
		generation := strconv.FormatUint(h.Generation, 10)
		tab.rows = append(tab.rows, []string{h.ID, h.DataCentre, generation, strconv.FormatBool(h.Generation >= wanted)})
	}
	return t.print(hosts, tab)
}
