// Command review-standin plays one case of the review: it starts nodes as separate
// processes, stands in for the platform, the clients and the backends, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(record string) error{
	"extra-answer":        extraAnswer,
	"stray-answer":        strayAnswer,
	"large-configuration": largeConfiguration,
	"late-heartbeat":      lateHeartbeat,
	"odd-heartbeat":       oddHeartbeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		os.Exit(2)
	}()
	err := cases[os.Args[1]](os.Args[2])
	var b broken
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.As(err, &b):
		fmt.Println("the rule was broken:", b.text)
		os.Exit(1)
	default:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}
