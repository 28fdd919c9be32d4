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

// dataCentres of the demo.
const dataCentres = 3

// Shape of the demo's upstreams.
const (
	slots       = 10
	connections = 100
	workTime    = 2 * time.Millisecond
)

// Limits of the demo's routes.
const (
	timeLimit  = 2 * time.Second
	firstShare = 5
	// queueBase is the queue limit of the first timed document.
	queueBase = 16
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

// upstreamOf spreads services and versions over the hosts: the hosts of a
// service alternate between the old and the new version.
func upstreamOf(i int) upstream.Options {
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

// documentOf builds the demo's document. Each change differs in one limit.
func documentOf(change int, rollouts ...document.Rollout) document.Document {
	doc := document.Document{Rollouts: rollouts}
	for _, s := range services {
		doc.Services = append(doc.Services, document.Service{
			Name:     s.name,
			Versions: []string{oldVersion, newVersion},
			Current:  oldVersion,
			Limits:   document.Limits{Queue: queueBase + change},
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

func rolloutOf(service string, start, deadline time.Time) document.Rollout {
	return document.Rollout{
		Service:    service,
		From:       oldVersion,
		To:         newVersion,
		Start:      start.UTC(),
		Deadline:   deadline.UTC(),
		FirstShare: firstShare,
	}
}

func encode(doc document.Document) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return text, nil
}
