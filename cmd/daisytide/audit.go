package main

import (
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
)

// auditCommand prints the audit trail.
type auditCommand struct {
	jsonOption
	app *app
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	var out api.AuditResponse
	if err := ask(c.app, api.PathAudit, &out); err != nil {
		return c.failed(c.app.stdout, err)
	}
	if c.JSON {
		return printJSON(c.app.stdout, out)
	}
	for _, e := range out.Entries {
		fmt.Fprintf(c.app.stdout, "%s %s by %s, %s: %s\n", e.At.Format(time.RFC3339), e.Action, e.Operator, span(e), e.Outcome)
		for _, line := range e.Changes {
			fmt.Fprintln(c.app.stdout, "  "+line)
		}
	}
	return nil
}

// span gives the configuration numbers of an entry.
func span(e api.AuditEntry) string {
	if e.To == 0 || e.To == e.From {
		return fmt.Sprintf("configuration %d", e.From)
	}
	return fmt.Sprintf("configuration %d to %d", e.From, e.To)
}
