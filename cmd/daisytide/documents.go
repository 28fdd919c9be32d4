package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/validate"
)

// fileArgument is the file argument of a command; "-" means the standard input.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"true" description:"file to read; - for the standard input"`
}

// read returns the contents of the file, at most one byte more than the largest
// document, so that validation still detects a larger one.
func (f fileArgument) read(stdin io.Reader) ([]byte, error) {
	in := stdin
	if f.File != "-" {
		opened, err := os.Open(f.File)
		if err != nil {
			return nil, usageError(err.Error())
		}
		defer opened.Close()
		in = opened
	}
	text, err := io.ReadAll(io.LimitReader(in, document.MaxBytes+1))
	if err != nil {
		return nil, usageError(err.Error())
	}
	return text, nil
}

// validateCommand checks a document.
type validateCommand struct {
	jsonOption
	Args fileArgument `positional-args:"true"`
	app  *app
}

// validOutput is the JSON output for a valid document or settings file.
type validOutput struct {
	Valid bool `json:"valid"`
	// Number is the configuration that the document was checked against, or 0 if
	// it was checked by itself.
	Number uint64 `json:"number"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	text, err := c.Args.read(c.app.stdin)
	if err != nil {
		return err
	}
	if _, faults := validate.Text(text, nil, validate.RolloutStatus{}); len(faults) > 0 {
		return c.reportFailure(c.app.stdout, validate.NewError(faults))
	}
	out := validOutput{Valid: true}
	node, err := c.app.nodeOptions.withDefaults()
	if err != nil {
		return err
	}
	if node.Node != "" {
		if out.Number, err = c.validateOnNode(text); err != nil {
			return c.reportFailure(c.app.stdout, err)
		}
	}
	if c.JSON {
		return printJSON(c.app.stdout, out)
	}
	if out.Number > 0 {
		fmt.Fprintf(c.app.stdout, "%s: valid against configuration %d\n", c.Args.File, out.Number)
		return nil
	}
	fmt.Fprintf(c.app.stdout, "%s: valid\n", c.Args.File)
	return nil
}

// validateOnNode validates a document on the node, against the configuration in
// force, and returns that configuration's number.
func (c *validateCommand) validateOnNode(text []byte) (uint64, error) {
	node, err := c.app.nodeOptions.newClient()
	if err != nil {
		return 0, err
	}
	ctx, stop := interruptContext()
	defer stop()
	number, err := node.Validate(ctx, text)
	return number, queryError(err)
}

// applyCommand puts a document in force.
type applyCommand struct {
	jsonOption
	Base      uint64        `long:"base" description:"configuration number that the document was written against (default: the one in force)"`
	Wait      bool          `long:"wait" description:"wait until the document is in force on every host"`
	Hosts     int           `long:"hosts" default:"1" description:"number of hosts that --wait must see at least"`
	WaitLimit time.Duration `long:"wait-limit" default:"1m" description:"longest wait of --wait"`
	Args      fileArgument  `positional-args:"true"`
	app       *app
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	text, err := c.Args.read(c.app.stdin)
	if err != nil {
		return err
	}
	if _, faults := validate.Text(text, nil, validate.RolloutStatus{}); len(faults) > 0 {
		return c.reportFailure(c.app.stdout, validate.NewError(faults))
	}
	node, err := c.app.nodeOptions.newClient()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	base, err := c.base(ctx, node)
	if err != nil {
		return c.reportFailure(c.app.stdout, queryError(err))
	}
	out := node.ApplyOnce(ctx, text, base)
	if c.JSON {
		if err := printJSON(c.app.stdout, out); err != nil {
			return err
		}
	}
	switch {
	case out.Outcome == api.ApplyUnknown:
		return unknownOutcome(out.Error)
	case out.Outcome == api.ApplyConflict:
		c.printConflict(ctx, node, text)
		return out.Error
	case out.Outcome != api.ApplyAccepted:
		return out.Error
	}
	c.printAccepted(out)
	if !c.Wait {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.WaitLimit)
	defer cancel()
	return awaitInForce(waitCtx, node, out.Number, c.Hosts, c.app.stderr)
}

// base returns the configuration number that the document is based on.
func (c *applyCommand) base(ctx context.Context, node *client.Client) (uint64, error) {
	if c.Base != 0 {
		return c.Base, nil
	}
	var status api.StatusResponse
	if err := node.Get(ctx, api.PathStatus, &status); err != nil {
		return 0, err
	}
	if status.Number == 0 {
		return api.BaseNone, nil
	}
	return status.Number, nil
}

// printConflict prints how the refused document differs from the one that another
// operator has put in force.
func (c *applyCommand) printConflict(ctx context.Context, node *client.Client, text []byte) {
	var cfg api.ConfigResponse
	if err := node.Get(ctx, api.PathConfig, &cfg); err != nil {
		return
	}
	mine, faults := document.Decode(text)
	theirs, more := document.Decode([]byte(cfg.Document))
	if len(faults)+len(more) > 0 {
		return
	}
	fmt.Fprintf(c.app.stderr, "against configuration %d by %s your document would change:\n", cfg.Number, cfg.Operator)
	for _, line := range document.Diff(theirs, mine) {
		fmt.Fprintln(c.app.stderr, "  "+line)
	}
}

func (c *applyCommand) printAccepted(out api.ApplyResponse) {
	if c.JSON {
		return
	}
	fmt.Fprintf(c.app.stdout, "accepted as configuration %d\n", out.Number)
	for _, line := range out.Changes {
		fmt.Fprintln(c.app.stdout, "  "+line)
	}
}

// getCommand prints the document in force.
type getCommand struct {
	jsonOption
	app *app
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	var cfg api.ConfigResponse
	if err := getFromNode(c.app, api.PathConfig, &cfg); err != nil {
		return c.reportFailure(c.app.stdout, err)
	}
	if c.JSON {
		return printJSON(c.app.stdout, cfg)
	}
	fmt.Fprintf(c.app.stderr, "configuration %d by %s at %s, hash %s\n", cfg.Number, cfg.Operator, cfg.At.Format(time.RFC3339), cfg.Hash)
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(cfg.Document), "", "  "); err != nil {
		return fmt.Errorf("print the document: %w", err)
	}
	fmt.Fprintln(c.app.stdout, text.String())
	return nil
}

// getFromNode reads one API path of the node into out.
func getFromNode(a *app, path string, out any) error {
	node, err := a.nodeOptions.newClient()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	return queryError(node.Get(ctx, path, out))
}
