package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	wire "github.com/daisytide/daisytide/platform"
)

// pageItems is the most items of one page of a range.
const pageItems = 500

// Handler serves the store over HTTP, in the platform's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathKey, s.serveKey)
	mux.HandleFunc("GET "+wire.PathRange, s.serveRange)
	mux.HandleFunc("GET "+wire.PathWatch, s.serveWatch)
	mux.HandleFunc("POST "+wire.PathTxn, s.serveTxn)
	mux.HandleFunc("POST "+wire.PathLease, s.serveGrant)
	mux.HandleFunc("POST "+wire.PathKeep+"{id}", func(w http.ResponseWriter, r *http.Request) {
		s.serveLease(w, r, s.KeepAlive)
	})
	mux.HandleFunc("DELETE "+wire.PathLeaseEnd+"{id}", func(w http.ResponseWriter, r *http.Request) {
		s.serveLease(w, r, s.Revoke)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if read(w, r, &f) {
			s.SetFaults(f)
		}
	})
	return mux
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	e, err := s.Get(r.Context(), r.FormValue(wire.QueryKey))
	if err == nil && e.Revision == 0 {
		answer(w, http.StatusNotFound, wire.ErrorReply{Error: "no such key"})
		return
	}
	reply(w, wire.KeyReply{Item: item(e), StoreRevision: s.at()}, err)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	all, revision, err := s.List(r.Context(), r.FormValue(wire.QueryPrefix), r.FormValue(wire.QueryStale) == "1")
	out := wire.RangeReply{Items: []wire.Item{}, StoreRevision: revision}
	for _, e := range all {
		if e.Key <= r.FormValue(wire.QueryAfter) {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true
			break
		}
		out.Items = append(out.Items, item(e))
	}
	reply(w, out, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.FormValue(wire.QueryAfter), 10, 64)
	wait, errWait := strconv.ParseInt(r.FormValue(wire.QueryWait), 10, 64)
	if err := errors.Join(errAfter, errWait); err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorReply{Error: err.Error()})
		return
	}
	events, revision, err := s.Watch(r.Context(), r.FormValue(wire.QueryPrefix), after, time.Duration(wait)*time.Millisecond)
	out := wire.WatchReply{Events: []wire.Item{}, StoreRevision: revision}
	for _, e := range events {
		out.Events = append(out.Events, item(e))
	}
	reply(w, out, err)
}

// serveTxn takes the transactions that the product makes: one condition and
// one write or deletion, of the same key.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in wire.TxnRequest
	if !read(w, r, &in) {
		return
	}
	if len(in.Expected) != 1 || len(in.Writes)+len(in.Deletes) != 1 {
		answer(w, http.StatusBadRequest, wire.ErrorReply{Error: "the stand-in takes one key a transaction"})
		return
	}
	var value []byte
	lease := ""
	if len(in.Writes) == 1 {
		value = append([]byte{}, in.Writes[0].Value...)
		if in.Writes[0].Lease != 0 {
			lease = strconv.FormatUint(in.Writes[0].Lease, 10)
		}
	}
	e, err := s.CompareAndSwap(r.Context(), in.Expected[0].Key, in.Expected[0].Revision, value, lease)
	var failed *kvstore.Error
	if errors.As(err, &failed) && failed.Outcome == kvstore.OutcomeConflict {
		answer(w, http.StatusPreconditionFailed, wire.TxnReply{Items: []wire.Item{item(failed.Current)}})
		return
	}
	reply(w, wire.TxnReply{Revision: e.Revision}, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in wire.LeaseMessage
	if !read(w, r, &in) {
		return
	}
	l, err := s.Grant(r.Context(), in.TTL.Duration())
	id, _ := strconv.ParseUint(l.ID, 10, 64)
	reply(w, wire.LeaseMessage{Lease: id, TTL: wire.Seconds(l.TTL.Seconds())}, err)
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request, act func(context.Context, string) error) {
	reply(w, wire.LeaseMessage{}, act(r.Context(), r.PathValue("id")))
}

func (s *Store) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func item(e kvstore.Entry) wire.Item {
	i := wire.Item{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
	i.Lease, _ = strconv.ParseUint(e.Lease, 10, 64)
	return i
}

func read(w http.ResponseWriter, r *http.Request, in any) bool {
	body := http.MaxBytesReader(w, r.Body, 2*kvstore.MaxValueBytes)
	if err := json.NewDecoder(body).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// reply writes an answer; a lost one closes the connection without a word.
func reply(w http.ResponseWriter, out any, err error) {
	var e *kvstore.Error
	if !errors.As(err, &e) {
		answer(w, http.StatusOK, out)
		return
	}
	status := 0
	switch e.Outcome {
	case kvstore.OutcomeRateLimited:
		status = http.StatusTooManyRequests
	case kvstore.OutcomeRefused:
		status = http.StatusNotFound
	case kvstore.OutcomeNotReached:
		status = http.StatusServiceUnavailable
	case kvstore.OutcomeHistoryLost:
		status = http.StatusGone
	default:
		panic(http.ErrAbortHandler)
	}
	answer(w, status, wire.ErrorReply{Error: e.Error()})
}
