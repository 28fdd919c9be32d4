package settings

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `[node]
region = r
data-centre = d
[callers]
listen = 127.0.0.1:8080
[peers]
listen = 127.0.0.1:8081
secret = sixteen-bytes-or-more
seeds = 127.0.0.1:9081
[operators]
listen = 127.0.0.1:8082
token = sixteen-bytes-or-more
[store]
address = http://127.0.0.1:9000
`

// goodWith returns the good settings with the first occurrence of old replaced.
func goodWith(old, line string) string { return strings.Replace(good, old, line, 1) }

func TestEveryFaultIsReportedWithItsLine(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"none":              {good, nil},
		"empty":             {"", []string{"0 node.region 2004", "0 node.data-centre 2004", "0 callers.listen 2004", "0 peers.listen 2004", "0 operators.listen 2004", "0 peers.secret 2004", "0 operators.token 2004", "0 store.address 2004"}},
		"unknown section":   {good + "[zone]\nname = x\n", []string{"15 zone 2002"}},
		"unknown keys":      {good + "retries = 3\nage = 4\n", []string{"15 store.retries 2002", "16 store.age 2002"}},
		"wrong units":       {good + "timeout = 5\nrate = fast\n", []string{"15 store.timeout 2003", "16 store.rate 2003"}},
		"out of range":      {good + "timeout = 1us\nrate = 0\n", []string{"15 store.timeout 2003", "16 store.rate 2003"}},
		"not INI":           {good + "timeout\n[upstream\nstop-grace = 1s\n", []string{"15 store 2001", "16  2001"}},
		"before a section":  {"region = r\n" + good, []string{"1  2001"}},
		"key twice":         {good + "address = http://127.0.0.1:9001\n", []string{"15 store.address 2005"}},
		"section twice":     {good + "[node]\nrack = q\n", []string{"15 node 2005"}},
		"same address":      {goodWith("8082", "8081"), []string{"11 operators.listen 2005"}},
		"any address":       {goodWith("127.0.0.1:8082", "0.0.0.0:8080"), []string{"11 operators.listen 2005"}},
		"peers on any":      {goodWith("127.0.0.1:8081", "0.0.0.0:8081"), []string{"7 peers.listen 2003"}},
		"host by name":      {goodWith("127.0.0.1:8080", "localhost:8080"), []string{"5 callers.listen 2003"}},
		"seed by name":      {goodWith("127.0.0.1:9081", "127.0.0.1:9081, seed:1, x"), []string{"9 peers.seeds 2003", "9 peers.seeds 2003"}},
		"short secret":      {goodWith("secret = sixteen-bytes-or-more", "secret = short"), []string{"8 peers.secret 2003"}},
		"empty value":       {goodWith("token = sixteen-bytes-or-more", "token ="), []string{"12 operators.token 2004"}},
		"not a URL":         {goodWith("http://127.0.0.1:9000", "127.0.0.1:9000"), []string{"14 store.address 2003"}},
		"missing files":     {goodWith("[operators]", "certificate = lacking.pem\nkey = lacking.key\n[operators]"), []string{"10 peers.certificate 2006", "11 peers.key 2006"}},
		"key alone":         {goodWith("[operators]", "key = settings.go\n[operators]"), []string{"10 peers.key 2005"}},
		"not a certificate": {goodWith("[operators]", "certificate = settings.go\nkey = settings.go\nauthorities = settings.go\n[operators]"), []string{"10 peers.certificate 2003", "12 peers.authorities 2003"}},
		"too long":          {good + strings.Repeat("; padding\n", maxFileBytes/8), []string{"0  2001"}},
	} {
		_, faults := Parse(c.text)
		var got []string
		for _, f := range faults {
			got = append(got, fmt.Sprintf("%d %s %d", f.Line, f.Path, f.Code))
		}
		if strings.Join(got, ", ") != strings.Join(c.want, ", ") {
			t.Errorf("%s: got %q, want %q (%v)", name, got, c.want, faults)
		}
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	s, faults := Parse(good+"timeout = 3s\n", "--store.timeout=2s", "--node.rack=q")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Store.Timeout != 2*time.Second || s.Node.Rack != "q" || s.Store.Rate != 2 || s.Upstream.StopGrace != 30*time.Second {
		t.Errorf("%+v", s)
	}
	_, faults = Parse(good, "--store.age=3", "--store.timeout", "fast", "--store.rate=0", "--callers.listen", "x", "word")
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%d %s %d", f.Line, f.Path, f.Code))
	}
	if want := "0 store.age 2002, 0 store.timeout 2003, 0 word 2002, 0 callers.listen 2003, 0 store.rate 2003"; strings.Join(got, ", ") != want {
		t.Errorf("wrong flags: got %q, want %q (%v)", got, want, faults)
	}
}

func TestExampleSettingsHaveNoFaults(t *testing.T) {
	files, err := filepath.Glob("../../../docs/examples/*.ini")
	if err != nil || len(files) < 2 {
		t.Fatalf("examples: %v %v", files, err)
	}
	for _, file := range files {
		if _, faults := Load(file); len(faults) > 0 {
			t.Errorf("%s: %v", file, faults)
		}
	}
}

func TestMissingSettingsFileIsReported(t *testing.T) {
	if _, faults := Load("lacking.ini"); len(faults) != 1 {
		t.Errorf("%v", faults)
	}
}

func TestUnsetSettingsGetDefaults(t *testing.T) {
	s, faults := Parse(good)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Store.Timeout != time.Second || s.Upstream.StopGrace != 30*time.Second {
		t.Errorf("store timeout %v, stop grace %v", s.Store.Timeout, s.Upstream.StopGrace)
	}
}
