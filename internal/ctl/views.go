package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaseam/galenaseam/internal/version"
)

// The output formats of the flag -o.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// table is the human-readable form of an answer.
type table struct {
	head []string
	rows [][]string
}

// print writes value as JSON or tab as a table, depending on -o.
func (t *tool) print(value any, tab table) error {
	if t.format == formatJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	const padding = 2 // spaces between columns
	w := tabwriter.NewWriter(t.out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(tab.head, "\t"))
	for _, row := range tab.rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// viewCommand returns a command that takes no arguments.
func (t *tool) viewCommand(name, help string, exec func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "seamctl " + name,
		ShortHelp:  help,
		LongHelp:   help + "\n\nExamples:\n  seamctl " + name + "\n  seamctl -o json " + name,
		FlagSet:    t.flags(name),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return exec(ctx)
		},
	}
}

func (t *tool) hostsCommand() *ffcli.Command {
	return t.viewCommand("hosts", "List the hosts as one of them sees the fleet.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		hosts, err := c.Hosts(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"HOST", "DATA CENTRE", "REGION", "STATE", "GENERATION", "HTTP", "LINK"}}
		for _, h := range hosts {
			tab.rows = append(tab.rows, []string{h.ID, h.DataCentre, h.Region, h.State, strconv.FormatUint(h.Generation, 10), h.HTTP, h.Link})
		}
		return t.print(hosts, tab)
	})
}

func (t *tool) upstreamsCommand() *ffcli.Command {
	return t.viewCommand("upstreams", "List the upstreams as one host sees them.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		upstreams, err := c.Upstreams(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"UPSTREAM", "POOL", "DATA CENTRE", "STATE", "IN FLIGHT", "QUEUED", "LOAD AGE", "MODELS"}}
		for _, u := range upstreams {
			tab.rows = append(tab.rows, []string{
				u.ID, u.Pool, u.DataCentre, u.State, strconv.Itoa(u.InFlight), strconv.Itoa(u.Queued), u.LoadAge.String(), strings.Join(u.Models, ","),
			})
		}
		return t.print(upstreams, tab)
	})
}

func (t *tool) pipelinesCommand() *ffcli.Command {
	return t.viewCommand("pipelines", "List the pipelines in force.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		pipelines, err := c.Pipelines(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"PIPELINE", "CLASS", "DEADLINE", "STAGES", "CHAT MODEL", "WORKSPACES"}}
		for _, p := range pipelines {
			workspaces := strings.Join(p.Workspaces, ",")
			if workspaces == "" {
				workspaces = "all"
			}
			tab.rows = append(tab.rows, []string{p.Name, p.Class, p.Deadline, strings.Join(p.Stages, ">"), p.ChatModel, workspaces})
		}
		return t.print(pipelines, tab)
	})
}

func (t *tool) workspacesCommand() *ffcli.Command {
	return t.viewCommand("workspaces", "List the workspaces in force.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		workspaces, err := c.Workspaces(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"WORKSPACE", "SHARE", "LARGE", "LIMITS"}}
		for _, w := range workspaces {
			share := strconv.FormatFloat(w.Share, 'g', -1, 64)
			tab.rows = append(tab.rows, []string{w.Name, share, strconv.FormatBool(w.Large), strconv.Itoa(w.Limits)})
		}
		return t.print(workspaces, tab)
	})
}

// printJSONView prints a view as JSON whatever -o says: its structure is
// defined by the policy package, so there is no table for it.
func (t *tool) printJSONView(ctx context.Context, path string) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	var answer json.RawMessage
	if err := c.Get(ctx, path, &answer); err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.out, string(answer))
	return err
}

func (t *tool) costsCommand() *ffcli.Command {
	return t.viewCommand("costs", "Show the cost by stage of the host since its start, as JSON.", func(ctx context.Context) error {
		return t.printJSONView(ctx, "/v1/costs")
	})
}

func (t *tool) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "seamctl explain <request-id>",
		ShortHelp:  "Show why a request went where it went, or was refused, as JSON.",
		LongHelp: "Ask the host that took the request; it remembers the newest ones.\n\n" +
			"Examples:\n  seamctl -host http://10.0.0.1:9090 explain 6f0d9c1e-…",
		FlagSet: t.flags("explain"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("%w: give one request ID", errUsage)
			}
			return t.printJSONView(ctx, "/v1/explain/"+args[0])
		},
	}
}

func (t *tool) drainCommand() *ffcli.Command {
	return t.viewCommand("drain", "Start the graceful shutdown of the host that -host names.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		status, err := c.Drain(ctx)
		if err != nil {
			return err
		}
		return t.print(status, table{head: []string{"HOST", "DRAINING"}, rows: [][]string{{status.ID, strconv.FormatBool(status.Draining)}}})
	})
}

func (t *tool) versionCommand() *ffcli.Command {
	return t.viewCommand("version", "Print the client's version.", func(context.Context) error {
		_, err := fmt.Fprintln(t.out, version.String())
		return err
	})
}
