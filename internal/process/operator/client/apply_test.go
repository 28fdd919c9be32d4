package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/standin/rawserver"
	"github.com/daisytide/daisytide/internal/version/document"
)

// scriptedTransport returns one scripted reply per request; nil fails the
// request as a reset connection would.
type scriptedTransport struct {
	replies  []*api.ApplyResponse
	sessions []string
}

// RoundTrip implements http.RoundTripper.
func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		s.sessions = append(s.sessions, r.Header.Get(api.HeaderSession))
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	if next == nil {
		return nil, errors.New("connection reset")
	}
	w := httptest.NewRecorder()
	if next.Error != nil {
		w.WriteHeader(api.Info(next.Error.Code).HTTP)
	}
	_, _ = w.WriteString(encode(next))
	return w.Result(), nil
}

func TestLostReplyOfApplyIsResolvedBySession(t *testing.T) {
	accepted := &api.ApplyResponse{Outcome: api.ApplyAccepted, Number: 8}
	next := &api.ApplyResponse{Outcome: api.ApplyConflict, Number: 8, Error: api.Errorf(api.OperatorConflict, "x")}
	later := &api.ApplyResponse{Outcome: api.ApplyConflict, Number: 8 + document.MaxPast, Error: api.Errorf(api.OperatorConflict, "x")}
	unknown := &api.ApplyResponse{Outcome: api.ApplyUnknown, Error: api.Errorf(api.StoreUnknown, "x")}
	down := &api.ApplyResponse{Outcome: api.ApplyRefused, Error: api.Errorf(api.StoreNotReached, "x")}
	for name, c := range map[string]struct {
		replies  []*api.ApplyResponse
		want     api.ApplyOutcome
		attempts int
	}{
		"accepted":                            {[]*api.ApplyResponse{accepted}, api.ApplyAccepted, 1},
		"conflict":                            {[]*api.ApplyResponse{next}, api.ApplyConflict, 1},
		"refused":                             {[]*api.ApplyResponse{down}, api.ApplyRefused, 1},
		"lost, then recognised by session":    {[]*api.ApplyResponse{nil, accepted}, api.ApplyAccepted, 2},
		"unknown, then recognised by session": {[]*api.ApplyResponse{unknown, accepted}, api.ApplyAccepted, 2},
		"lost, then another document has the number": {[]*api.ApplyResponse{nil, next}, api.ApplyConflict, 2},
		"lost, then too many documents followed":     {[]*api.ApplyResponse{nil, later}, api.ApplyUnknown, 2},
		"lost, then the store is down":               {[]*api.ApplyResponse{nil, down, down, down}, api.ApplyUnknown, 4},
		"lost, refused once, then accepted":          {[]*api.ApplyResponse{nil, down, accepted}, api.ApplyAccepted, 3},
		"lost each time":                             {[]*api.ApplyResponse{nil, nil, nil, nil}, api.ApplyUnknown, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			transport := &scriptedTransport{replies: c.replies}
			node := Client{BaseURL: "http://node", HTTP: &http.Client{Transport: transport}}
			out := node.ApplyOnce(context.Background(), []byte("{}"), 7)
			if out.Outcome != c.want || len(transport.sessions) != c.attempts {
				t.Errorf("%s: %s after %d attempts, want %s after %d", name, out.Outcome, len(transport.sessions), c.want, c.attempts)
			}
			if strings.Count(strings.Join(transport.sessions, " "), transport.sessions[0]) != c.attempts {
				t.Errorf("%s: the session changed: %v", name, transport.sessions)
			}
		})
	}
}

func TestApplyWithoutBaseIsNotSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &scriptedTransport{replies: []*api.ApplyResponse{nil, nil, nil, nil}}
		node := Client{BaseURL: "http://node", HTTP: &http.Client{Transport: transport}}
		if out := node.ApplyOnce(context.Background(), []byte("{}"), 0); out.Outcome != api.ApplyUnknown || len(transport.sessions) != 1 {
			t.Errorf("%s after %d attempts", out.Outcome, len(transport.sessions))
		}
	})
}

func TestApplyIsRefusedWhenNodeIsUnreachable(t *testing.T) {
	refuse := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}}
	node := Client{BaseURL: "http://node", HTTP: &http.Client{Transport: refuse}}
	out := node.ApplyOnce(context.Background(), []byte("{}"), 7)
	if out.Outcome != api.ApplyRefused || out.Error.Code != api.OperatorNoAnswer {
		t.Errorf("%+v", out)
	}
}

// A response with a blank in the name of a field, or with a status below 100, must not tell
// an operator that a document is in force: the outcome is unknown.
func TestMalformedResponseOfTheNodeIsNotBelieved(t *testing.T) {
	accepted := encode(&api.ApplyResponse{Outcome: api.ApplyAccepted, Number: 8})
	for lines, want := range map[string]api.ApplyOutcome{
		"200 OK\r\nX-Y: 1": api.ApplyAccepted, "200 OK\r\nX Y: 1": api.ApplyUnknown, "200 OK\r\nContent-Length : 5": api.ApplyUnknown,
		"000 Odd": api.ApplyUnknown,
	} {
		s := rawserver.Start(t, func(*http.Request) (string, bool) {
			return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", lines, len(accepted), accepted), false
		})
		node := Client{BaseURL: "http://" + s.Address, HTTP: &http.Client{Transport: &http.Transport{}}}
		if out := node.ApplyOnce(context.Background(), []byte("{}"), 0); out.Outcome != want {
			t.Errorf("%q: %+v, want %s", lines, out, want)
		}
	}
}

func encode(out *api.ApplyResponse) string {
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return string(b)
}
