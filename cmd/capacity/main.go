// Command capacity measures the resources that a node uses at several fleet sizes
// and prints the tables of docs/CAPACITY.md. scripts/capacity builds and runs it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/internal/standin/capacity"
)

// options are the flags of the command line.
type options struct {
	Binary     string   `long:"binary" required:"true" description:"daisytided to start"`
	Sizes      []int    `long:"size" description:"numbers of processes (default: 10, 50, 100, 150, 200)"`
	Benchmarks bool     `long:"benchmarks" description:"run the benchmarks in one process too"`
	Packages   []string `long:"package" description:"packages with the benchmarks"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if len(o.Sizes) == 0 {
		o.Sizes = []int{10, 50, 100, 150, 200}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := capacity.Run(ctx, capacity.Options{
		Binary: o.Binary, Sizes: o.Sizes, Benchmarks: o.Benchmarks, Packages: o.Packages,
		Progress: os.Stderr, Tables: os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
