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

// maxDraftBytes is the maximum size of a draft after decompression.
const maxDraftBytes = 4 * document.MaxBytes

// editSession is the state of one edit session. It is stored in the hidden
// fields of the session's forms, so that any node can serve the next step.
type editSession struct {
	// BaseNumber is the number of the configuration that the session started
	// from; 0 if none was in force.
	BaseNumber uint64
	// BaseDraft is the draft at the start, from which the operator's changes
	// are determined.
	BaseDraft *Draft
	// Draft is the draft with the operator's changes.
	Draft *Draft
	// ApplySession identifies the apply of this session over all its attempts.
	ApplySession string
}

// newEditSession starts a session from the configuration in force.
func newEditSession(cur *snapshot.Snapshot) *editSession {
	s := &editSession{BaseNumber: cur.Number(), ApplySession: rand.Text()}
	var doc *document.Document
	if cur != nil {
		doc = cur.Document
	}
	s.BaseDraft, s.Draft = draftFromDocument(doc), draftFromDocument(doc)
	return s
}

// Names of the hidden fields and, for fieldAction, of the buttons. No form field
// of an item has such a name.
const (
	fieldBase      = "session-base"
	fieldBaseDraft = "session-from"
	fieldDraft     = "session-draft"
	fieldApply     = "session-apply"
	fieldFormToken = "form-token"
	fieldAction    = "do"
	fieldItem      = "item"
)

// hiddenField is one hidden field of a form.
type hiddenField struct {
	Name, Value string
}

// hiddenFields encodes the session for a form.
func (s *editSession) hiddenFields() ([]hiddenField, error) {
	from, err := encodeDraft(s.BaseDraft)
	if err != nil {
		return nil, err
	}
	draft, err := encodeDraft(s.Draft)
	if err != nil {
		return nil, err
	}
	return []hiddenField{
		{fieldBase, strconv.FormatUint(s.BaseNumber, 10)},
		{fieldBaseDraft, from},
		{fieldDraft, draft},
		{fieldApply, s.ApplySession},
	}, nil
}

// parseEditSession decodes the session of a posted form.
func parseEditSession(form url.Values) (*editSession, error) {
	base, err := strconv.ParseUint(form.Get(fieldBase), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("parse the base number: %w", err)
	}
	s := &editSession{BaseNumber: base, BaseDraft: &Draft{}, Draft: &Draft{}, ApplySession: form.Get(fieldApply)}
	if err := decodeDraft(form.Get(fieldBaseDraft), s.BaseDraft); err != nil {
		return nil, err
	}
	if err := decodeDraft(form.Get(fieldDraft), s.Draft); err != nil {
		return nil, err
	}
	return s, nil
}

func encodeDraft(d *Draft) (string, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return "", fmt.Errorf("encode the draft: %w", err)
	}
	if err := z.Close(); err != nil {
		return "", fmt.Errorf("encode the draft: %w", err)
	}
	return base64.StdEncoding.EncodeToString(b.Bytes()), nil
}

func decodeDraft(text string, d *Draft) error {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decode the draft: %w", err)
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("decode the draft: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(z, maxDraftBytes)).Decode(d); err != nil {
		return fmt.Errorf("decode the draft: %w", err)
	}
	return nil
}
