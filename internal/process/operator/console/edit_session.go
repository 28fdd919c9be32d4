package console

import (
	"bytes"
	"compress/gzip"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// maxStateBytes bounds a draft or base when unpacked.
const maxStateBytes = 4 * document.MaxBytes

// state is one working session. It travels in the hidden fields of the
// session's forms, so that any node can serve the next step.
type state struct {
	// Base is the configuration number that the draft started from, 0 where
	// none was in force.
	Base uint64
	// From is the draft's start, to tell what the operator has changed.
	From *Draft
	// Draft is what was typed so far.
	Draft *Draft
	// Apply identifies the apply of this session over all tries.
	Apply string
}

// start begins a session on the configuration in force.
func start(cur *snapshot.Snapshot) *state {
	s := &state{Base: cur.Number(), Apply: rand.Text()}
	var doc *document.Document
	if cur != nil {
		doc = cur.Document
	}
	s.From, s.Draft = draftOf(doc), draftOf(doc)
	return s
}

// Names of the hidden fields; no item has a field of such a name.
const (
	fieldBase  = "session-base"
	fieldFrom  = "session-from"
	fieldDraft = "session-draft"
	fieldApply = "session-apply"
	fieldForm  = "form-token"
	fieldDo    = "do"
	fieldItem  = "item"
)

// hidden is one hidden field of a form.
type hidden struct {
	Name, Value string
}

// fields packs the state for a form.
func (s *state) fields() ([]hidden, error) {
	from, err := pack(s.From)
	if err != nil {
		return nil, err
	}
	draft, err := pack(s.Draft)
	if err != nil {
		return nil, err
	}
	return []hidden{
		{fieldBase, strconv.FormatUint(s.Base, 10)},
		{fieldFrom, from},
		{fieldDraft, draft},
		{fieldApply, s.Apply},
	}, nil
}

// stateOf unpacks the state of a posted form.
func stateOf(form url.Values) (*state, error) {
	base, err := strconv.ParseUint(form.Get(fieldBase), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read the base: %w", err)
	}
	s := &state{Base: base, From: &Draft{}, Draft: &Draft{}, Apply: form.Get(fieldApply)}
	if err := unpack(form.Get(fieldFrom), s.From); err != nil {
		return nil, err
	}
	if err := unpack(form.Get(fieldDraft), s.Draft); err != nil {
		return nil, err
	}
	return s, nil
}

func pack(d *Draft) (string, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return "", fmt.Errorf("pack the draft: %w", err)
	}
	if err := z.Close(); err != nil {
		return "", fmt.Errorf("pack the draft: %w", err)
	}
	return base64.StdEncoding.EncodeToString(b.Bytes()), nil
}

func unpack(text string, d *Draft) error {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("unpack the draft: %w", err)
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("unpack the draft: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(z, maxStateBytes)).Decode(d); err != nil {
		return fmt.Errorf("unpack the draft: %w", err)
	}
	return nil
}
