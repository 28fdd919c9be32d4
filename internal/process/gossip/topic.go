// Package gossip distributes small items of state and configurations between
// nodes, over a bounded number of links per node.
package gossip

// Topic is a replicated set of small items. Merging must be commutative and
// idempotent, since items arrive late, duplicated and out of order. The methods
// may be called concurrently.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Merge merges a received item and reports whether it changed anything;
	// an item that did is forwarded over the other links.
	Merge(item []byte) (changed bool, err error)
	// Checksum covers all items held; equal checksums mean equal items.
	Checksum() uint64
	// Items returns all items held, for a peer whose checksum differs.
	Items() [][]byte
}

// BucketedTopic is a Topic with many items in a fixed number of buckets, so
// that a repair sends only the items of the buckets that differ.
type BucketedTopic interface {
	Topic
	// BucketChecksums returns one checksum per bucket.
	BucketChecksums() []uint64
	// BucketItems returns the items of the given buckets.
	BucketItems(buckets []int) [][]byte
	// Superseding returns the held item that supersedes item, or nil; it is
	// sent to the peer that sent the older one.
	Superseding(item []byte) []byte
}

// DataCentreTopic is a Topic whose items stay within a data centre. It is not
// repaired: its items are published anew while they matter.
type DataCentreTopic interface {
	Topic
	// StaysInDataCentre marks the topic; it does nothing.
	StaysInDataCentre()
}

// Publisher publishes items of this node. Manager implements it.
type Publisher interface {
	// Publish sends an item that is already merged locally over all links.
	Publish(topic string, item []byte)
}
