package console_test

import (
	"context"
	"net/http"
	"net/url"
	"testing"

	"github.com/daisytide/daisytide/internal/standin/cluster"
)

// TestEditSessionContinuesOnOtherNodes sends each step of an edit session to
// another node and checks that the document is in force on all nodes.
func TestEditSessionContinuesOnOtherNodes(t *testing.T) {
	ctx := context.Background()
	c, err := cluster.Start(ctx, cluster.Config{Nodes: 3, DataCentres: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	b := newBrowser(t, c.Hosts[0].OperatorBase())
	b.post(pathSignIn, url.Values{"operator": {"ann"}, "token": {cluster.Token}})
	b.expect(http.StatusOK, pathHome, "No configuration is in force")
	b.get(pathSession)
	b.base = c.Hosts[1].OperatorBase()
	b.addService("status-desk")
	b.base = c.Hosts[2].OperatorBase()
	b.press(actionReview)
	b.press(actionApply)
	b.expect(http.StatusOK, pathFollow)
	if err := c.AwaitConfig(ctx, 1); err != nil {
		t.Fatal(err)
	}
	for _, h := range c.Hosts {
		b.base = h.OperatorBase()
		b.get(pathFollow + "?number=1")
		b.expect(http.StatusOK, pathFollow, "In force on 3 of 3 hosts")
		b.get(pathHome)
		b.expect(http.StatusOK, pathHome, "Configuration 1, applied by ann", "status-desk")
	}
}
