package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"
)

const logPrefix = "settings: "

// lookEvery is how often the file is compared: a change may come without a
// signal, and reading a few hundred bytes costs little.
const pollInterval = 3 * time.Second

// Watch reads the settings file again on each signal, and when it has changed,
// and gives new settings to apply until ctx ends. Settings with a fault change
// nothing. The file as it stands counts as known.
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
			klog.Info(logPrefix + "told to read the file again")
		case <-time.After(pollInterval):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			klog.Warningf(logPrefix+"what was read before stays in force: %v", err)
			continue
		}
		if bytes.Equal(text, last) {
			continue
		}
		last = text
		next, faults := Parse(string(text), overrides...)
		for _, f := range faults {
			klog.Errorf(logPrefix+"what was read before stays in force: %s: %s", path, f)
		}
		if len(faults) == 0 {
			klog.Info(logPrefix + "changed settings are in force")
			apply(next)
		}
	}
}
