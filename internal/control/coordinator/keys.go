package coordinator

import (
	"crypto/rand"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/state"
)

const (
	// KeyLifetime is the time after which session tokens are signed with a new
	// key. An earlier key stays valid for two lifetimes more, because the newest
	// state.MaxMarkKeys keys are valid.
	KeyLifetime = 24 * time.Hour

	// keyRetryDelay is the shortest time between two proposals of a key.
	keyRetryDelay = time.Second
)

// loadKeys updates the keys from the committed state.
func (c *Coordinator) loadKeys(view *state.State) {
	if slices.Equal(view.MarkKeys, c.keys) {
		return
	}
	c.keys = view.MarkKeys
	c.keysRevision = c.nextRevision()
}

// rotateKeys proposes a new key if the newest is older than KeyLifetime or
// there is none.
func (c *Coordinator) rotateKeys(now time.Time) {
	view := c.stateMachine.View()
	age := now.Sub(time.UnixMilli(view.KeyUnixMS))
	if (len(view.MarkKeys) > 0 && age < KeyLifetime) || now.Before(c.nextKeyProposal) {
		return
	}
	c.nextKeyProposal = now.Add(keyRetryDelay)
	command := &state.AddMarkKey{Key: rand.Text()}
	if len(view.MarkKeys) > 0 {
		command.Newest = view.MarkKeys[0]
	}
	c.enqueue(Action{Command: &state.Command{UnixMS: now.UnixMilli(), Keys: command}})
}
