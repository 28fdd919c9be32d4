// Package gossip carries facts and configurations between nodes over a
// bounded number of links each.
package gossip

// Topic is one family of small facts. What it holds must merge by a rule
// under which order and repetition do not matter, since facts arrive late,
// doubled and crossing. Its methods are called from several goroutines.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Merge folds one received fact in and tells whether it changed anything;
	// a fact that did is passed on over the other links.
	Merge(item []byte) (changed bool, err error)
	// Checksum summarises all facts held; equal sums mean equal facts.
	Checksum() uint64
	// Items returns all facts held, for a peer whose sum differs.
	Items() [][]byte
}

// BucketedTopic is a Topic with many facts, kept in a fixed number of buckets, so
// that a difference costs the facts of the buckets that differ only.
type BucketedTopic interface {
	Topic
	// BucketChecksums returns one sum per bucket.
	BucketChecksums() []uint64
	// BucketItems returns the facts of some buckets.
	BucketItems(buckets []int) [][]byte
	// Superseding returns the fact held that supersedes item, or nil; a peer that
	// sent the older one is told.
	Superseding(item []byte) []byte
}

// Publisher spreads facts of this node. Manager implements it.
type Publisher interface {
	// Publish sends a fact, merged already, over all links.
	Publish(topic string, item []byte)
}
