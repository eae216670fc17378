// Package buildinfo returns the name and version of the program.
package buildinfo

import "runtime/debug"

// Name is the name of the program.
const Name = "laburnumrack"

// unknownVersion is the version if the build recorded none.
const unknownVersion = "devel"

// Version returns the commit that the binary was built from, or else the module version, or
// else "devel".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return unknownVersion
}
