package cluster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

const oneService = `{"services":[{"name":"status-desk","versions":["v1"],"current":"v1"}],
"routes":[{"name":"status","match":{"prefix":"/status"},"service":"status-desk","idempotent":true,"time_limit":"5s","caller":"buyer"}]}`

func TestCallTravelsFromAnyEntryToTheUpstream(t *testing.T) {
	ctx := context.Background()
	c, err := Start(ctx, Config{Nodes: 3, DataCentres: 2, Seed: 1, Upstream: func(i int) upstream.Options {
		if i > 0 {
			return upstream.Options{}
		}
		return upstream.Options{Service: "status-desk", Version: "v1", Slots: 4}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	operator := client.Client{BaseURL: c.Hosts[1].OperatorBase(), Token: Token, Operator: "test", HTTP: http.DefaultClient}
	out, err := operator.Apply(ctx, []byte(oneService), 0)
	if err != nil || out.Outcome != api.ApplyAccepted {
		t.Fatalf("apply: %v %+v", err, out)
	}
	if err := c.AwaitConfig(ctx, out.Number); err != nil {
		t.Fatal(err)
	}
	for _, h := range c.Hosts {
		resp, err := http.Get(h.CallerBase() + "/status/7")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "status-desk v1 /status/7") {
			t.Errorf("%s: %d %q %v", h.CallerBase(), resp.StatusCode, body, err)
		}
	}
}
