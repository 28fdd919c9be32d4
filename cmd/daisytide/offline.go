package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/settings"
)

// checkSettingsCommand checks a node's settings file.
type checkSettingsCommand struct {
	jsonOption
	Args fileArgument `positional-args:"true"`
	app  *app
}

// Execute implements flags.Commander.
func (c *checkSettingsCommand) Execute([]string) error {
	if _, faults := settings.Load(c.Args.File); len(faults) > 0 {
		refused := api.Errorf(faults[0].Code, "%s: %d faults", c.Args.File, len(faults))
		refused.Faults = faults
		return c.reportFailure(c.app.stdout, refused)
	}
	if c.JSON {
		return printJSON(c.app.stdout, validOutput{Valid: true})
	}
	fmt.Fprintf(c.app.stdout, "%s: valid\n", c.Args.File)
	return nil
}

// codesCommand prints the table of result codes.
type codesCommand struct {
	jsonOption
	app *app
}

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error {
	if c.JSON {
		return printJSON(c.app.stdout, api.Table)
	}
	fmt.Fprint(c.app.stdout, api.Markdown())
	return nil
}

// versionCommand prints the program's version.
type versionCommand struct {
	jsonOption
	app *app
}

// versionOutput is the JSON output of versionCommand.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	out := versionOutput{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				out.Revision = s.Value
			}
		}
	}
	if c.JSON {
		return printJSON(c.app.stdout, out)
	}
	fmt.Fprintf(c.app.stdout, "daisytide %s (%s, %s)\n", out.Version, out.Go, out.Platform)
	return nil
}
