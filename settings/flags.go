package settings

import (
	"errors"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// envPrefix is the prefix of the environment variables that set flags, such as
// SEAMD_LISTEN_HTTP for -listen-http.
const envPrefix = "SEAMD"

// override is a setting that a flag or an environment variable can override.
type override struct {
	name  string
	usage string
	set   func(*Settings, string)
}

// overrides lists the settings that flags and environment variables can override:
// those that may differ from host to host while the hosts share one settings file.
var overrides = []override{
	{"id", "name of this process; a new one when empty", func(s *Settings, v string) { s.Host.ID = v }},
	{"data-centre", "data centre the host stands in", func(s *Settings, v string) { s.Host.DataCentre = v }},
	{"region", "region the host stands in", func(s *Settings, v string) { s.Host.Region = v }},
	{"listen-http", "callers' address", func(s *Settings, v string) { s.Listen.HTTP = v }},
	{"listen-link", "address for the other hosts", func(s *Settings, v string) { s.Listen.Link = v }},
	{"listen-operator", "operators' address", func(s *Settings, v string) { s.Listen.Operator = v }},
	{"store", "base URLs of the key-value service, comma-separated", func(s *Settings, v string) { s.Platform.Store = strings.Split(v, ",") }},
	{"host-list", "URL of the host list", func(s *Settings, v string) { s.Platform.HostList = v }},
	{"weights", "base URL of the weight store", func(s *Settings, v string) { s.Platform.Weights = v }},
	{"fleet-key-file", "file with the key that hosts share", func(s *Settings, v string) { s.Fleet.KeyFile = v }},
	{"operator-token-file", "file with the operators' token", func(s *Settings, v string) { s.Operator.TokenFile = v }},
	{"log-level", "debug, info, warn or error", func(s *Settings, v string) { s.Log.Level = v }},
}

// Load returns the settings from the command line, the environment and the
// settings file that one of them names. Flags take precedence over the
// environment, and both over the file. If args ask for help, Load prints it to
// errOut and returns flag.ErrHelp.
func Load(args []string, errOut io.Writer) (Settings, error) {
	fs := flag.NewFlagSet("seamd", flag.ContinueOnError)
	fs.SetOutput(errOut)
	path := fs.String("settings", "", "settings file in YAML")
	values := make([]*string, len(overrides))
	for i, o := range overrides {
		values[i] = fs.String(o.name, "", o.usage)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return Settings{}, flag.ErrHelp
		}
		return Settings{}, Error.Wrap(err)
	}
	if fs.NArg() > 0 {
		return Settings{}, Error.New("unexpected argument %q", fs.Arg(0))
	}
	data, err := readFile(*path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data, func(s *Settings) { apply(s, values) })
}

// readFile reads the settings file. Without a path it returns no data, which
// leaves every setting at its default.
func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	return data, Error.Wrap(err)
}

// apply sets every setting whose flag has a non-empty value.
func apply(s *Settings, values []*string) {
	for i, o := range overrides {
		if *values[i] != "" {
			o.set(s, *values[i])
		}
	}
}
