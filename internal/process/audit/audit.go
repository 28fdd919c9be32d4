// Package audit keeps the audit trail: who changed what and when, from which
// configuration to which, and with what outcome.
package audit

import (
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
)

const logPrefix = "audit: "

// Recorder records audit entries. Record does not wait for the store.
type Recorder interface {
	Record(e api.AuditEntry)
}

// LogRecorder writes entries to the log only.
type LogRecorder struct{}

// Record implements Recorder.
func (LogRecorder) Record(e api.AuditEntry) {
	klog.Infof(logPrefix+"%s by %q, %d to %d: %s", e.Action, e.Operator, e.From, e.To, e.Outcome)
}
