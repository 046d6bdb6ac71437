package textedit_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/model/textedit"
)

func TestEditsApplyAndUndo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.StringMatching(`[ab]{0,12}`)
		source, target := texts.Draw(t, "source"), texts.Draw(t, "target")
		edit := textedit.New(source, target)
		if got, ok := edit.Apply(source); !ok || got != target {
			t.Fatalf("Apply: got %q, %v, want %q", got, ok, target)
		}
		undo, ok := edit.Undo(source)
		if !ok {
			t.Fatal("Undo: got false")
		}
		if got, ok := undo.Apply(target); !ok || got != source {
			t.Fatalf("undone: got %q, %v, want %q", got, ok, source)
		}
	})
}

func TestEditOfAnotherTextIsRefused(t *testing.T) {
	for _, edit := range []textedit.Edit{{Head: 4}, {Tail: 4}, {Head: 2, Tail: 2}, {Head: -1}, {Tail: -1}, {Head: 1 << 62, Tail: 1 << 62}} {
		if got, ok := edit.Apply("abc"); ok {
			t.Errorf("%+v: got %q, want it refused", edit, got)
		}
	}
}
