package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/internal/standin/demo"
	"github.com/daisytide/daisytide/internal/standin/quiet"
)

// demoStartLimit bounds what the demo takes beyond its seconds of load.
const demoStartLimit = 60 * time.Second

// demoCommand runs the whole path in one process.
type demoCommand struct {
	Hosts   int    `long:"hosts" default:"12" description:"number of hosts"`
	Seconds int    `long:"seconds" default:"20" description:"seconds of load"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the load and the faults"`
	JSON    bool   `long:"json" description:"print the closing table as one JSON object"`
	Verbose bool   `long:"verbose" description:"print the nodes' logs"`
}

func addDemo(p *flags.Parser) {
	_, err := p.AddCommand("demo", "run the whole path on loopback",
		"Runs a stand-in store, nodes, upstreams and a load in this process: one good rollout and one bad one.", &demoCommand{})
	must(err)
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if !c.Verbose {
		quiet.DiscardLogs()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoStartLimit+time.Duration(c.Seconds)*time.Second)
	defer cancel()
	report, err := demo.Run(ctx, demo.Options{Hosts: c.Hosts, Seconds: c.Seconds, Seed: c.Seed, Out: os.Stdout})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.BrokenInvariants) > 0 {
		return fmt.Errorf("invariants broken: %v", report.BrokenInvariants)
	}
	return nil
}

// print writes the closing table, last.
func (c *demoCommand) print(report demo.Report) error {
	if !c.JSON {
		return report.Print(os.Stdout)
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	return nil
}
