// Package operator serves the operator listener: documents, hosts, rollouts,
// the audit trail, the console, and the local upstream's announcements.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/operator/console"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Node is the part of the node that the operator listener uses.
type Node interface {
	Status() api.StatusResponse
	Hosts(ctx context.Context) api.HostsResponse
	Rollouts() api.RolloutsResponse
	ApplyOrder(o api.RolloutOrder, operator string) *api.Error
	Audit(ctx context.Context) (api.AuditResponse, *api.Error)
	Announce(a api.Announcement) *api.Error
}

// DocumentApplier validates documents and applies them.
type DocumentApplier interface {
	Validate(text []byte) (*document.Document, *api.Error)
	ApplySession(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse
}

// Server is the handler of the operator listener.
type Server struct {
	Token     string
	Node      Node
	Documents DocumentApplier
	Holder    *snapshot.Holder
	// Audit records an entry for each apply and for each refused order.
	Audit audit.Recorder
	// TokenFailures counts requests with a wrong token.
	TokenFailures *expvar.Int
	// Metrics are the node's counters; GET /debug/vars shows them with those of
	// the process.
	Metrics *expvar.Map
	// RequestMetrics serves GET /metrics, the counters and histograms of
	// requests; with nil the path is not served.
	RequestMetrics http.Handler
}

// Handler returns the routes of the listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathConfig, s.handleApply)
	mux.HandleFunc("GET "+api.PathConfig, s.handleConfig)
	mux.HandleFunc("POST "+api.PathValidate, s.handleValidate)
	mux.HandleFunc("GET "+api.PathHosts, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Node.Hosts(r.Context())) })
	mux.HandleFunc("GET "+api.PathRollouts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Node.Rollouts()) })
	mux.HandleFunc("POST "+api.PathRollouts, s.handleOrder)
	mux.HandleFunc("GET "+api.PathAudit, s.handleAudit)
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Node.Status()) })
	mux.HandleFunc("POST "+api.PathAnnounce, s.handleAnnounce)
	mux.HandleFunc("GET "+pathVars, s.handleVars)
	if s.RequestMetrics != nil {
		mux.Handle("GET "+pathMetrics, s.RequestMetrics)
	}
	mux.HandleFunc("/", notFound)
	root := http.NewServeMux()
	pages := console.New(consoleNode{s}, s.Holder, s.Token, s.TokenFailures)
	root.Handle(console.Prefix, pages)
	root.Handle(console.Prefix+"/", pages)
	root.Handle("GET /{$}", http.RedirectHandler(console.Prefix, http.StatusSeeOther))
	root.Handle("/", s.requireToken(mux))
	return root
}

// requireToken refuses requests without the operator token.
func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(api.HeaderToken)), []byte(s.Token)) != 1 {
			s.TokenFailures.Add(1)
			writeRefusal(w, api.Errorf(api.OperatorToken, "the operator token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handleApply(w http.ResponseWriter, r *http.Request) {
	from, err := parseOrigin(r.Header)
	var text []byte
	if err == nil {
		text, err = readBody(w, r)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	out := s.Apply(r.Context(), text, from)
	if out.Error != nil {
		w.Header().Set(call.HeaderCode, strconv.Itoa(int(out.Error.Code)))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(api.Info(out.Error.Code).HTTP)
	}
	writeJSON(w, out)
}

func (s *Server) handleValidate(w http.ResponseWriter, r *http.Request) {
	text, err := readBody(w, r)
	if err == nil {
		_, err = s.Documents.Validate(text)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, api.ApplyResponse{Outcome: api.ApplyAccepted, Number: s.Holder.Current().Number()})
}

func (s *Server) handleConfig(w http.ResponseWriter, _ *http.Request) {
	cur := s.Holder.Current()
	if cur == nil {
		writeRefusal(w, api.Errorf(api.CallNotReady, "the node has no configuration yet"))
		return
	}
	writeJSON(w, api.ConfigResponse{
		Number:   cur.Number(),
		Hash:     cur.Hash.String(),
		Operator: cur.Accepted.Operator,
		At:       cur.Accepted.At,
		Session:  cur.Accepted.Session,
		Document: string(cur.Accepted.Document),
	})
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o api.RolloutOrder
	if err := decodeBody(w, r, &o); err != nil {
		writeRefusal(w, err)
		return
	}
	from, err := parseOrigin(r.Header)
	if err == nil {
		err = s.ApplyOrder(o, from.Operator)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, s.Node.Rollouts())
}

func (s *Server) handleAudit(w http.ResponseWriter, r *http.Request) {
	out, err := s.Node.Audit(r.Context())
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, out)
}

func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	if err := decodeBody(w, r, &a); err != nil {
		writeRefusal(w, err)
		return
	}
	if err := s.Node.Announce(a); err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, s.Node.Status())
}

// notFound refuses a request that no route matches: a known path with another
// method, or an unknown path.
func notFound(w http.ResponseWriter, r *http.Request) {
	for _, path := range []string{
		api.PathConfig, api.PathValidate, api.PathHosts, api.PathRollouts, api.PathAudit, api.PathStatus, api.PathAnnounce, pathVars, pathMetrics,
	} {
		if r.URL.Path == path {
			writeRefusal(w, api.Errorf(api.OperatorMethod, "%s does not take %s", path, r.Method))
			return
		}
	}
	writeRefusal(w, api.Errorf(api.OperatorNotFound, "no page %s", r.URL.Path))
}

// pathVars serves the expvar counters, with those of the node under the key
// nodeVars; pathMetrics serves metrics in the text format of Prometheus.
const (
	pathVars    = "/debug/vars"
	nodeVars    = "daisytide"
	pathMetrics = "/metrics"
)

// handleVars writes the counters of the process, as expvar does, and those of
// this node. These are not published under a global name because a process may
// run several nodes.
func (s *Server) handleVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != nodeVars {
			fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value)
		}
	})
	fmt.Fprintf(w, "%q: %s}\n", nodeVars, s.Metrics)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *api.Error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes+1))
	var large *http.MaxBytesError
	if errors.As(err, &large) || len(text) > document.MaxBytes {
		return nil, api.Errorf(api.DocumentTooLarge, "the body is over %d bytes", document.MaxBytes)
	}
	if err != nil {
		return nil, api.Errorf(api.OperatorBody, "read the body: %w", err)
	}
	return text, nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, dst any) *api.Error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, dst); err != nil {
		return api.Errorf(api.OperatorBody, "decode the body: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func writeRefusal(w http.ResponseWriter, err *api.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(call.HeaderCode, strconv.Itoa(int(err.Code)))
	w.WriteHeader(api.Info(err.Code).HTTP)
	writeJSON(w, err)
}
