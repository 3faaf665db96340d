package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/operator/client"
)

// configCommand returns "seamctl config" with its subcommands, which read and
// change the operators' document.
func (t *tool) configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: "seamctl config <check|get|diff|apply|history|rollback|wait|create|restore>",
		ShortHelp:  "Read, check and change the operators' document.",
		FlagSet:    t.flags("config"),
		Subcommands: []*ffcli.Command{
			t.checkCommand(), t.getCommand(), t.diffCommand(), t.applyCommand(),
			t.historyCommand(), t.rollbackCommand(), t.waitCommand(), t.createCommand(), t.restoreCommand(),
		},
		Exec: requireSubcommand,
	}
}

func (t *tool) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "seamctl config check <file>",
		ShortHelp:  "Check a whole document without a host.",
		LongHelp:   "Reports everything that is wrong, with line and column.\n\nExamples:\n  seamctl config check all.yaml",
		FlagSet:    t.flags("check"),
		Exec: func(_ context.Context, args []string) error {
			text, err := t.readFileArg(args)
			if err != nil {
				return err
			}
			doc, err := document.ParseNew(text)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(t.out, "ok: %d pipelines, %d services, %d workspaces\n", len(doc.Pipelines), len(doc.Services), len(doc.Workspaces))
			return err
		},
	}
}

func (t *tool) getCommand() *ffcli.Command {
	return t.configViewCommand("get", "Print the document in force as YAML.", func(ctx context.Context, c *client.Client) error {
		current, err := c.Config(ctx)
		if err != nil {
			return err
		}
		if t.format == formatJSON {
			return t.print(current, table{})
		}
		_, err = io.WriteString(t.out, current.Text)
		return err
	})
}

// configViewCommand returns a config subcommand that takes no arguments.
func (t *tool) configViewCommand(name, help string, exec func(context.Context, *client.Client) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "seamctl config " + name,
		ShortHelp:  help,
		LongHelp:   help + "\n\nExamples:\n  seamctl config " + name,
		FlagSet:    t.flags(name),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			return exec(ctx, c)
		},
	}
}

func (t *tool) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "seamctl config diff <file>",
		ShortHelp:  "Show how a file differs from the document in force.",
		LongHelp:   "Exits with 6 when there are differences.\n\nExamples:\n  seamctl config diff all.yaml",
		FlagSet:    t.flags("diff"),
		Exec: func(ctx context.Context, args []string) error {
			text, err := t.readFileArg(args)
			if err != nil {
				return err
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			current, err := c.Config(ctx)
			if err != nil {
				return err
			}
			return t.printDiff(current, string(text))
		},
	}
}

// printDiff writes a unified diff from the document in force to text. It
// returns errDifferent if there is any difference.
func (t *tool) printDiff(current operator.ConfigText, text string) error {
	const contextLines = 3
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(current.Text),
		B:        difflib.SplitLines(text),
		FromFile: fmt.Sprintf("generation %d", current.Generation),
		ToFile:   "file",
		Context:  contextLines,
	})
	if err != nil {
		return err
	}
	if diff == "" {
		return nil
	}
	if _, err := io.WriteString(t.out, diff); err != nil {
		return err
	}
	return errDifferent
}

// applyFlags holds the flags of config apply.
type applyFlags struct {
	reason    string
	operation string
	base      uint64
	sections  string
}

func (t *tool) applyCommand() *ffcli.Command {
	var flags applyFlags
	fs := t.flags("apply")
	fs.StringVar(&flags.reason, "reason", "", "why, for the history (required)")
	fs.StringVar(&flags.operation, "operation", "", "operation ID, to repeat a call whose answer was lost; made when empty")
	fs.Uint64Var(&flags.base, "base", 0, "generation the file was made from; the one in force when 0")
	fs.StringVar(&flags.sections, "sections", "", "comma-separated sections to change; those that differ when empty")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "seamctl config apply -reason <why> [-sections a,b] <file>",
		ShortHelp:  "Ask the fleet to accept changed sections.",
		LongHelp: "Sends the sections of the file that differ from the document in force. The\n" +
			"whole new document is checked before it is accepted. Another team's change to\n" +
			"other sections does not disturb; one to the same section is a conflict.\n\n" +
			"Examples:\n  seamctl config apply -reason 'new depot' all.yaml\n" +
			"  seamctl config apply -reason prices -sections prices prices.yaml",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			return t.apply(ctx, flags, args)
		},
	}
}

// apply sends the changed sections of a file to the host.
func (t *tool) apply(ctx context.Context, flags applyFlags, args []string) error {
	if strings.TrimSpace(flags.reason) == "" {
		return fmt.Errorf("%w: give -reason", errUsage)
	}
	text, err := t.readFileArg(args)
	if err != nil {
		return err
	}
	c, err := t.client()
	if err != nil {
		return err
	}
	edit, err := t.buildApplyRequest(ctx, c, flags, text)
	if err != nil {
		return err
	}
	if len(edit.Sections) == 0 {
		_, err := fmt.Fprintf(t.out, "nothing to change in generation %d\n", edit.Base)
		return err
	}
	answer, err := c.Apply(ctx, edit)
	if errors.Is(err, client.ErrUnreachable) {
		return fmt.Errorf("%w; ask again with -operation %s", err, edit.OperationID)
	}
	if err != nil {
		return err
	}
	return t.printAccepted(answer)
}

// printAccepted prints the generation that an accepted change became.
func (t *tool) printAccepted(answer operator.ApplyResponse) error {
	return t.print(answer, table{
		head: []string{"GENERATION", "REPEATED"},
		rows: [][]string{{strconv.FormatUint(answer.Generation, 10), strconv.FormatBool(answer.Repeated)}},
	})
}

// buildApplyRequest builds the request to send: with -sections the named
// sections of text, otherwise those that differ from the document in force.
func (t *tool) buildApplyRequest(ctx context.Context, c *client.Client, flags applyFlags, text []byte) (operator.ApplyRequest, error) {
	current, err := c.Config(ctx)
	if err != nil {
		return operator.ApplyRequest{}, err
	}
	wanted, err := document.Split(text)
	if err != nil {
		return operator.ApplyRequest{}, err
	}
	have, err := document.Split([]byte(current.Text))
	if err != nil {
		return operator.ApplyRequest{}, err
	}
	edit := operator.ApplyRequest{OperationID: operationID(flags.operation), Base: flags.base, Reason: flags.reason}
	if edit.Base == 0 {
		edit.Base = current.Generation
	}
	named := strings.FieldsFunc(flags.sections, func(r rune) bool { return r == ',' })
	for _, body := range wanted {
		chosen := slices.Contains(named, string(body.Section))
		if len(named) == 0 {
			chosen = string(have.Get(body.Section)) != string(body.Text)
		}
		if chosen {
			edit.Sections = append(edit.Sections, operator.SectionBody{Name: string(body.Section), Body: string(body.Text)})
		}
	}
	return edit, nil
}

func (t *tool) createCommand() *ffcli.Command {
	fs := t.flags("create")
	reason := fs.String("reason", "", "why, for the history (required)")
	operation := fs.String("operation", "", "operation ID, to repeat a call whose answer was lost; made when empty")
	return &ffcli.Command{
		Name:       "create",
		ShortUsage: "seamctl config create -reason <why> <file>",
		ShortHelp:  "Put the first document into an empty store.",
		LongHelp: "Refused when the store or any host has a document.\n\n" +
			"Examples:\n  seamctl config create -reason first all.yaml",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *reason == "" {
				return fmt.Errorf("%w: give -reason", errUsage)
			}
			text, err := t.readFileArg(args)
			if err != nil {
				return err
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			request := operator.CreateRequest{OperationID: operationID(*operation), Text: string(text), Reason: *reason}
			answer, err := c.Create(ctx, request)
			if err != nil {
				return err
			}
			return t.printAccepted(answer)
		},
	}
}

func (t *tool) restoreCommand() *ffcli.Command {
	return t.configViewCommand("restore", "Put what the host serves back into a store that has fallen behind.",
		func(ctx context.Context, c *client.Client) error {
			answer, err := c.Restore(ctx)
			if err != nil {
				return err
			}
			return t.printAccepted(answer)
		})
}

// operationID returns the given ID, or a new one if it is empty.
func operationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

func (t *tool) historyCommand() *ffcli.Command {
	fs := t.flags("history")
	const defaultCount = 20
	n := fs.Int("n", defaultCount, "how many generations")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "seamctl config history [-n 20]",
		ShortHelp:  "List accepted generations, newest first.",
		LongHelp:   "Examples:\n  seamctl config history -n 5",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			rows, err := c.History(ctx, *n)
			if err != nil {
				return err
			}
			tab := table{head: []string{"GENERATION", "TIME", "TEAM", "SECTIONS", "REASON"}}
			for _, r := range rows {
				tab.rows = append(tab.rows, []string{
					strconv.FormatUint(r.Generation, 10), r.Time.UTC().Format(time.RFC3339), r.Team, strings.Join(r.Sections, ","), r.Reason,
				})
			}
			return t.print(rows, tab)
		},
	}
}

func (t *tool) rollbackCommand() *ffcli.Command {
	fs := t.flags("rollback")
	reason := fs.String("reason", "", "why, for the history (required)")
	operation := fs.String("operation", "", "operation ID, to repeat a call whose answer was lost; made when empty")
	return &ffcli.Command{
		Name:       "rollback",
		ShortUsage: "seamctl config rollback -reason <why> <generation>",
		ShortHelp:  "Accept an earlier generation's sections as a new generation.",
		LongHelp:   "Examples:\n  seamctl config rollback -reason 'prices were wrong' 41",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *reason == "" {
				return fmt.Errorf("%w: give -reason and one generation", errUsage)
			}
			generation, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%w: %q is not a generation", errUsage, args[0])
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			request := operator.RollbackRequest{OperationID: operationID(*operation), Generation: generation, Reason: *reason}
			answer, err := c.Rollback(ctx, request)
			if err != nil {
				return err
			}
			return t.printAccepted(answer)
		},
	}
}

// readFileArg reads the file that the only argument names, or standard input for
// "-".
func (t *tool) readFileArg(args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("%w: give one file, or - for standard input", errUsage)
	}
	if args[0] == "-" {
		return io.ReadAll(t.in)
	}
	return os.ReadFile(args[0])
}
