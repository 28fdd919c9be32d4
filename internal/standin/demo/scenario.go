package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/internal/standin/upstream"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Names of the demo's services and versions.
const (
	goodService = "status-desk"
	badService  = "credit-ledger"
	oldVersion  = "v1"
	newVersion  = "v2"
)

const dataCentres = 3

// Properties of the demo's upstreams.
const (
	slots       = 10
	connections = 100
	workTime    = 2 * time.Millisecond
)

// Limits of the demo's routes.
const (
	timeLimit  = 2 * time.Second
	firstShare = 5
	// baseQueueLimit is the queue limit in the first timed document.
	baseQueueLimit = 16
)

// service describes one service and its only route.
type service struct {
	name       string
	path       string
	method     string
	caller     document.Caller
	idempotent bool
}

var services = []service{
	{goodService, "/status", http.MethodGet, document.Buyer, true},
	{badService, "/credit", http.MethodPost, document.Clerk, false},
	{"bale-intake", "/bale", http.MethodPost, document.Driver, false},
}

// upstreamOptions distributes services and versions over the hosts: services
// round robin, and the hosts of a service alternate between the old and the new
// version.
func upstreamOptions(i int) upstream.Options {
	version := oldVersion
	if i/len(services)%2 == 1 {
		version = newVersion
	}
	return upstream.Options{
		Service:     services[i%len(services)].name,
		Version:     version,
		Slots:       slots,
		Connections: connections,
		WorkTime:    workTime,
	}
}

// buildDocument returns the demo's document. Documents of different changes differ
// in the queue limit.
func buildDocument(change int, rollouts ...document.Rollout) document.Document {
	doc := document.Document{Rollouts: rollouts}
	for _, s := range services {
		doc.Services = append(doc.Services, document.Service{
			Name:     s.name,
			Versions: []string{oldVersion, newVersion},
			Current:  oldVersion,
			Limits:   document.Limits{Queue: baseQueueLimit + change},
		})
		doc.Routes = append(doc.Routes, document.Route{
			Name:       s.name,
			Match:      document.Match{Prefix: s.path, Method: s.method},
			Service:    s.name,
			Idempotent: s.idempotent,
			TimeLimit:  document.Duration(timeLimit),
			Caller:     s.caller,
		})
	}
	return doc
}

func buildRollout(service string, start, deadline time.Time) document.Rollout {
	return document.Rollout{
		Service:    service,
		From:       oldVersion,
		To:         newVersion,
		Start:      start.UTC(),
		Deadline:   deadline.UTC(),
		FirstShare: firstShare,
	}
}

func encodeDocument(doc document.Document) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return text, nil
}
