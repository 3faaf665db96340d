// Package version tells which build of the system this is.
package version

import "runtime/debug"

// Unknown is the version of a build that carries no module version.
const Unknown = "devel"

// String returns the module version of the build.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return Unknown
	}
	return info.Main.Version
}
