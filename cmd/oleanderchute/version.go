package main

import "runtime/debug"

// VersionCmd prints the version of the program.
type VersionCmd struct{}

// Help returns the detailed help of the command.
func (VersionCmd) Help() string { return "Example: oleanderchute version" }

// Run prints the version.
func (VersionCmd) Run(a *app) error {
	v := programVersion()
	return a.print(map[string]string{"version": v}, func() { a.printLinef("oleanderchute %s", v) })
}

// programVersion returns the module version, or the VCS revision if the program was built
// from a checkout.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value
		}
	}
	return v
}
