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

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// table is rows for people.
type table struct {
	head []string
	rows [][]string
}

// print writes value as JSON, or its table.
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

// view makes a command without arguments that prints one view.
func (t *tool) view(name, help string, exec func(ctx context.Context) error) *ffcli.Command {
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
	return t.view("hosts", "List the hosts as one of them sees the fleet.", func(ctx context.Context) error {
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
	return t.view("upstreams", "List the upstreams as one host sees them.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		ups, err := c.Upstreams(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"UPSTREAM", "POOL", "DATA CENTRE", "STATE", "IN FLIGHT", "QUEUED", "LOAD AGE", "MODELS"}}
		for _, u := range ups {
			tab.rows = append(tab.rows, []string{
				u.ID, u.Pool, u.DataCentre, u.State, strconv.Itoa(u.InFlight), strconv.Itoa(u.Queued), u.LoadAge.String(), strings.Join(u.Models, ","),
			})
		}
		return t.print(ups, tab)
	})
}

func (t *tool) pipelinesCommand() *ffcli.Command {
	return t.view("pipelines", "List the pipelines in force.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		lines, err := c.Pipelines(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"PIPELINE", "CLASS", "DEADLINE", "STAGES", "CHAT MODEL", "WORKSPACES"}}
		for _, p := range lines {
			workspaces := strings.Join(p.Workspaces, ",")
			if workspaces == "" {
				workspaces = "all"
			}
			tab.rows = append(tab.rows, []string{p.Name, p.Class, p.Deadline, strings.Join(p.Stages, ">"), p.ChatModel, workspaces})
		}
		return t.print(lines, tab)
	})
}

func (t *tool) workspacesCommand() *ffcli.Command {
	return t.view("workspaces", "List the workspaces in force.", func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		list, err := c.Workspaces(ctx)
		if err != nil {
			return err
		}
		tab := table{head: []string{"WORKSPACE", "SHARE", "LARGE", "LIMITS"}}
		for _, w := range list {
			share := strconv.FormatFloat(w.Share, 'g', -1, 64)
			tab.rows = append(tab.rows, []string{w.Name, share, strconv.FormatBool(w.Large), strconv.Itoa(w.Limits)})
		}
		return t.print(list, tab)
	})
}

// raw prints one view as JSON whatever the format, since its shape follows the
// policy.
func (t *tool) raw(ctx context.Context, path string) error {
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
	return t.view("costs", "Show the cost by stage of the host since its start, as JSON.", func(ctx context.Context) error {
		return t.raw(ctx, "/v1/costs")
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
			return t.raw(ctx, "/v1/explain/"+args[0])
		},
	}
}

func (t *tool) drainCommand() *ffcli.Command {
	return t.view("drain", "Start the graceful shutdown of the host that -host names.", func(ctx context.Context) error {
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
	return t.view("version", "Print the client's version.", func(context.Context) error {
		_, err := fmt.Fprintln(t.out, version.String())
		return err
	})
}
