package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
)

// pollInterval is how often a waiting command polls the node.
const pollInterval = time.Second

// hostsCommand lists the hosts.
type hostsCommand struct {
	jsonOption
	app *app
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	var out api.HostsResponse
	if err := getFromNode(c.app, api.PathHosts, &out); err != nil {
		return c.reportFailure(c.app.stdout, err)
	}
	if c.JSON {
		return printJSON(c.app.stdout, out)
	}
	t := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tDATA CENTRE\tSTATE\tCONFIGURATION\tUPSTREAM\tSLOTS\t")
	for _, h := range out.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", h.Address, h.DataCentre, h.State, configOf(h), upstreamOf(h), h.Slots, h.Error)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if len(out.Evacuated) > 0 {
		fmt.Fprintf(c.app.stdout, "evacuated: %s\n", strings.Join(out.Evacuated, ", "))
	}
	have, all := countInForce(out, out.Number)
	fmt.Fprintf(c.app.stdout, "configuration %d is in force on %d of %d hosts\n", out.Number, have, all)
	return nil
}

func configOf(h api.Host) string {
	if h.Error != "" {
		return "?"
	}
	return strconv.FormatUint(h.Number, 10)
}

func upstreamOf(h api.Host) string {
	if h.Service == "" {
		return "-"
	}
	return h.Service + " " + h.Version + " " + h.Upstream
}

// countInForce counts the hosts that have configuration number, or a later one, in
// force.
func countInForce(out api.HostsResponse, number uint64) (have, all int) {
	for _, h := range out.Hosts {
		if h.Error == "" && h.Number >= number {
			have++
		}
	}
	return have, len(out.Hosts)
}

// awaitInForce waits until the configuration is in force on all hosts, of which
// there must be at least minHosts, and prints the progress. When ctx ends first, it
// returns an error of unknown outcome: the document is accepted, but may not be in
// force everywhere.
func awaitInForce(ctx context.Context, node *client.Client, number uint64, minHosts int, progress io.Writer) error {
	last := [2]int{-1, 0}
	for {
		var out api.HostsResponse
		err := node.Get(ctx, api.PathHosts, &out)
		have, all := countInForce(out, number)
		if line := [2]int{have, all}; err == nil && line != last {
			fmt.Fprintf(progress, "configuration %d is in force on %d of %d hosts\n", number, have, all)
			last = line
		}
		if err == nil && all >= minHosts && have == all {
			return nil
		}
		select {
		case <-ctx.Done():
			return unknownOutcome(api.Errorf(api.OperatorUnknown, "configuration %d is accepted, and was seen in force on %d of %d hosts", number, max(last[0], 0), last[1]))
		case <-time.After(pollInterval):
		}
	}
}
