package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"
)

const logPrefix = "settings: "

// pollInterval is how often the file is compared: it may change without a
// signal, and reading a few hundred bytes is cheap.
const pollInterval = 3 * time.Second

// Watch reads the settings file on each signal and every pollInterval, and
// passes changed settings to apply until ctx ends. Settings with a fault are not
// applied, and their faults are logged. The content at the time of the call is
// not applied.
func Watch(ctx context.Context, path string, overrides []string, signals <-chan os.Signal, apply func(*Settings)) error {
	last, err := os.ReadFile(path)
	if err != nil {
		klog.Warningf(logPrefix+"%v", err)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			klog.Info(logPrefix + "reading the file again on a signal")
		case <-time.After(pollInterval):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			klog.Warningf(logPrefix+"the previous settings stay in force: %v", err)
			continue
		}
		if bytes.Equal(text, last) {
			continue
		}
		last = text
		next, faults := Parse(string(text), overrides...)
		for _, f := range faults {
			klog.Errorf(logPrefix+"the previous settings stay in force: %s: %s", path, f)
		}
		if len(faults) == 0 {
			klog.Info(logPrefix + "applying the changed settings")
			apply(next)
		}
	}
}
