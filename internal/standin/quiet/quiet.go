// Package quiet keeps the nodes' logs out of what a demo, benchmark or test
// prints.
package quiet

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

// Logs drops whatever the parts of the process log from now on.
func DiscardLogs() {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "false")
	_ = set.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}
