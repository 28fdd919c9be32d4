// Command daisytided is the node that runs beside each upstream.
package main

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/process/settings"
)

// options of the command line. Settings of the file can be given as flags
// too, named by section and key, and win over the file.
type options struct {
	File     string `long:"settings" required:"true" description:"settings file (INI)"`
	Verbose  int    `long:"verbosity" default:"0" description:"log verbosity, 0 to 4"`
	Settings settings.Settings
}

// Exit codes beside 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	startLog(o.Verbose)
	os.Exit(run(o, overrides(os.Args[1:])))
}

// overrides returns the arguments that belong to the settings.
func overrides(args []string) []string {
	var own struct {
		File    string `long:"settings"`
		Verbose int    `long:"verbosity"`
	}
	rest, err := flags.NewParser(&own, flags.IgnoreUnknown).ParseArgs(args)
	if err != nil {
		return args
	}
	return rest
}

func startLog(verbosity int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("v", fmt.Sprint(verbosity))
}

func run(o options, overrides []string) int {
	cfg, faults := settings.Load(o.File, overrides...)
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s\n", o.File, f)
		}
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(cfg, nil)
	if err == nil {
		expvar.Publish("daisytide", n.Metrics())
		err = n.Run(ctx)
	}
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "daisytided:", err)
		return exitFailed
	}
	return 0
}
