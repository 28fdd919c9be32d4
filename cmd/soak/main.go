// Command soak injects random faults into a fleet of real node processes on
// loopback and checks the guarantees to callers and upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/internal/soak"
)

// options are the flags of the command line.
type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   uint64        `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Hosts   int           `long:"hosts" default:"6" description:"node processes, 3 at least"`
	For     time.Duration `long:"for" default:"20s" description:"how long faults are injected, each seed"`
	Mix     string        `long:"mix" default:"all" choice:"all" choice:"changes" description:"faults to draw: all alike, or every other one a series of changes or a store that serves few"`
	Keep    string        `long:"keep" description:"directory for settings and logs; default is a new temporary one"`
	Verbose bool          `long:"verbose" description:"print each fault"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	violated, err := run(o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	case violated:
		os.Exit(1)
	}
}

// run runs all seeds and reports whether a guarantee was violated.
func run(o options) (violated bool, err error) {
	if o.Hosts < 3 {
		return false, fmt.Errorf("%d hosts given: at least 3 are needed, one per service", o.Hosts)
	}
	dir := o.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "daisytide-soak-"); err != nil {
			return false, err
		}
	}
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return false, err
	}
	binary := filepath.Join(dir, "daisytided")
	if out, err := exec.Command("go", "build", "-o", binary, "./cmd/daisytided").CombinedOutput(); err != nil {
		return false, fmt.Errorf("build cmd/daisytided: %w: %s", err, out)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(seedDir, 0o700); err != nil {
			return false, err
		}
		violations, err := soak.Run(ctx, soak.Options{Seed: seed, Hosts: o.Hosts, FaultDuration: o.For, Changes: o.Mix == "changes", Dir: seedDir, Binary: binary, Template: string(template), Logf: func(format string, args ...any) {
			if o.Verbose {
				fmt.Printf(time.Now().Format("15:04:05.000 ")+format+"\n", args...)
			}
		}})
		if err != nil {
			return false, err
		}
		if len(violations) == 0 {
			fmt.Printf("seed %d: no guarantee violated\n", seed)
			_ = os.RemoveAll(seedDir)
			continue
		}
		violated = true
		for _, v := range violations {
			fmt.Printf("seed %d: %s\n", seed, v)
		}
		fmt.Printf("to repeat: go run ./cmd/soak --seed %d --hosts %d --for %v --mix %s --verbose; logs in %s\n", seed, o.Hosts, o.For, o.Mix, seedDir)
	}
	return violated, nil
}
