// Package link exchanges typed messages between two nodes over a WebSocket.
package link

import (
	"fmt"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/delta"
	"github.com/daisytide/daisytide/internal/version/document"
)

// ProtocolVersion is the version of the peer protocol.
const ProtocolVersion = 1

// MaxMessageBytes bounds one encoded message: a full configuration envelope and
// the fields around it.
const MaxMessageBytes = delta.MaxBytes + 64<<10

// Message is the content of one frame. Exactly one field is set.
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

	// preencoded is the message's encoding after Preencode was called.
	preencoded []byte
}

// Preencode encodes the message once, for sending it over several links. The
// message must not be changed afterwards.
func (m *Message) Preencode() error {
	b, err := Encode(m)
	m.preencoded = b
	return err
}

// EncodedSize returns the size of the message's encoding after Preencode.
func (m *Message) EncodedSize() int { return len(m.preencoded) }

// Kind names what the message carries, for metrics: a kind of message, or the topic
// of the items that it carries or is about.
func (m *Message) Kind() string {
	switch {
	case m.Items != nil:
		return m.Items.Topic
	case m.ItemRequest != nil:
		return m.ItemRequest.Topic + "-request"
	case m.BucketChecksums != nil:
		return m.BucketChecksums.Topic + "-checksums"
	case m.Digest != nil:
		return "digest"
	case m.ConfigBody != nil:
		return "configuration"
	case m.ConfigAnnouncement != nil, m.ConfigRequest != nil:
		return "configuration-request"
	default:
		return "hello"
	}
}

// Hello is the first message in both directions of a link.
type Hello struct {
	Protocol int               `cbor:"1,keyasint"`
	Self     membership.Record `cbor:"2,keyasint"`
	// Probe asks only for a Hello in return, to check that the peer responds; the
	// link is closed after it.
	Probe bool `cbor:"3,keyasint,omitempty"`
}

// Digest summarises the sender's state for anti-entropy; it also serves as the
// heartbeat.
type Digest struct {
	// ConfigNumber is the number of the configuration in force, or 0 before the
	// first.
	ConfigNumber uint64 `cbor:"1,keyasint"`
	// Checksums holds one checksum per gossip topic.
	Checksums map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Items carries gossip items of one topic.
type Items struct {
	Topic   string   `cbor:"1,keyasint"`
	Encoded [][]byte `cbor:"2,keyasint"`
	// Repair marks items that reply to an ItemRequest; the receiver processes each
	// even if it has seen it before.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// ItemRequest asks for the items of a topic whose checksums differ. For a topic
// with buckets, Buckets limits the request to some of them.
type ItemRequest struct {
	Topic   string `cbor:"1,keyasint"`
	Buckets []int  `cbor:"2,keyasint,omitempty"`
}

// BucketChecksums carries the checksums of a topic's buckets. It is sent when
// the checksums of two digests differ.
type BucketChecksums struct {
	Topic     string   `cbor:"1,keyasint"`
	Checksums []uint64 `cbor:"2,keyasint"`
}

// ConfigAnnouncement announces a configuration that the sender has.
type ConfigAnnouncement struct {
	Number uint64        `cbor:"1,keyasint"`
	Hash   document.Hash `cbor:"2,keyasint"`
	Size   int           `cbor:"3,keyasint"`
}

// ConfigRequest asks for a configuration. Base is the number of the one that
// the sender has, as the base of a delta.
type ConfigRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	Base   uint64 `cbor:"2,keyasint,omitempty"`
	// Compressed is set if the sender accepts a compressed configuration.
	Compressed bool `cbor:"3,keyasint,omitempty"`
}

// ConfigBody carries a configuration in full, compressed, or as a delta to Base.
type ConfigBody struct {
	Number uint64        `cbor:"1,keyasint"`
	Hash   document.Hash `cbor:"2,keyasint"`
	Base   uint64        `cbor:"3,keyasint,omitempty"`
	Full   []byte        `cbor:"4,keyasint,omitempty"`
	Delta  []byte        `cbor:"5,keyasint,omitempty"`
	// Compressed is the configuration in full, compressed with package delta.
	Compressed []byte `cbor:"6,keyasint,omitempty"`
}

// Refusal rejects a link with a result code. Alternatives lists the addresses
// of other peers to try.
type Refusal struct {
	Code         api.Code `cbor:"1,keyasint"`
	Alternatives []string `cbor:"2,keyasint,omitempty"`
}

// Encode encodes a message, or returns the encoding made by Preencode.
func Encode(m *Message) ([]byte, error) {
	if m.preencoded != nil {
		return m.preencoded, nil
	}
	b, err := wire.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a peer message: %w", err)
	}
	if len(b) > MaxMessageBytes {
		return nil, api.Errorf(api.PeerFrame, "a message of %d bytes exceeds the size limit", len(b))
	}
	return b, nil
}

// Decode decodes a message and verifies that exactly one field is set.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, api.Errorf(api.PeerFrame, "a message of %d bytes exceeds the size limit", len(b))
	}
	var m Message
	if err := wire.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	if m.countSet() != 1 {
		return nil, api.Errorf(api.PeerFrame, "a message has %d fields set, want 1", m.countSet())
	}
	return &m, nil
}

// countSet returns the number of fields that are set.
func (m *Message) countSet() int {
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
