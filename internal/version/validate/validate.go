// Package validate checks what a decoded document says, alone and against the
// configuration in force.
package validate

import (
	"fmt"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Document returns every fault of doc taken alone.
func Document(doc *document.Document) []api.Fault {
	var faults []api.Fault
	services := map[string]document.Service{}
	for _, s := range doc.Services {
		services[s.Name] = s
	}
	for i, r := range doc.Routes {
		if _, ok := services[r.Service]; !ok {
			faults = append(faults, api.Fault{
				Code:    api.DocumentNoService,
				Path:    fmt.Sprintf("routes[%d].service", i),
				Message: fmt.Sprintf("no service is named %q", r.Service),
			})
		}
	}
	return faults
}

// Change returns every fault of replacing inForce, which may be nil, by doc.
// ended tells whether the move of a service that runs under inForce has ended.
func Change(inForce, doc *document.Document, ended func(service string) bool) []api.Fault {
	return nil
}
