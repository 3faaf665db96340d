// Command runtests runs all tests of a module under the race detector, except for
// exactly the tests that its list of known faults names, and prints these before
// and after. It exits with 1 if a test fails, if the list is malformed or if the
// list names a test that does not exist.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// listName is the list of known faults, in the root of the module.
const listName = "KNOWN-RED.txt"

// testTimeout limits the tests of one package, as go test takes it.
const testTimeout = "15m"

func main() {
	if err := run(".", os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run tests the module whose root is dir.
func run(dir string, stdout, stderr io.Writer) error {
	text, err := os.ReadFile(filepath.Join(dir, listName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read the list of known faults: %w", err)
	}
	entries, err := parse(listName, string(text))
	if err != nil {
		return err
	}
	module, err := goOutput(dir, stderr, "list", "-m")
	if err != nil {
		return err
	}
	packages, err := goOutput(dir, stderr, "list", "./...")
	if err != nil {
		return err
	}
	skip, err := resolve(entries, strings.Join(module, ""), packages)
	if err != nil {
		return err
	}
	if err := checkExist(dir, stderr, skip); err != nil {
		return err
	}
	if err := printPassedOver(stdout, entries); err != nil {
		return err
	}
	var failed []error
	for _, args := range commands(packages, skip) {
		cmd := goCommand(dir, stderr, args...)
		cmd.Stdout = stdout
		if err := cmd.Run(); err != nil {
			failed = append(failed, fmt.Errorf("go %s: %w", args[0], err))
		}
	}
	return errors.Join(append(failed, printPassedOver(stdout, entries))...)
}

// resolve returns the entries for tests by import path. An error names each entry
// whose package does not exist and each test that is listed twice.
func resolve(entries []entry, module string, packages []string) (map[string][]entry, error) {
	skip := map[string][]entry{}
	var wrong []error
	for _, e := range entries {
		if e.test == "" {
			continue
		}
		importPath := e.pkg
		if !slices.Contains(packages, importPath) {
			importPath = path.Join(module, e.pkg)
		}
		if !slices.Contains(packages, importPath) {
			wrong = append(wrong, fmt.Errorf("%s:%d: package %q does not exist", listName, e.line, e.pkg))
			continue
		}
		for _, other := range skip[importPath] {
			if other.test == e.test {
				wrong = append(wrong, fmt.Errorf("%s:%d: test %q is listed in line %d already", listName, e.line, e.name(), other.line))
			}
		}
		skip[importPath] = append(skip[importPath], e)
	}
	return skip, errors.Join(wrong...)
}

// checkExist returns an error that names each test in skip that its package lacks.
func checkExist(dir string, stderr io.Writer, skip map[string][]entry) error {
	var wrong []error
	for importPath, entries := range skip {
		tests, err := goOutput(dir, stderr, "test", "-race", "-list", ".", importPath)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if !slices.Contains(tests, e.test) {
				wrong = append(wrong, fmt.Errorf("%s:%d: test %q does not exist in package %q", listName, e.line, e.test, importPath))
			}
		}
	}
	return errors.Join(wrong...)
}

// commands returns the arguments of the calls of go that test all packages without
// the tests in skip. A package with a test in skip has a call of its own, so that a
// test of the same name in another package runs.
func commands(packages []string, skip map[string][]entry) [][]string {
	base := []string{"test", "-race", "-count=1", "-timeout", testTimeout}
	var whole []string
	var calls [][]string
	for _, importPath := range packages {
		if len(skip[importPath]) == 0 {
			whole = append(whole, importPath)
			continue
		}
		var names []string
		for _, e := range skip[importPath] {
			names = append(names, regexp.QuoteMeta(e.test))
		}
		pattern := "^(" + strings.Join(names, "|") + ")$"
		calls = append(calls, append(slices.Clone(base), "-skip", pattern, importPath))
	}
	if len(whole) == 0 {
		return calls
	}
	return slices.Insert(calls, 0, append(base, whole...))
}

// printPassedOver prints the tests that are passed over.
func printPassedOver(w io.Writer, entries []entry) error {
	var lines strings.Builder
	count := 0
	for _, e := range entries {
		if e.test != "" {
			count++
			lines.WriteString(e.name() + " | " + e.issue + "\n")
		}
	}
	_, err := fmt.Fprintf(w, "== tests passed over as listed in %s: %d\n%s", listName, count, &lines)
	return err
}

func goCommand(dir string, stderr io.Writer, args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stderr = dir, stderr
	return cmd
}

// goOutput returns the lines that go writes to its standard output.
func goOutput(dir string, stderr io.Writer, args ...string) ([]string, error) {
	out, err := goCommand(dir, stderr, args...).Output()
	if err != nil {
		return nil, fmt.Errorf("go %s: %w\n%s", strings.Join(args, " "), err, bytes.TrimSpace(out))
	}
	return strings.Fields(string(out)), nil
}
