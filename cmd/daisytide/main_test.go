package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/standin/cluster"
	"github.com/daisytide/daisytide/internal/version/document"
)

const (
	wrongDocuments = "../../internal/version/validate/testdata/wrong/"
	example        = "../../docs/examples/coral-tt-north.json"
)

// runCommand runs one command line with the DAISYTIDE_ variables unset.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	for _, name := range []string{"NODE", "TOKEN", "OPERATOR", "CLIENT_FILE", "AUTHORITIES", "CERTIFICATE", "KEY", "TIMEOUT"} {
		t.Setenv("DAISYTIDE_"+name, "")
		os.Unsetenv("DAISYTIDE_" + name)
	}
	var out, errs bytes.Buffer
	code = run(args, strings.NewReader(""), &out, &errs)
	return code, out.String(), errs.String()
}

func TestValidateReportsEveryFaultOfAnInvalidDocument(t *testing.T) {
	text, err := os.ReadFile(wrongDocuments + "expected.txt")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for line := range strings.Lines(string(text)) {
		var number int
		name, fault, _ := strings.Cut(strings.TrimSpace(line), ": ")
		fields := strings.Split(fault, " ")
		if _, err := fmt.Sscan(fields[2], &number); err != nil {
			t.Fatal(err)
		}
		prefix := "line " + fields[0] + ": "
		if fields[1] != "" {
			prefix += fields[1] + ": "
		}
		if files[name] == "" {
			code, _, stderr := runCommand(t, "validate", wrongDocuments+name+".json")
			if code != exitRefused {
				t.Errorf("%s: exit code %d", name, code)
			}
			files[name] = stderr
		}
		if want := prefix + api.Code(number).String() + ": "; !strings.Contains(files[name], want) {
			t.Errorf("%s: missing %q in\n%s", name, want, files[name])
		}
	}
	if len(files) < 20 {
		t.Errorf("only %d invalid documents, want at least 20", len(files))
	}
}

func TestValidateRefusesADocumentOverTheLimit(t *testing.T) {
	file := filepath.Join(t.TempDir(), "large.json")
	text := `{"services":[],"routes":[]}` + strings.Repeat(" ", document.MaxBytes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, stderr := runCommand(t, "validate", file); code != exitRefused || !strings.Contains(stderr, "1003") {
		t.Errorf("exit code %d: %s", code, stderr)
	}
}

func TestExitCodesOfCommandLines(t *testing.T) {
	for line, want := range map[string]int{
		"":                                  exitUsage,
		"--help":                            exitDone,
		"apply --help":                      exitDone,
		"sail":                              exitUsage,
		"version":                           exitDone,
		"version more":                      exitUsage,
		"version --loud":                    exitUsage,
		"codes --json":                      exitDone,
		"validate":                          exitUsage,
		"validate lacking.json":             exitUsage,
		"validate " + example:               exitDone,
		"check-settings lacking.ini":        exitRefused,
		"hosts":                             exitUsage,
		"hosts --node 127.0.0.1 --token x":  exitUsage,
		"hosts --client-file lacking.ini":   exitRefused,
		"rollouts --pause a --resume b":     exitUsage,
		"apply --base x " + example:         exitUsage,
		"check-settings ../../go.mod":       exitRefused,
		"hosts --client-file ../../go.mod":  exitRefused,
		"validate --client-file x.ini nope": exitUsage,
		"check-settings ../../docs/examples/himal-bagmati.ini": exitDone,
	} {
		if code, _, stderr := runCommand(t, strings.Fields(line)...); code != want {
			t.Errorf("daisytide %s: exit code %d, want %d: %s", line, code, want, stderr)
		}
	}
}

func TestAllInvalidFlagsAreReportedAndNoCommandRuns(t *testing.T) {
	code, stdout, stderr := runCommand(t, "codes", "--loud", "--timeout", "soon", "--operator")
	if code != exitUsage || stdout != "" {
		t.Errorf("exit code %d, output %q", code, stdout)
	}
	for _, want := range []string{"`loud'", "`--timeout'", "`--operator'"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("missing %s in %q", want, stderr)
		}
	}
}

func TestOperatorCommandsAgainstACluster(t *testing.T) {
	ctx := context.Background()
	c, err := cluster.Start(ctx, cluster.Config{Nodes: 3, DataCentres: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "client.ini")
	ini := "[client]\nnode = " + c.Hosts[1].OperatorBase() + "\ntoken = " + cluster.Token + "\noperator = ann\n"
	if err := os.WriteFile(file, []byte(ini), 0o600); err != nil {
		t.Fatal(err)
	}
	do := func(want int, args ...string) (string, string) {
		t.Helper()
		code, stdout, stderr := runCommand(t, append([]string{"--client-file", file}, args...)...)
		if code != want {
			t.Fatalf("daisytide %v: exit code %d, want %d\n%s%s", args, code, want, stdout, stderr)
		}
		return stdout, stderr
	}
	if _, stderr := do(exitRefused, "get"); !strings.Contains(stderr, "4007") {
		t.Errorf("get before the first document: %s", stderr)
	}
	stdout, stderr := do(exitDone, "apply", "--wait", example)
	if !strings.Contains(stdout, "accepted as configuration 1\n  + service status-desk") || !strings.Contains(stderr, "on 3 of 3 hosts") {
		t.Errorf("apply: %s%s", stdout, stderr)
	}
	if stdout, _ = do(exitDone, "hosts"); !strings.Contains(stdout, "configuration 1 is in force on 3 of 3 hosts") {
		t.Errorf("hosts: %s", stdout)
	}
	stdout, _ = do(exitDone, "get", "--json")
	var cfg api.ConfigResponse
	if err := json.Unmarshal([]byte(stdout), &cfg); err != nil || cfg.Number != 1 || cfg.Operator != "ann" {
		t.Errorf("get: %+v %v", cfg, err)
	}
	if stdout, _ = do(exitDone, "validate", example); !strings.Contains(stdout, "valid against configuration 1") {
		t.Errorf("validate: %s", stdout)
	}
	do(exitDone, "apply", "../../docs/examples/himal-bagmati.json")
	if _, stderr = do(exitRefused, "apply", "--base", "1", example); !strings.Contains(stderr, "3002") || !strings.Contains(stderr, "configuration 2 by ann") || !strings.Contains(stderr, "- service roster") {
		t.Errorf("conflict: %s", stderr)
	}
	if _, stderr = do(exitRefused, "hosts", "--token", "wrong"); !strings.Contains(stderr, "3001") {
		t.Errorf("wrong token: %s", stderr)
	}
	if _, stderr = do(exitRefused, "rollouts", "--pause", "status-desk"); !strings.Contains(stderr, "3005") {
		t.Errorf("order for a service without a rollout: %s", stderr)
	}
	do(exitDone, "rollouts", "--follow")
	if stdout, _ = do(exitDone, "audit"); !strings.Contains(stdout, "apply by ann, configuration 2: conflict: 3002") || !strings.Contains(stdout, "+ service status-desk") {
		t.Errorf("audit: %s", stdout)
	}
}

func TestExplainPrintsTheRequestPathWithoutExponents(t *testing.T) {
	log := filepath.Join(t.TempDir(), "node-1.log")
	text := `{"time":"2026-12-04T10:00:00Z","level":"INFO","msg":"upstreams: instance changed","instance":"i-1","born":1768326472880}
{"time":"2026-12-04T10:00:01Z","level":"INFO","msg":"request at gate","request":"r1","code":"4003 call-shed","need_ms":130,"left_ms":119}
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := runCommand(t, "explain", "r1", log)
	for _, want := range []string{"node-1 request at gate code=4003 call-shed left_ms=119 need_ms=130", "since 10:00:00.000: upstreams: instance changed born=1768326472880"} {
		if code != 0 || !strings.Contains(stdout, want) {
			t.Errorf("exit code %d, missing %q in\n%s%s", code, want, stdout, stderr)
		}
	}
	if code, _, _ := runCommand(t, "explain", "r2", log); code == 0 {
		t.Error("exit code 0 for a request without a log line")
	}
}

// Guards against an evacuation that the list of hosts does not show.
func TestHostsShowsEvacuatedDataCentres(t *testing.T) {
	out := api.HostsResponse{Number: 3, Hosts: []api.Host{{Address: "10.0.0.1:1", DataCentre: "a", Number: 3}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(out); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	hosts := func() string {
		code, stdout, stderr := runCommand(t, "hosts", "--node", server.URL, "--token", "operators-have-this-token", "--operator", "ann")
		if code != exitDone {
			t.Fatalf("exit code %d: %s", code, stderr)
		}
		return stdout
	}
	if stdout := hosts(); strings.Contains(stdout, "evacuated") {
		t.Errorf("without an evacuation: %s", stdout)
	}
	out.Evacuated = []string{"a", "b"}
	if stdout := hosts(); !strings.Contains(stdout, "\nevacuated: a, b\n") {
		t.Errorf("with two evacuated data centres: %s", stdout)
	}
}
