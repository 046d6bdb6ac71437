package build

import (
	"bytes"
	"strings"
	"testing"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

func TestRegister(t *testing.T) {
	registry := metrics.NewRegistry()
	Register(registry)
	var out bytes.Buffer
	if err := metrics.WritePrometheus(&out, registry); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), `version="`+Version()+`"} 1`; !strings.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
}
