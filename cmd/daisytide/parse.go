package main

import (
	"errors"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

// parse reads a command line and runs its command. go-flags stops at the first
// wrong flag; that one is then left out and the rest read again, so that every
// fault is named, and no command runs.
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
		var wrong *flags.Error
		if !errors.As(err, &wrong) || wrong.Type == flags.ErrHelp {
			return joinUsageErrors(faults, err)
		}
		fewer := withoutFlag(args, wrong)
		if len(fewer) == len(args) {
			return joinUsageErrors(append(faults, wrong.Message), err)
		}
		faults = append(faults, wrong.Message)
		args = fewer
	}
}

// wrongUsage joins the faults of a command line; without any it passes err on.
func joinUsageErrors(faults []string, err error) error {
	if len(faults) == 0 {
		return err
	}
	return usageError(strings.Join(faults, "\n"))
}

// without leaves out the flag that an error names, with its value where the
// value is what is wrong.
func withoutFlag(args []string, wrong *flags.Error) []string {
	_, rest, _ := strings.Cut(wrong.Message, "`")
	name, _, found := strings.Cut(rest, "'")
	name = strings.TrimLeft(name, "-")
	at := slices.IndexFunc(args, func(a string) bool {
		flag, _, _ := strings.Cut(a, "=")
		return found && strings.HasPrefix(a, "-") && strings.TrimLeft(flag, "-") == name
	})
	switch {
	case at < 0:
		return args
	case wrong.Type == flags.ErrMarshal && !strings.Contains(args[at], "=") && at+1 < len(args):
		return slices.Concat(args[:at], args[at+2:])
	case wrong.Type == flags.ErrMarshal, wrong.Type == flags.ErrUnknownFlag, wrong.Type == flags.ErrExpectedArgument:
		return slices.Concat(args[:at], args[at+1:])
	}
	return args
}
