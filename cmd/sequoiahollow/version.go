package main

import "runtime/debug"

// versionCommand prints the version that the Go toolchain recorded.
type versionCommand struct{}

type versionReport struct {
	Version   string `json:"version"`
	Revision  string `json:"revision,omitempty"`
	GoVersion string `json:"goVersion"`
}

// Run implements the command.
func (versionCommand) Run(e *environment) error {
	report := versionReport{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		report.Version, report.GoVersion = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				report.Revision = setting.Value
			}
		}
	}
	return e.print(report, func() {
		e.printf("sequoiahollow %s %s %s\n", report.Version, report.Revision, report.GoVersion)
	})
}
