package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// serviceCount is the number of services. It is that of the target fleet at every
// fleet size.
const serviceCount = 36

// onlyVersion is the version of every upstream in the fleet.
const onlyVersion = "v1"

// Limits of the fleet's routes.
const (
	routeTimeLimit = 2 * time.Second
	// baseQueueLimit is the queue limit in the first document.
	baseQueueLimit = 16
)

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i%serviceCount) }

func servicePath(i int) string { return "/" + serviceName(i) }

// encodeDocument returns a document with all services and one route for each.
// Documents with different numbers change differ in one queue limit.
func encodeDocument(change int) ([]byte, error) {
	var doc document.Document
	for i := range serviceCount {
		doc.Services = append(doc.Services, document.Service{
			Name:     serviceName(i),
			Versions: []string{onlyVersion},
			Current:  onlyVersion,
			Limits:   document.Limits{Queue: baseQueueLimit},
		})
		doc.Routes = append(doc.Routes, document.Route{
			Name:       serviceName(i),
			Match:      document.Match{Prefix: servicePath(i)},
			Service:    serviceName(i),
			Idempotent: true,
			TimeLimit:  document.Duration(routeTimeLimit),
			Caller:     document.Buyer,
		})
	}
	doc.Services[change%serviceCount].Limits.Queue = baseQueueLimit + 1 + change
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return text, nil
}
