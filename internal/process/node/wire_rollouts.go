package node

import (
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// wireRollouts builds what moves calls between versions.
func (n *Node) wireRollouts() {
	n.versions = rollout.Timed{}
}
