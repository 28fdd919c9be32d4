package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the spread topic of member records.
const TopicName = "members"

// Topic adapts a table to spread.Topic.
type Topic struct{ Table *Table }

// Name implements spread.Topic.
func (p Topic) Name() string { return TopicName }

// Merge implements spread.Topic.
func (p Topic) Merge(item []byte) (bool, error) {
	var r Record
	if err := wire.Unmarshal(item, &r); err != nil {
		return false, err
	}
	return p.Table.Merge(r), nil
}

// Sum implements spread.Topic: the exclusive or of all records' hashes.
func (p Topic) Sum() uint64 {
	var sum uint64
	for _, item := range p.Items() {
		sum ^= xxhash.Sum64(item)
	}
	return sum
}

// Items implements spread.Topic.
func (p Topic) Items() [][]byte {
	var out [][]byte
	for _, r := range p.Table.All() {
		if b, err := wire.Marshal(r); err == nil {
			out = append(out, b)
		}
	}
	return out
}
