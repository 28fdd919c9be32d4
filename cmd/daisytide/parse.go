package main

import (
	"errors"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

// parse parses a command line and runs its command. go-flags stops at the first
// invalid flag; parse removes it and parses the rest again, so that all invalid
// flags are reported. No command runs in that case.
func parse(p *flags.Parser, args []string) error {
	var faults []string
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		switch {
		case len(faults) > 0 || c == nil:
			return nil
		case len(rest) > 0:
			return usageError("unexpected argument " + rest[0])
		}
		return c.Execute(rest)
	}
	for {
		_, err := p.ParseArgs(args)
		var flagErr *flags.Error
		if !errors.As(err, &flagErr) || flagErr.Type == flags.ErrHelp {
			return joinUsageErrors(faults, err)
		}
		remaining := withoutFlag(args, flagErr)
		if len(remaining) == len(args) {
			return joinUsageErrors(append(faults, flagErr.Message), err)
		}
		faults = append(faults, flagErr.Message)
		args = remaining
	}
}

// joinUsageErrors returns one error for all faults of a command line, or err if
// there are none.
func joinUsageErrors(faults []string, err error) error {
	if len(faults) == 0 {
		return err
	}
	return usageError(strings.Join(faults, "\n"))
}

// withoutFlag removes the flag that an error names from args, and its value too if
// the value is invalid.
func withoutFlag(args []string, flagErr *flags.Error) []string {
	_, rest, _ := strings.Cut(flagErr.Message, "`")
	name, _, found := strings.Cut(rest, "'")
	name = strings.TrimLeft(name, "-")
	at := slices.IndexFunc(args, func(a string) bool {
		flag, _, _ := strings.Cut(a, "=")
		return found && strings.HasPrefix(a, "-") && strings.TrimLeft(flag, "-") == name
	})
	switch {
	case at < 0:
		return args
	case flagErr.Type == flags.ErrMarshal && !strings.Contains(args[at], "=") && at+1 < len(args):
		return slices.Concat(args[:at], args[at+2:])
	case flagErr.Type == flags.ErrMarshal, flagErr.Type == flags.ErrUnknownFlag, flagErr.Type == flags.ErrExpectedArgument:
		return slices.Concat(args[:at], args[at+1:])
	}
	return args
}
