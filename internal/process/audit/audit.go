// Package audit keeps the trail of changes: who changed what, when, from which
// configuration to which, and with what outcome.
package audit

import (
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
)

const logPrefix = "audit: "

// Recorder takes entries of the trail. Record does not wait for the store.
type Recorder interface {
	Record(e api.AuditEntry)
}

// LogRecorder records entries in the log alone.
type LogRecorder struct{}

// Record implements Recorder.
func (LogRecorder) Record(e api.AuditEntry) {
	klog.Infof(logPrefix+"%s by %q, %d to %d: %s", e.Action, e.Operator, e.From, e.To, e.Outcome)
}
