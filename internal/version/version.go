// Package version reports the version of the running build.
package version

import "runtime/debug"

// Unknown is the version reported for a build without a module version.
const Unknown = "devel"

// String returns the module version of the build, or Unknown.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return Unknown
	}
	return info.Main.Version
}
