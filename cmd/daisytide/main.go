// Command daisytide is the command line for operators and developers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/api"
)

// Exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// errUnknown marks an outcome that is not known.
var errUnknown = errors.New("the outcome is unknown")

func main() {
	p := flags.NewNamedParser("daisytide", flags.HelpFlag|flags.PassDoubleDash)
	addDemo(p)
	_, err := p.Parse()
	os.Exit(report(err))
}

// report prints err and gives the exit code.
func report(err error) int {
	var usage *flags.Error
	var refused *api.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		if usage.Type == flags.ErrHelp {
			return exitDone
		}
		return exitUsage
	case errors.Is(err, errUnknown):
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	case errors.As(err, &refused):
		fmt.Fprintln(os.Stderr, refused)
		for _, f := range refused.Faults {
			fmt.Fprintln(os.Stderr, "  "+f.String())
		}
		return exitRefused
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
}

// must ends the program on a wrong command declaration.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
