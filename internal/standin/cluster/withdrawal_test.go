package cluster

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// movingDocument is oneService with a rollout that has begun.
func movingDocument(now time.Time) []byte {
	return fmt.Appendf(nil, `{"services":[{"name":"status-desk","versions":["v1","v2"],"current":"v1"}],
"routes":[{"name":"status","match":{"prefix":"/status"},"service":"status-desk","idempotent":true,"time_limit":"5s","caller":"buyer"}],
"rollouts":[{"service":"status-desk","from":"v1","to":"v2","start":%q,"deadline":%q,"first_share":5}]}`,
		now.Add(time.Second).Format(time.RFC3339Nano), now.Add(time.Hour).Format(time.RFC3339Nano))
}

// moving starts hosts of both versions with a move that has taken its first
// step on every host, and stops the store.
func moving(t testing.TB, hosts int) *Cluster {
	t.Helper()
	ctx := t.Context()
	c, err := Start(ctx, Config{Nodes: hosts, DataCentres: 3, Seed: 1, Upstream: func(i int) upstream.Options {
		return upstream.Options{Service: "status-desk", Version: []string{"v1", "v2"}[i%2], Slots: 4}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	operator := client.Client{BaseURL: c.Hosts[0].OperatorBase(), Token: Token, Operator: "test", HTTP: http.DefaultClient}
	out, err := operator.Apply(ctx, movingDocument(time.Now()), 0)
	if err != nil || out.Outcome != api.ApplyAccepted {
		t.Fatalf("apply: %v %+v", err, out)
	}
	awaitRollout(ctx, c, func(r api.Rollout) bool { return r.Share > 0 })
	c.Store.SetFaults(store.Faults{Down: true})
	return c
}

// awaitRollout waits until every host's row of the move is as wanted.
func awaitRollout(ctx context.Context, c *Cluster, wanted func(api.Rollout) bool) {
	for _, h := range c.Hosts {
		for ctx.Err() == nil {
			if rows := h.Node.Rollouts().Rollouts; len(rows) == 1 && wanted(rows[0]) {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func takenBack(r api.Rollout) bool { return r.State == "taken-back" && r.Share == 0 }

func TestATakeBackReachesEveryHostWithTheStoreDown(t *testing.T) {
	c := moving(t, 6)
	defer c.Stop()
	order := api.RolloutOrder{Service: "status-desk", Action: api.RolloutTakeBack, Reason: "a test"}
	if err := c.Hosts[5].Node.ApplyOrder(order, "asha"); err != nil {
		t.Fatal(err)
	}
	awaitRollout(t.Context(), c, takenBack)
}

// BenchmarkWithdrawal gives the time from a take-back at one host until every
// host has it, on real sockets with the store down.
func BenchmarkWithdrawal(b *testing.B) {
	const hosts = 24
	for range b.N {
		c := moving(b, hosts)
		order := api.RolloutOrder{Service: "status-desk", Action: api.RolloutTakeBack, Reason: "a benchmark"}
		start := time.Now()
		if err := c.Hosts[hosts-1].Node.ApplyOrder(order, "asha"); err != nil {
			b.Fatal(err)
		}
		awaitRollout(b.Context(), c, takenBack)
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms-to-all-hosts")
		c.Stop()
	}
}
