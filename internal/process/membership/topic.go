package membership

import (
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the spread topic of member records.
const TopicName = "members"

// Topic adapts a table to gossip.Topic and gossip.BucketedTopic.
type Topic struct{ Table *Table }

// Name implements gossip.Topic.
func (p Topic) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (p Topic) Merge(item []byte) (bool, error) {
	var r Record
	if err := wire.Unmarshal(item, &r); err != nil {
		return false, err
	}
	if err := r.check(); err != nil {
		return false, err
	}
	return p.Table.Merge(r), nil
}

// Checksum implements gossip.Topic: the exclusive or of the hashes of all records
// that are not Gone.
func (p Topic) Checksum() uint64 {
	var sum uint64
	for _, s := range p.BucketChecksums() {
		sum ^= s
	}
	return sum
}

// Items implements gossip.Topic.
func (p Topic) Items() [][]byte {
	return p.items(func(string) bool { return true })
}

// BucketChecksums implements gossip.BucketedTopic.
func (p Topic) BucketChecksums() []uint64 {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	sums := p.Table.sums
	return sums[:]
}

// BucketItems implements gossip.BucketedTopic.
func (p Topic) BucketItems(buckets []int) [][]byte {
	var wanted [BucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < BucketCount {
			wanted[b] = true
		}
	}
	return p.items(func(address string) bool { return wanted[BucketOf(address)] })
}

func (p Topic) items(wanted func(address string) bool) [][]byte {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	var out [][]byte
	for address, e := range p.Table.records {
		if e.record.State != Gone && wanted(address) {
			out = append(out, e.item)
		}
	}
	return out
}

// Superseding implements gossip.BucketedTopic: the record that supersedes item, if any.
func (p Topic) Superseding(item []byte) []byte {
	var r Record
	if err := wire.Unmarshal(item, &r); err != nil {
		return nil
	}
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	e, ok := p.Table.records[r.Address]
	if !ok || !e.record.Supersedes(r) {
		return nil
	}
	return e.item
}
