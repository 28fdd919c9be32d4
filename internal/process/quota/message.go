package quota

import "github.com/daisytide/daisytide/api"

// Method is the RPC method by which a node asks an owner.
const Method = "quota"

// Ask is a message of a node to an owner: the node's vote, and the accounts that
// the node needs tokens of.
type Ask struct {
	Node string `cbor:"1,keyasint"`
	// Start identifies the node's process, and Sequence numbers its messages; an
	// owner ignores messages that arrive after a later one.
	Start    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Fleet is the number of nodes: the vote stands for 1/Fleet of each account.
	Fleet int `cbor:"4,keyasint"`
	// OwnerStart and OwnerClock are those of the latest reply of the owner. The vote
	// is valid until LeaseMillis after OwnerClock, by the owner's clock, however late
	// the message arrives. An OwnerClock of 0 is no vote.
	OwnerStart  uint64 `cbor:"5,keyasint,omitempty"`
	OwnerClock  uint64 `cbor:"6,keyasint,omitempty"`
	LeaseMillis int    `cbor:"7,keyasint"`
	// Electorates identifies the lists of owners by which the node assigns accounts.
	// While the node moves from one list to another there are two, and the vote
	// counts only for accounts with the same owner in both.
	Electorates []uint64 `cbor:"8,keyasint,omitempty"`
	// Owners are the lists themselves, sent until the owner has acknowledged them.
	Owners [][]string `cbor:"9,keyasint,omitempty"`
	Wants  []Want     `cbor:"10,keyasint,omitempty"`
}

// Want describes a node's need of tokens of one account.
type Want struct {
	Account string `cbor:"1,keyasint"`
	// Held is the number of tokens that the node holds, without those that it gives
	// back with this message.
	Held int `cbor:"2,keyasint,omitempty"`
	// Tokens is how many more the node wants; those that requests wait for are
	// counted in Urgent as well.
	Tokens int `cbor:"3,keyasint,omitempty"`
	Urgent int `cbor:"4,keyasint,omitempty"`
	// Back is the number of tokens that the node gives back.
	Back int `cbor:"5,keyasint,omitempty"`
}

// Reply answers an Ask.
type Reply struct {
	// Start identifies the owner's process, Clock is the time of the reply in
	// nanoseconds by the owner's clock.
	Start uint64 `cbor:"1,keyasint"`
	Clock uint64 `cbor:"2,keyasint"`
	// Unknown is set if the owner does not know the lists that the node named. The
	// vote does not count then.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// Grants correspond to the Wants.
	Grants []Grant `cbor:"4,keyasint,omitempty"`
	// Fleet is the number of nodes by the owner's count. A node that has started
	// while it was cut off together with others takes the higher count.
	Fleet int `cbor:"5,keyasint,omitempty"`
}

// Grant is the answer to a Want.
type Grant struct {
	Tokens int `cbor:"1,keyasint,omitempty"`
	// WaitMillis is how long the next token will take if none was left for a request
	// that waits.
	WaitMillis int `cbor:"2,keyasint,omitempty"`
}

// Bounds of a valid Ask.
const (
	maxWants       = 1 << 12
	maxTokens      = 1 << 24
	maxNameBytes   = 256
	maxFleet       = 1 << 20
	maxLeaseMillis = 30_000
)

// validate returns an error for a message that no node sends.
func (a *Ask) validate() error {
	if a.Node == "" || len(a.Node) > maxNameBytes || a.Fleet < 1 || a.Fleet > maxFleet ||
		a.LeaseMillis < 1 || a.LeaseMillis > maxLeaseMillis || len(a.Wants) > maxWants ||
		len(a.Electorates) > 2 || len(a.Owners) > 0 && len(a.Owners) != len(a.Electorates) {
		return api.Errorf(api.PeerFrame, "quota request with a field out of range")
	}
	for _, list := range a.Owners {
		if len(list) == 0 || len(list) > maxOwners {
			return api.Errorf(api.PeerFrame, "quota request with a list of %d owners", len(list))
		}
		for _, address := range list {
			if len(address) > maxNameBytes {
				return api.Errorf(api.PeerFrame, "quota request with an address of %d bytes", len(address))
			}
		}
	}
	for _, w := range a.Wants {
		for _, n := range []int{w.Held, w.Tokens, w.Urgent, w.Back} {
			if n < 0 || n > maxTokens {
				return api.Errorf(api.PeerFrame, "quota request for %d tokens", n)
			}
		}
	}
	return nil
}
