// Command daisytide is the command-line tool for operators and developers.
package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// app holds the node options and streams that all commands share.
type app struct {
	nodeOptions nodeOptions
	stdin       io.Reader
	stdout      io.Writer
	stderr      io.Writer
}

// run executes one command line and returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("daisytide", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "configuration distribution for a service mesh"
	p.LongDescription = "Exit codes: 0 done, 1 refused (the result code is printed), 2 wrong usage, 3 unknown outcome."
	_, err := p.AddGroup("Node options", "The node to talk to, and the credentials", &a.nodeOptions)
	mustSucceed(err)
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"validate", "check a document", "Checks a document by itself and, if a node is given, against the configuration in force. Every fault is printed with its line, its path in the document and its result code.", &validateCommand{app: a}},
		{"apply", "put a document in force", "Writes a document to the store through a node. If the reply is lost, the request is repeated under the same session.", &applyCommand{app: a}},
		{"get", "print the document in force", "Prints the document in force on the node.", &getCommand{app: a}},
		{"hosts", "list the hosts", "Lists the hosts that the node knows, with the configuration in force on each.", &hostsCommand{app: a}},
		{"rollouts", "list, follow or order moves", "Lists the moves between versions with their state, and gives orders to them.", &rolloutsCommand{app: a}},
		{"audit", "print the audit trail", "Prints who changed what and when, the newest entry last.", &auditCommand{app: a}},
		{"check-settings", "check a settings file of a node", "Checks a settings file of daisytided, with all files that it names. Every fault is printed with its line, key and result code.", &checkSettingsCommand{app: a}},
		{"explain", "follow a request through logs", "Reads the logs of several nodes and prints the path of one request in order of time, with the state that each node assumed then.", &explainCommand{app: a}},
		{"codes", "print the table of result codes", "Prints the table of result codes, the page docs/CODES.md.", &codesCommand{app: a}},
		{"version", "print the version", "Prints the version of this program.", &versionCommand{app: a}},
	} {
		_, err := p.AddCommand(c.name, c.short, c.long, c.command)
		mustSucceed(err)
	}
	addDemo(p)
	return exitCode(parse(p, args), stdout, stderr)
}

// mustSucceed panics on an invalid declaration of a command.
func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}
