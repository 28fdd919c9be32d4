package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
)

// explainCommand prints a request's way from the logs of several processes.
type explainCommand struct {
	jsonOption
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"true"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
	app *app
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []logs.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return c.failed(c.app.stdout, api.Errorf(api.SettingsNoFile, "%w", err))
		}
		found, err := logs.Read(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
		_ = f.Close()
		if err != nil {
			return c.failed(c.app.stdout, api.Errorf(api.SettingsSyntax, "%s: %w", name, err))
		}
		lines = append(lines, found...)
	}
	steps := logs.Explain(lines, c.Args.Request)
	if len(steps) == 0 {
		return c.failed(c.app.stdout, api.Errorf(api.PeerNotKnown, "no line tells of request %q; plain successes are not logged", c.Args.Request))
	}
	if c.JSON {
		return printJSON(c.app.stdout, steps)
	}
	for _, s := range steps {
		fmt.Fprintf(c.app.stdout, "%s %s %s%s\n", s.At.Format("15:04:05.000"), s.Process, s.Message, fields(s.Fields))
		for _, b := range s.NodeState {
			fmt.Fprintf(c.app.stdout, "    since %s: %s%s\n", b.At.Format("15:04:05.000"), b.Message, fields(b.Fields))
		}
	}
	return nil
}

// fields prints a line's fields in a fixed order.
func fields(f map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(f)) {
		fmt.Fprintf(&b, " %s=%v", k, plain(f[k]))
	}
	return b.String()
}

// plain writes numbers without an exponent, as moments in milliseconds are.
func plain(v any) any {
	if n, ok := v.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return v
}
