// Package link carries typed messages between two nodes over one WebSocket.
package link

import (
	"fmt"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
)

// ProtocolVersion is the version of the peer messages.
const ProtocolVersion = 1

// MaxMessageBytes bounds one encoded message: a whole envelope and its frame.
const MaxMessageBytes = 1_100_000

// Message is one frame; exactly one field is set.
type Message struct {
	Hello              *Hello              `cbor:"1,keyasint,omitempty"`
	Digest             *Digest             `cbor:"2,keyasint,omitempty"`
	Items              *Items              `cbor:"3,keyasint,omitempty"`
	ConfigAnnouncement *ConfigAnnouncement `cbor:"4,keyasint,omitempty"`
	ConfigRequest      *ConfigRequest      `cbor:"5,keyasint,omitempty"`
	ConfigBody         *ConfigBody         `cbor:"6,keyasint,omitempty"`
	ItemRequest        *ItemRequest        `cbor:"7,keyasint,omitempty"`
	Refusal            *Refusal            `cbor:"8,keyasint,omitempty"`
	BucketChecksums    *BucketChecksums    `cbor:"9,keyasint,omitempty"`

	// encoded is the message's encoding once Freeze was called.
	encoded []byte
}

// Freeze encodes the message once for sending it over several links; it must
// not change any more.
func (m *Message) Preencode() error {
	b, err := Encode(m)
	m.encoded = b
	return err
}

// Hello opens a link in both directions.
type Hello struct {
	Protocol int               `cbor:"1,keyasint"`
	Self     membership.Record `cbor:"2,keyasint"`
	// Probe asks for a Hello only, to see whether the peer answers; no link
	// comes of it.
	Probe bool `cbor:"3,keyasint,omitempty"`
}

// Digest summarises what the sender knows, for repair; it is the heartbeat too.
type Digest struct {
	// Number is of the configuration in force; 0 before the first.
	ConfigNumber uint64 `cbor:"1,keyasint"`
	// Topics gives one sum per topic of facts.
	Checksums map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Facts carries small facts of one topic.
type Items struct {
	Topic   string   `cbor:"1,keyasint"`
	Encoded [][]byte `cbor:"2,keyasint"`
	// Repair marks facts that answer a Want; the receiver looks at each even
	// if it saw it before.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// Want asks for the facts of a topic whose sums differ; Buckets narrows it to
// some buckets where the topic has them.
type ItemRequest struct {
	Topic   string `cbor:"1,keyasint"`
	Buckets []int  `cbor:"2,keyasint,omitempty"`
}

// Buckets gives the sums of a topic's buckets after two digests differed.
type BucketChecksums struct {
	Topic     string   `cbor:"1,keyasint"`
	Checksums []uint64 `cbor:"2,keyasint"`
}

// Announce tells of a configuration that the sender holds.
type ConfigAnnouncement struct {
	Number uint64        `cbor:"1,keyasint"`
	Hash   document.Hash `cbor:"2,keyasint"`
	Size   int           `cbor:"3,keyasint"`
}

// Pull asks for a configuration; Base is the one that the asker holds.
type ConfigRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	Base   uint64 `cbor:"2,keyasint,omitempty"`
}

// Body carries a configuration, whole or as a delta to Base.
type ConfigBody struct {
	Number uint64        `cbor:"1,keyasint"`
	Hash   document.Hash `cbor:"2,keyasint"`
	Base   uint64        `cbor:"3,keyasint,omitempty"`
	Full   []byte        `cbor:"4,keyasint,omitempty"`
	Delta  []byte        `cbor:"5,keyasint,omitempty"`
}

// Refused closes a link with a result code; Try names other peers.
type Refusal struct {
	Code         api.Code `cbor:"1,keyasint"`
	Alternatives []string `cbor:"2,keyasint,omitempty"`
}

// Encode encodes a message.
func Encode(m *Message) ([]byte, error) {
	if m.encoded != nil {
		return m.encoded, nil
	}
	b, err := wire.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a peer message: %w", err)
	}
	if len(b) > MaxMessageBytes {
		return nil, api.Errorf(api.PeerFrame, "a message of %d bytes is over the limit", len(b))
	}
	return b, nil
}

// Decode decodes a message and checks that exactly one field is set.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, api.Errorf(api.PeerFrame, "a message of %d bytes is over the limit", len(b))
	}
	var m Message
	if err := wire.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	if m.fields() != 1 {
		return nil, api.Errorf(api.PeerFrame, "a message with %d parts", m.fields())
	}
	return &m, nil
}

func (m *Message) fields() int {
	n := 0
	for _, set := range []bool{
		m.Hello != nil, m.Digest != nil, m.Items != nil, m.ConfigAnnouncement != nil,
		m.ConfigRequest != nil, m.ConfigBody != nil, m.ItemRequest != nil, m.Refusal != nil, m.BucketChecksums != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
