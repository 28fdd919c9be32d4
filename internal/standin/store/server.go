package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/daisytide/daisytide/internal/conn/platform"
)

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathGet, func(w http.ResponseWriter, r *http.Request) {
		e, err := s.Get(r.Context(), r.FormValue("key"))
		reply(w, platform.Reply{Entry: e}, err)
	})
	mux.HandleFunc("GET "+platform.PathList, func(w http.ResponseWriter, r *http.Request) {
		es, err := s.List(r.Context(), r.FormValue("prefix"))
		reply(w, platform.Reply{Entries: es}, err)
	})
	mux.HandleFunc("GET "+platform.PathWatch, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		es, rev, err := s.Watch(r.Context(), r.FormValue("prefix"), after)
		reply(w, platform.Reply{Entries: es, Revision: rev}, err)
	})
	mux.HandleFunc("POST "+platform.PathSwap, func(w http.ResponseWriter, r *http.Request) {
		var in platform.SwapRequest
		if !read(w, r, &in) {
			return
		}
		e, err := s.CompareAndSwap(r.Context(), in.Key, in.Revision, in.Value, in.Lease)
		reply(w, platform.Reply{Entry: e}, err)
	})
	mux.HandleFunc("POST "+platform.PathLease, func(w http.ResponseWriter, r *http.Request) {
		var in platform.LeaseRequest
		if !read(w, r, &in) {
			return
		}
		l, err := s.lease(r, in)
		reply(w, platform.Reply{Lease: l}, err)
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

func (s *Store) lease(r *http.Request, in platform.LeaseRequest) (platform.Lease, error) {
	switch in.Op {
	case platform.LeaseKeepAlive:
		return platform.Lease{ID: in.ID}, s.KeepAlive(r.Context(), in.ID)
	case platform.LeaseRevoke:
		return platform.Lease{ID: in.ID}, s.Revoke(r.Context(), in.ID)
	default:
		return s.Grant(r.Context(), time.Duration(in.TTLMillis)*time.Millisecond)
	}
}

func read(w http.ResponseWriter, r *http.Request, in any) bool {
	body := http.MaxBytesReader(w, r.Body, 2*platform.MaxValueBytes)
	if err := json.NewDecoder(body).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes an answer; a lost one closes the connection without a word.
func reply(w http.ResponseWriter, out platform.Reply, err error) {
	status := http.StatusOK
	var e *platform.Error
	if errors.As(err, &e) {
		out.Entry = e.Current
		switch e.Outcome {
		case platform.OutcomeConflict:
			status = http.StatusConflict
		case platform.OutcomeLimited:
			status = http.StatusTooManyRequests
		case platform.OutcomeRefused:
			status = http.StatusBadRequest
			out.Message = e.Error()
		case platform.OutcomeNotReached:
			status = http.StatusServiceUnavailable
		default:
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}
