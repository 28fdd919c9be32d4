package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

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

// unknownOutcome marks a numbered error after which the outcome is not known.
func unknownOutcome(err *api.Error) error { return &unknownOutcomeError{err: err} }

// notKnown is an error that leaves the outcome open.
type unknownOutcomeError struct{ err *api.Error }

// Error implements the error interface.
func (e *unknownOutcomeError) Error() string { return e.err.Error() }

// Unwrap returns the numbered error.
func (e *unknownOutcomeError) Unwrap() error { return e.err }

// usage makes an error of a wrong command line.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: message}
}

// report prints err and gives the exit code.
func exitCode(err error, stdout, stderr io.Writer) int {
	var wrong *flags.Error
	var open *unknownOutcomeError
	var refused *api.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, wrong.Message)
		return exitDone
	case errors.As(err, &wrong):
		fmt.Fprintln(stderr, wrong.Message)
		return exitUsage
	case errors.As(err, &open):
		fmt.Fprintln(stderr, "the outcome is unknown:", open)
		return exitUnknown
	case errors.As(err, &refused):
		fmt.Fprintln(stderr, refused)
		for _, f := range refused.Faults {
			fmt.Fprintln(stderr, "  "+f.String())
		}
		return exitRefused
	default:
		fmt.Fprintln(stderr, err)
		return exitRefused
	}
}

// jsonOption is the option of commands with output.
type jsonOption struct {
	JSON bool `long:"json" description:"print JSON"`
}

// failed prints err as JSON when that is asked for, and passes it on.
func (o jsonOption) reportFailure(w io.Writer, err error) error {
	var refused *api.Error
	if o.JSON && errors.As(err, &refused) {
		_ = printJSON(w, refused)
	}
	return err
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
