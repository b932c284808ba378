// Package buildinfo identifies the build of the running program.
package buildinfo

import "runtime/debug"

// Version is set by the linker for releases.
var Version = "development"

// String returns the version, followed by the VCS revision if the build recorded
// one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Version + " (" + setting.Value + ")"
		}
	}
	return Version
}
