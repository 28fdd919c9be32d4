// Package quiet keeps the nodes' logs out of the output of demos, benchmarks and
// tests.
package quiet

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

// DiscardLogs discards everything that the process logs through klog from now on.
func DiscardLogs() {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "false")
	_ = set.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}
