package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodList = `# Comment.

test edge.TestA | go test ./edge -run TestA, seed 3 | it hung,
  twice | issue 11
manual drill "crash" | seed 8 | 4 of 24 | issue 11, 20
`

func TestListIsParsed(t *testing.T) {
	entries, err := parse("list", goodList)
	require.NoError(t, err)
	require.Equal(t, []entry{
		{line: 3, pkg: "edge", test: "TestA", issue: "issue 11"},
		{line: 5, issue: "issue 11, 20"},
	}, entries)
}

func TestPackageIsAFolderOrAnImportPath(t *testing.T) {
	packages := []string{"example.com/m", "example.com/m/edge", "example.com/m/a.b"}
	for name, want := range map[string]string{
		"edge.TestA":               "example.com/m/edge",
		"a.b.FuzzA":                "example.com/m/a.b",
		"..TestA":                  "example.com/m",
		"example.com/m.TestA":      "example.com/m",
		"example.com/m/edge.TestA": "example.com/m/edge",
	} {
		entries, err := parse("list", "test "+name+" | c | s | issue 1")
		require.NoError(t, err, name)
		skip, err := resolve(entries, packages[0], packages)
		require.NoError(t, err, name)
		require.Len(t, skip[want], 1, name)
	}
}

func TestMalformedEntryIsNamed(t *testing.T) {
	for line, want := range map[string]string{
		"test edge.TestA | c | issue 1":                   "3 fields",
		"test edge.TestA | c | s | t | issue 1":           "5 fields",
		"test edge.TestA | c |  | issue 1":                "field 3 is empty",
		"test edge.TestA | c | s | soon":                  `"soon" names no issue`,
		"edge.TestA | c | s | issue 1":                    `"edge.TestA" has no name`,
		"flaky edge.TestA | c | s | issue 1":              `kind "flaky"`,
		"test TestA | c | s | issue 1":                    `"TestA" is not a top-level test`,
		"test edge.TestA/sub | c | s | issue 1":           `"edge.TestA/sub" is not a top-level test`,
		"test edge.BenchmarkA | c | s | issue 1":          `"edge.BenchmarkA" is not a top-level test`,
		"test edge.TestA edge.TestB | c | s | issue 1":    "is not a top-level test",
		"  test edge.TestA | c | s | issue 1":             "belongs to no entry",
		"# comment\n  test edge.TestA | c | s | issue 1":  "belongs to no entry",
		"test edge.TestA | c | s | issue 1\n  and more":   "names no issue",
		"test edge.TestA | c | s\nmanual x | issue 1 | t": "3 fields",
	} {
		_, err := parse("list", "\n"+line)
		require.ErrorContains(t, err, want, line)
		require.Regexp(t, `^list:[23]: `, err.Error(), line)
	}
}

func TestEachMalformedEntryIsNamed(t *testing.T) {
	_, err := parse("list", "one\n\ntwo\n")
	require.ErrorContains(t, err, "list:1: ")
	require.ErrorContains(t, err, "list:3: ")
}

func TestDuplicateAndUnknownPackageAreNamed(t *testing.T) {
	entries, err := parse("list", "test a.TestX | c | s | issue 1\ntest m/a.TestX | c | s | issue 1\ntest b.TestX | c | s | issue 1")
	require.NoError(t, err)
	_, err = resolve(entries, "m", []string{"m/a"})
	require.ErrorContains(t, err, `KNOWN-RED.txt:2: test "m/a.TestX" is listed in line 1 already`)
	require.ErrorContains(t, err, `KNOWN-RED.txt:3: package "b" does not exist`)
}

func TestOnlyTheNamedTestsAreSkipped(t *testing.T) {
	packages := []string{"m/a", "m/b", "m/c"}
	base := []string{"test", "-race", "-count=1", "-timeout", "15m"}
	require.Equal(t, [][]string{append(base, "m/a", "m/b", "m/c")}, commands(packages, nil))
	skip := map[string][]entry{"m/b": {{test: "TestX"}, {test: "TestY"}}}
	require.Equal(t, [][]string{
		append(base, "m/a", "m/c"),
		append(base, "-skip", "^(TestX|TestY)$", "m/b"),
	}, commands(packages, skip))
}

// writeModule writes a module with packages a and b, each with the tests TestRed,
// which fails, and TestRedToo, which passes.
func writeModule(t *testing.T, list string) string {
	dir := t.TempDir()
	files := map[string]string{"go.mod": "module example.com/m\n\ngo 1.26\n", listName: list}
	for _, pkg := range []string{"a", "b"} {
		files[pkg+"/x_test.go"] = "package " + pkg + "\n\nimport \"testing\"\n\n" +
			"func TestRed(t *testing.T) { t.Fatal(\"red in " + pkg + "\") }\n" +
			"func TestRedToo(t *testing.T) { t.Log(\"ran\") }\n"
	}
	for name, text := range files {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644))
	}
	return dir
}

func TestListedTestIsPassedOverAndPrinted(t *testing.T) {
	dir := writeModule(t, "test a.TestRed | c | s | issue 1\ntest b.TestRed | c | s | issue 2\n")
	var out bytes.Buffer
	require.NoError(t, run(dir, &out, &out), &out)
	const printed = "== tests passed over as listed in KNOWN-RED.txt: 2\na.TestRed | issue 1\nb.TestRed | issue 2\n"
	require.True(t, strings.HasPrefix(out.String(), printed), &out)
	require.True(t, strings.HasSuffix(out.String(), printed), &out)
	require.Equal(t, 2, strings.Count(out.String(), "\nok "), "TestRedToo is not skipped: %s", &out)
	require.NotContains(t, out.String(), "no tests to run")
}

func TestSameNameInAnotherPackageIsNotPassedOver(t *testing.T) {
	dir := writeModule(t, "test a.TestRed | c | s | issue 1\nmanual b.TestRed | c | s | issue 1\n")
	var out bytes.Buffer
	require.Error(t, run(dir, &out, &out))
	require.Contains(t, out.String(), "red in b")
	require.NotContains(t, out.String(), "red in a")
}

func TestUnknownTestFails(t *testing.T) {
	dir := writeModule(t, "test a.TestRe | c | s | issue 1\n")
	var out bytes.Buffer
	err := run(dir, &out, &out)
	require.ErrorContains(t, err, `KNOWN-RED.txt:1: test "TestRe" does not exist in package "example.com/m/a"`)
	require.Empty(t, out.String(), "no test runs")
}

func TestMalformedListFails(t *testing.T) {
	var out bytes.Buffer
	require.ErrorContains(t, run(writeModule(t, "a.TestRed\n"), &out, &out), "KNOWN-RED.txt:1: ")
	require.Empty(t, out.String(), "no test runs")
}
