package membership

import (
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the name of the gossip topic of member records.
const TopicName = "members"

// Topic adapts a Table to gossip.Topic and gossip.BucketedTopic.
type Topic struct{ Table *Table }

// Name implements gossip.Topic.
func (t Topic) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (t Topic) Merge(item []byte) (bool, error) {
	var r Record
	if err := wire.Unmarshal(item, &r); err != nil {
		return false, err
	}
	if err := r.Validate(); err != nil {
		return false, err
	}
	return t.Table.Merge(r), nil
}

// Checksum implements gossip.Topic: it is the XOR of the hashes of all records
// that are not Gone.
func (t Topic) Checksum() uint64 {
	var sum uint64
	for _, s := range t.BucketChecksums() {
		sum ^= s
	}
	return sum
}

// Items implements gossip.Topic. Like the checksums, it leaves out Gone records.
func (t Topic) Items() [][]byte {
	return t.items(func(string) bool { return true })
}

// BucketChecksums implements gossip.BucketedTopic.
func (t Topic) BucketChecksums() []uint64 {
	t.Table.mu.Lock()
	defer t.Table.mu.Unlock()
	sums := t.Table.checksums
	return sums[:]
}

// BucketItems implements gossip.BucketedTopic.
func (t Topic) BucketItems(buckets []int) [][]byte {
	var included [BucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < BucketCount {
			included[b] = true
		}
	}
	return t.items(func(address string) bool { return included[BucketOf(address)] })
}

func (t Topic) items(include func(address string) bool) [][]byte {
	t.Table.mu.Lock()
	defer t.Table.mu.Unlock()
	var out [][]byte
	for address, e := range t.Table.records {
		if e.record.State != Gone && include(address) {
			out = append(out, e.item)
		}
	}
	return out
}

// Superseding implements gossip.BucketedTopic.
func (t Topic) Superseding(item []byte) []byte {
	var r Record
	if err := wire.Unmarshal(item, &r); err != nil {
		return nil
	}
	t.Table.mu.Lock()
	defer t.Table.mu.Unlock()
	e, ok := t.Table.records[r.Address]
	if !ok || !e.record.Supersedes(r) {
		return nil
	}
	return e.item
}
