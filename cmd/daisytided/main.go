// Command daisytided is the node, which runs beside each upstream.
package main

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/process/operated"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/platform"
)

// options are the flags of the command line that are not settings.
type options struct {
	File    string `long:"settings" required:"true" description:"settings file (INI)"`
	Verbose int    `long:"verbosity" default:"0" description:"log verbosity, 0 to 4"`
}

// help declares the flags that --help lists. They include the settings: each can
// be given as a flag, named by section and key, and then takes precedence over
// the file.
type help struct {
	options
	Settings settings.Settings
}

// Exit codes other than 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

// defaultMemoryLimit is the runtime's soft memory limit in bytes, unless
// GOMEMLIMIT sets another. A node shares its host with an upstream and has 64 MB.
// Near the limit the runtime collects garbage more often; allocations never fail.
const defaultMemoryLimit = 52 << 20

// operatedMemoryTenths is the soft memory limit of an operated node, in tenths of
// its memory-mb setting.
const operatedMemoryTenths = 6

// setMemoryLimit sets the runtime's soft memory limit, unless the environment does.
func setMemoryLimit(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}

func main() {
	args := os.Args[1:]
	if slices.Contains(args, "--help") || slices.Contains(args, "-h") {
		_, _ = flags.NewParser(&help{}, flags.Default).ParseArgs([]string{"--help"})
		return
	}
	var o options
	overrides, err := flags.NewParser(&o, flags.PrintErrors|flags.IgnoreUnknown).ParseArgs(args)
	if err != nil {
		os.Exit(exitUsage)
	}
	log := newLog(o.Verbose)
	setMemoryLimit(defaultMemoryLimit)
	code := run(o, overrides, log)
	log.Close()
	os.Exit(code)
}

// newLog installs a log for the whole process that writes JSON lines to standard
// output.
func newLog(verbosity int) *logs.Log {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("v", fmt.Sprint(verbosity))
	log := logs.New(os.Stdout)
	// klog verbosity n is slog level -n, where 0 is slog.LevelInfo.
	log.Install(slog.Level(-verbosity))
	return log
}

// daemon is a node of either kind: a plain one or one that the platform operates.
type daemon interface {
	Metrics() *expvar.Map
	Run(ctx context.Context) error
	// ApplySettings applies settings that were reloaded.
	ApplySettings(cfg *settings.Settings)
}

// serve runs the node that the settings describe until ctx ends.
func serve(ctx context.Context, o options, overrides []string, cfg *settings.Settings, log *logs.Log) error {
	n, err := newDaemon(cfg, log)
	if err != nil {
		return err
	}
	expvar.Publish("daisytide", n.Metrics())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return log.Run(ctx) })
	g.Go(func() error { return settings.Watch(ctx, o.File, overrides, hangups, n.ApplySettings) })
	g.Go(func() error { return n.Run(ctx) })
	return g.Wait()
}

func newDaemon(cfg *settings.Settings, log *logs.Log) (daemon, error) {
	dialer := h1.Dialer(cfg.Store.Timeout)
	store := &platform.StoreClient{
		Base: cfg.Store.Address, Timeout: cfg.Store.Timeout,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}},
	}
	if !cfg.Operated.Enabled {
		n, err := node.New(cfg, store)
		if err != nil {
			return nil, err
		}
		n.LogRequests(log)
		return n, nil
	}
	setMemoryLimit(int64(cfg.Operated.MemoryMB) << 20 / 10 * operatedMemoryTenths)
	return operated.New(cfg, store, platform.Adapter{}, log)
}

func run(o options, overrides []string, log *logs.Log) int {
	cfg, faults := settings.Load(o.File, overrides...)
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s\n", o.File, f)
		}
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := serve(ctx, o, overrides, cfg, log)
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "daisytided:", err)
		return exitFailed
	}
	return 0
}
