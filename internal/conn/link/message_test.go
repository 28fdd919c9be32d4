package link

import (
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
)

func sampleMessages() []*Message {
	return []*Message{
		{Hello: &Hello{Protocol: ProtocolVersion, Self: membership.Record{Address: "10.0.0.1:7946", State: membership.Alive}}},
		{Digest: &Digest{ConfigNumber: 7, Checksums: map[string]uint64{"members": 1 << 60}}},
		{Items: &Items{Topic: "members", Encoded: [][]byte{{1, 2, 3}}, Repair: true}},
		{ConfigAnnouncement: &ConfigAnnouncement{Number: 7, Size: 12_000}},
		{ConfigRequest: &ConfigRequest{Number: 7, Base: 6}},
		{ConfigBody: &ConfigBody{Number: 7, Base: 6, Delta: []byte{1, 2, 3}}},
		{ItemRequest: &ItemRequest{Topic: "members", Buckets: []int{1, 63}}},
		{Refusal: &Refusal{Code: api.PeerBusy, Alternatives: []string{"10.0.0.2:7946"}}},
		{BucketChecksums: &BucketChecksums{Topic: "members", Checksums: []uint64{1, 2, 3}}},
	}
}

func TestDecodeRejectsMessagesWithoutExactlyOneField(t *testing.T) {
	for _, m := range []*Message{{}, {ConfigRequest: &ConfigRequest{Number: 1}, ItemRequest: &ItemRequest{Topic: "members"}}} {
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); api.CodeOf(err, 0) != api.PeerFrame {
			t.Errorf("%d fields set: error %v, want %v", m.countSet(), err, api.PeerFrame)
		}
	}
}

func TestFrameBytes(t *testing.T) {
	for _, c := range []struct {
		n      int
		client bool
		want   int
	}{{125, false, 127}, {126, false, 130}, {126, true, 134}, {65_535, false, 65_539}, {65_536, true, 65_550}} {
		if got := FrameSize(c.n, c.client); got != c.want {
			t.Errorf("FrameSize(%d, %v) = %d, want %d", c.n, c.client, got, c.want)
		}
	}
}

// FuzzDecode checks that encoding a decoded message and decoding it again gives
// the same encoding.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		first, err := Encode(m)
		if err != nil {
			t.Fatalf("encode the decoded message: %v", err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("decode the encoded message: %v", err)
		}
		second, err := Encode(again)
		if err != nil || string(second) != string(first) {
			t.Errorf("the second encoding differs from the first: %v", err)
		}
	})
}
