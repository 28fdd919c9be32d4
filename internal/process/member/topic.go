package member

import (
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the spread topic of member records.
const TopicName = "members"

// Topic adapts a table to spread.Topic and spread.Bucketed.
type Topic struct{ Table *Table }

// Name implements spread.Topic.
func (p Topic) Name() string { return TopicName }

// Merge implements spread.Topic.
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

// Sum implements spread.Topic: the exclusive or of the hashes of all records
// that are not Gone.
func (p Topic) Sum() uint64 {
	var sum uint64
	for _, s := range p.Buckets() {
		sum ^= s
	}
	return sum
}

// Items implements spread.Topic.
func (p Topic) Items() [][]byte {
	return p.items(func(string) bool { return true })
}

// Buckets implements spread.Bucketed.
func (p Topic) Buckets() []uint64 {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	sums := p.Table.sums
	return sums[:]
}

// BucketItems implements spread.Bucketed.
func (p Topic) BucketItems(buckets []int) [][]byte {
	var wanted [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
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

// Newer implements spread.Bucketed: the record that supersedes item, if any.
func (p Topic) Newer(item []byte) []byte {
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
