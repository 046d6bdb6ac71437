package daemon

import (
	"strings"
	"testing"
)

func TestDeclarationsWithPlainKeysAreRefused(t *testing.T) {
	const before = "format: burdockwood-1\ncustomers: [{name: a, "
	if err := checkDeclarations(before + "key-digests: [AAECAwQFBgcICQoLDA0ODw]}]\n"); err != nil {
		t.Errorf("digests: got %v, want them accepted", err)
	}
	err := checkDeclarations(before + "keys: [a-secret-key]}]\n")
	if err == nil || strings.Contains(err.Error(), "a-secret-key") {
		t.Errorf("keys: got %v, want an error without the key", err)
	}
}
