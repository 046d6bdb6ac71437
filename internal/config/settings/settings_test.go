package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/config/settings"
)

func validProxyArgs() []string {
	return []string{"--name=p1", "--data-centre", "perth-a", "--listen", "127.0.0.1:6432", "--control", "127.0.0.1:7400", "--control=127.0.0.1:7401"}
}

func TestParseSources(t *testing.T) {
	var options settings.Proxy
	environment := []string{"BURDOCKWOOD_DEADLINE=3s", "BURDOCKWOOD_CONTROL=127.0.0.1:1", "BURDOCKWOOD_DATA=/x", "HOME=/root"}
	parsed, problems := settings.Parse(&options, validProxyArgs(), environment)
	problems = problems.With(options.Check())
	if len(problems) > 0 {
		t.Fatalf("problems: got %v, want none", problems)
	}
	if got, want := options.Deadline, 3*time.Second; got != want {
		t.Errorf("deadline: got %v, want %v", got, want)
	}
	if got, want := options.Control, []string{"127.0.0.1:7400", "127.0.0.1:7401"}; !slices.Equal(got, want) {
		t.Errorf("control: got %v, want %v", got, want)
	}
	var printed strings.Builder
	if err := settings.Print(&printed, parsed); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"name\tp1\tflag\n", "deadline\t3s\tBURDOCKWOOD_DEADLINE\n", "max-callers\t10000\tdefault\n"} {
		if got := printed.String(); !strings.Contains(got, want) {
			t.Errorf("printed: got %q, want %q in it", got, want)
		}
	}
}

func TestParseSplitsListVariables(t *testing.T) {
	var options settings.Control
	_, problems := settings.Parse(&options, []string{"verb"}, []string{"BURDOCKWOOD_PEERS=a=127.0.0.1:1, b=127.0.0.1:2"})
	if got, want := options.Peers, []string{"a=127.0.0.1:1", "b=127.0.0.1:2"}; len(problems) > 0 || !slices.Equal(got, want) {
		t.Errorf("peers: got %v (%v), want %v", got, problems, want)
	}
}

func TestProxySettingsProblems(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name        string
		args        []string
		environment []string
		want        []string
	}{
		{"unknown flags", []string{"--lisen=x", "--zzzzzzzzzzzzz"}, nil, []string{"--lisen: is not a known flag (did you mean --listen?)", "--zzzzzzzzzzzzz: is not a known flag (known: "}},
		{"unknown variable", nil, []string{"BURDOCKWOOD_DEADLIN=1s"}, []string{"BURDOCKWOOD_DEADLIN: is not a known environment variable (did you mean BURDOCKWOOD_DEADLINE?)"}},
		{"malformed variable", nil, []string{"BURDOCKWOOD_DEADLINE=5"}, []string{`BURDOCKWOOD_DEADLINE: `}},
		{"missing value", []string{"--admin"}, nil, []string{"--admin: needs a value"}},
		{"several problems reported together", []string{"--max-callers=many", "--deadline=1y", "--log-level=inf", "--admin=localhost:1"}, nil, []string{"--max-callers: ", "--deadline: ", `--log-level: "inf" is not a level (did you mean info?)`, `--admin: "localhost:1" is not IP:port`}},
		{"certificate without key", []string{"--tls-cert=x"}, nil, []string{"--tls-key: is missing beside --tls-cert"}},
		{"unreadable key file", []string{"--key-file=/none/such"}, nil, []string{"--key-file: can't read /none/such: no such file"}},
		{"empty key file", []string{"--key-file=" + empty}, nil, []string{"--key-file: " + empty + " is empty"}},
		{"values out of range", []string{"--deadline=2h", "--max-callers=0"}, nil, []string{"--deadline: 2h0m0s is out of range", "--max-callers: 0 is out of range"}},
		{"admin and listen address equal", []string{"--admin=127.0.0.1:6432"}, nil, []string{"--admin: 127.0.0.1:6432 is the address of --listen too"}},
		{"some of the internal TLS settings missing", []string{"--internal-cert=x"}, nil, []string{"--internal-key: is missing", "--internal-ca: is missing"}},
		{"missing peer address that others can't reach", []string{"--control=10.0.0.1:7400"}, nil, []string{"--peer: other proxies can't reach this one"}},
		{"unspecified peer address", []string{"--peer=0.0.0.0:1"}, nil, []string{"--peer: 0.0.0.0:1 is no address that others can reach"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var options settings.Proxy
			_, problems := settings.Parse(&options, append(validProxyArgs(), test.args...), test.environment)
			compareProblems(t, problems.With(options.Check()), test.want)
		})
	}
}

func TestControlSettingsProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	validArgs := []string{"--name=a", "--listen=127.0.0.1:1", "--data=" + t.TempDir(), "--peer=b=127.0.0.1:2"}
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"data is not a folder", []string{"--peer=a=127.0.0.1:1", "--data=" + file}, []string{"--data: " + file + " is not a folder"}},
		{"not among peers", nil, []string{`--peer: this node, "a", is not among the peers (add a=127.0.0.1:1)`}},
		{"address contradicts --listen", []string{"--peer=a=127.0.0.1:9"}, []string{"--peer: a=127.0.0.1:9 contradicts --listen 127.0.0.1:1"}},
		{"duplicate name", []string{"--peer=a=127.0.0.1:1", "--peer=b=127.0.0.1:3"}, []string{`--peer: the name "b" is given twice`}},
		{"malformed peer", []string{"--peer=a=127.0.0.1:1", "--peer=c"}, []string{`--peer: "c" is not name=IP:port`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var options settings.Control
			_, problems := settings.Parse(&options, append(slices.Clone(validArgs), test.args...), nil)
			compareProblems(t, problems.With(options.Check()), test.want)
		})
	}
}

func compareProblems(t *testing.T, problems settings.Problems, want []string) {
	t.Helper()
	if len(problems) != len(want) {
		t.Fatalf("problems: got %v, want %v", problems, want)
	}
	for i := range want {
		if got := problems[i].String(); !strings.HasPrefix(got, want[i]) {
			t.Errorf("problem: got %q, want %q at its start", got, want[i])
		}
	}
}
