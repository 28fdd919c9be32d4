package ingress

import (
	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// identify returns the client account that the request's key belongs to, or the
// refusal of a request whose route needs a valid key. It removes the key from the
// request, so that no upstream sees it. A deployment without accounts leaves the
// request's headers as they are.
func (d *dispatch) identify(table *traffic.Table) (*traffic.Account, *hop.Result) {
	if !table.Config.RequireKey {
		return nil, nil
	}
	var account *traffic.Account
	if key := d.ingress.Dialect.TakeKey(d.in.Header); key != "" {
		d.key = traffic.DigestOf(key)
		account = table.Account(d.key)
	}
	if account == nil && !d.route.Public {
		refused := hop.Refuse(api.CallUnknownKey, 0, nil)
		return nil, &refused
	}
	return account, nil
}

// keyRevoked reports whether the configuration in force no longer has the key with
// which the request came. A request that waited for its first attempt to end must
// not be sent again then.
func (d *dispatch) keyRevoked() bool {
	if d.req.Account == "" || d.route.Public {
		return false
	}
	snap := d.ingress.Holder.Current()
	if snap == nil || snap.Traffic == nil || !snap.Traffic.Config.RequireKey {
		return false
	}
	account := snap.Traffic.Account(d.key)
	return account == nil || account.Name != d.req.Account
}
