package coordinator

import (
	"crypto/rand"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/state"
)

const (
	// KeyLifetime is the time after which marks are signed with a new key.
	// The keys before stay valid for MaxMarkKeys-1 lifetimes more.
	KeyLifetime = 24 * time.Hour

	keyPause = time.Second
)

// takeKeys follows the committed keys.
func (c *Coordinator) takeKeys(view *state.State) {
	if slices.Equal(view.MarkKeys, c.keys) {
		return
	}
	c.keys = view.MarkKeys
	c.keysRevision = c.bump()
}

// tickKeys proposes a new key when the newest is too old.
func (c *Coordinator) tickKeys(now time.Time) {
	view := c.machine.View()
	age := now.Sub(time.UnixMilli(view.KeyUnixMS))
	if (len(view.MarkKeys) > 0 && age < KeyLifetime) || now.Before(c.keyDue) {
		return
	}
	c.keyDue = now.Add(keyPause)
	command := &state.AddMarkKey{Key: rand.Text()}
	if len(view.MarkKeys) > 0 {
		command.Newest = view.MarkKeys[0]
	}
	c.enqueue(Action{Command: &state.Command{UnixMS: now.UnixMilli(), Keys: command}})
}
