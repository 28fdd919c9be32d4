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

// unknownOutcome marks an error after which the outcome of the request is unknown.
func unknownOutcome(err *api.Error) error { return &unknownOutcomeError{err: err} }

// unknownOutcomeError is an error after which the outcome of a request is unknown.
type unknownOutcomeError struct{ err *api.Error }

// Error implements the error interface.
func (e *unknownOutcomeError) Error() string { return e.err.Error() }

// Unwrap returns the error with its result code.
func (e *unknownOutcomeError) Unwrap() error { return e.err }

// usageError returns an error for an invalid command line.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: message}
}

// exitCode prints err and returns the exit code for it.
func exitCode(err error, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	var unknown *unknownOutcomeError
	var refused *api.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return exitDone
	case errors.As(err, &flagErr):
		fmt.Fprintln(stderr, flagErr.Message)
		return exitUsage
	case errors.As(err, &unknown):
		fmt.Fprintln(stderr, "the outcome is unknown:", unknown)
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

// jsonOption is the flag shared by commands with JSON output.
type jsonOption struct {
	JSON bool `long:"json" description:"print JSON"`
}

// reportFailure prints err as JSON if --json is given, and returns it.
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
