package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaseam/galenaseam/internal/explain"
)

// whereHelp is the text that seamctl where -h prints.
const whereHelp = `Show where a request or a stage piece would go now and why, without sending it.

-host is the address that serves the host's metrics. Candidates are in order of preference.

Examples:
  seamctl -host http://10.0.0.1:9464 where -route-host shop.example -path /talk/ -parts contract:13300,own:3700 -output-tokens 120
  seamctl -host http://10.0.0.1:9464 where -route-host shop.example -path /talk/ -pieces 1,0,16
  seamctl -host http://10.0.0.1:9464 where -service pieces -pieces 12`

func (t *tool) whereCommand() *ffcli.Command {
	flags := t.flags("where")
	params := map[string]*string{
		explain.ParamHost:         flags.String("route-host", "", "host name of the request"),
		explain.ParamPath:         flags.String("path", "", "target path of the request"),
		explain.ParamPromptTokens: flags.String("prompt-tokens", "", "length of the prompt; by default that of its parts"),
		explain.ParamOutputTokens: flags.String("output-tokens", "", "expected length of the output"),
		explain.ParamParts:        flags.String("parts", "", "parts of the prompt: ID:TOKENS,ID:TOKENS,…"),
		explain.ParamVersion:      flags.String("version", "", "software version of a stream that is taken up"),
		explain.ParamService:      flags.String("service", "", "stage service, instead of a request"),
		explain.ParamPieces:       flags.String("pieces", "", "number of pieces for the stage service, 1 by default; for a request the numbers of all stages: N,N,…"),
	}
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "seamctl where -route-host <name> -path <path> [flags] | -service <name> [-pieces <n>]",
		ShortHelp:  "Show where a request or a stage piece would go now and why.",
		LongHelp:   whereHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			query := make(url.Values)
			for name, value := range params {
				if *value != "" {
					query.Set(name, *value)
				}
			}
			if _, err := explain.Parse(query); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			var report explain.Report
			if err := c.Get(ctx, "/explain?"+query.Encode(), &report); err != nil {
				return err
			}
			return t.printReport(report)
		},
	}
}

// printReport prints a report as JSON, or as a list of facts and two tables for each service.
func (t *tool) printReport(report explain.Report) error {
	if t.format == formatJSON {
		return t.print(report, table{})
	}
	if report.Route != "" {
		_, _ = fmt.Fprintf(t.out, "route %s, rank %d\n", report.Route, report.Rank)
	}
	if report.Refused != "" {
		_, _ = fmt.Fprintln(t.out, "refused by every host: "+report.Refused)
	}
	if len(report.Stages) > 0 {
		if err := t.print(report, stageTable(report.Stages)); err != nil {
			return err
		}
	}
	for _, s := range report.Services {
		if err := t.printService(s); err != nil {
			return err
		}
	}
	return nil
}

// stageTable has a row for each stage of a route.
func stageTable(stages []explain.Stage) table {
	list := func(stages []int, otherwise string) string {
		if len(stages) == 0 {
			return otherwise
		}
		return "stages " + strings.Trim(fmt.Sprint(stages), "[]")
	}
	tab := table{head: []string{"STAGE", "SERVICE", "PIECES", "GIVEN", "READ BY"}}
	for i, s := range stages {
		pieces := "-"
		if s.Pieces != nil {
			pieces = strconv.Itoa(*s.Pieces)
		}
		tab.rows = append(tab.rows, []string{strconv.Itoa(i), s.Service, pieces, list(s.Reads, "key"), list(s.ReadBy, "request")})
	}
	return tab
}

func (t *tool) printService(s explain.Service) error {
	facts := []string{"service " + s.Service, s.Kind}
	if s.Weight > 0 {
		facts = append(facts, "weight "+strconv.Itoa(s.Weight))
	}
	if s.Owner != "" {
		facts = append(facts, "owner "+s.Owner)
	}
	facts = append(facts, "answered by "+s.AnsweredBy)
	for _, f := range s.Figures {
		facts = append(facts, strings.ReplaceAll(f.Name, "_", " ")+" "+formatFigure(f.Value))
	}
	_, _ = fmt.Fprintln(t.out, "\n"+strings.Join(facts, ", "))
	if s.Note != "" {
		_, _ = fmt.Fprintln(t.out, s.Note)
	}
	if len(s.Candidates) == 0 {
		_, _ = fmt.Fprintln(t.out, "no candidates")
	} else if err := t.print(s, candidateTable(s.Candidates)); err != nil {
		return err
	}
	if len(s.Excluded) == 0 {
		return nil
	}
	excluded := table{head: []string{"EXCLUDED", "DATA CENTRE", "REASON", "FOR MS"}}
	for _, e := range s.Excluded {
		excluded.rows = append(excluded.rows, []string{e.Upstream, e.DataCentre, e.Reason, strconv.FormatInt(e.ForMs, 10)})
	}
	return t.print(s, excluded)
}

// candidateTable has a column for each figure of any candidate.
func candidateTable(candidates []explain.Candidate) table {
	tab := table{head: []string{"UPSTREAM", "DATA CENTRE", "VERSION"}}
	columns := make(map[string]int)
	for _, c := range candidates {
		for _, f := range c.Figures {
			if columns[f.Name] == 0 {
				columns[f.Name] = len(tab.head)
				tab.head = append(tab.head, strings.ToUpper(strings.ReplaceAll(f.Name, "_", " ")))
			}
		}
	}
	for _, c := range candidates {
		row := make([]string, len(tab.head))
		row[0], row[1], row[2] = c.Upstream, c.DataCentre, c.Version
		for _, f := range c.Figures {
			row[columns[f.Name]] = formatFigure(f.Value)
		}
		tab.rows = append(tab.rows, row)
	}
	return tab
}

func formatFigure(value float64) string {
	const significant = 6
	return strconv.FormatFloat(value, 'g', significant, 64)
}
