package client_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/cluster"
)

// lossyTransport discards the first responses to POST requests, after the node
// has sent them.
type lossyTransport struct {
	drops int
}

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost && l.drops > 0 {
		l.drops--
		resp.Body.Close()
		return nil, errors.New("the response was lost")
	}
	return resp, err
}

func TestApplyTakesEffectOnceWhenResponsesAreLost(t *testing.T) {
	ctx := context.Background()
	c, err := cluster.Start(ctx, cluster.Config{Nodes: 2, DataCentres: 2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../../../docs/examples/coral-tt-north.json")
	if err != nil {
		t.Fatal(err)
	}
	base := uint64(api.BaseNone)
	for want := uint64(1); want <= 2; want++ {
		operator := client.Client{BaseURL: c.Hosts[0].OperatorBase(), Token: cluster.Token, Operator: "ann", HTTP: &http.Client{Transport: &lossyTransport{drops: 2}}}
		out := operator.ApplyOnce(ctx, text, base)
		if out.Outcome != api.ApplyAccepted || out.Number != want {
			t.Fatalf("%+v, want number %d", out, want)
		}
		if err := c.AwaitConfig(ctx, want); err != nil {
			t.Fatal(err)
		}
		if n := c.Hosts[1].Node.Status().Number; n != want {
			t.Errorf("in force: %d, want %d", n, want)
		}
		base = want
	}
	trail, refusal := c.Hosts[0].Node.Audit(ctx)
	if refusal != nil || len(trail.Entries) != 2 {
		t.Errorf("%v, %d entries in the audit trail for 2 changes: %+v", refusal, len(trail.Entries), trail.Entries)
	}
}
