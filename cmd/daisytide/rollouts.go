package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
)

// rolloutsCommand lists moves and gives orders to them.
type rolloutsCommand struct {
	jsonOption
	Follow   bool   `long:"follow" description:"print each change until every move is done or taken back"`
	TakeBack string `long:"take-back" value-name:"SERVICE" description:"take back the move of a service"`
	Pause    string `long:"pause" value-name:"SERVICE" description:"hold the move of a service at its share"`
	Resume   string `long:"resume" value-name:"SERVICE" description:"let a paused move go on"`
	Reason   string `long:"reason" description:"reason of the order, for the audit trail"`
	app      *app
}

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	order, orders := c.order()
	if orders > 1 {
		return usage("give one of --take-back, --pause and --resume")
	}
	node, err := c.app.node.connect()
	if err != nil {
		return err
	}
	ctx, stop := untilInterrupt()
	defer stop()
	var out api.RolloutsResponse
	if orders == 1 {
		out, err = node.SendOrder(ctx, order)
		err = ordered(err)
	} else {
		err = asked(node.Get(ctx, api.PathRollouts, &out))
	}
	if err != nil {
		return c.failed(c.app.stdout, err)
	}
	if c.Follow {
		return c.follow(ctx, node, out)
	}
	if c.JSON {
		return printJSON(c.app.stdout, out)
	}
	return c.print(out)
}

// order builds the order of the flags and counts the orders given.
func (c *rolloutsCommand) order() (api.RolloutOrder, int) {
	var order api.RolloutOrder
	count := 0
	for action, service := range map[api.RolloutAction]string{
		api.RolloutTakeBack: c.TakeBack,
		api.RolloutPause:    c.Pause,
		api.RolloutResume:   c.Resume,
	} {
		if service != "" {
			order = api.RolloutOrder{Service: service, Action: action, Reason: c.Reason}
			count++
		}
	}
	return order, count
}

func (c *rolloutsCommand) print(out api.RolloutsResponse) error {
	t := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tMOVE\tSINCE\tSTATE\tSHARE\tSTEP\tDEADLINE\tEXPECTED END\tWHY")
	for _, r := range out.Rollouts {
		fmt.Fprintf(t, "%s\t%s -> %s\t%d\t%s\t%.4g%%\t%d of %d\t%s\t%s\t%s\n", r.Service, r.From, r.To, r.StartConfig, r.State,
			r.Share, r.Step, r.Steps, clock(r.Deadline), clock(r.ExpectedEnd), r.Reason)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// clock prints an instant; the zero one is not known.
func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

// follow prints what changes until every move has ended.
func (c *rolloutsCommand) follow(ctx context.Context, node *client.Client, out api.RolloutsResponse) error {
	last := map[string]string{}
	for {
		running := 0
		for _, r := range out.Rollouts {
			line := fmt.Sprintf("%s %s -> %s: %s, %.4g%%, %s", r.Service, r.From, r.To, r.State, r.Share, r.Reason)
			if last[r.Service] != line {
				c.changed(r, line)
				last[r.Service] = line
			}
			if r.State != "done" && r.State != "taken-back" {
				running++
			}
		}
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollEvery):
		}
		var next api.RolloutsResponse
		if err := node.Get(ctx, api.PathRollouts, &next); err != nil {
			fmt.Fprintln(c.app.stderr, err)
			continue
		}
		out = next
	}
}

func (c *rolloutsCommand) changed(r api.Rollout, line string) {
	if c.JSON {
		_ = printJSON(c.app.stdout, r)
		return
	}
	fmt.Fprintln(c.app.stdout, time.Now().Format(time.TimeOnly), line)
}
