package state

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// commandFormat is the version of the encoding of commands.
const commandFormat = 1

const (
	// DrainKindServer is the DrainKey.Kind of a server, whose name is
	// "group/server".
	DrainKindServer = "server"
	// DrainKindProxy is the DrainKey.Kind of a proxy.
	DrainKindProxy = "proxy"
)

var (
	// ErrBadSnapshot is returned if a snapshot can't be encoded or decoded.
	ErrBadSnapshot = eris.New("snapshot of the control nodes' state can't be encoded or decoded")
	// ErrBadCommand is returned if a command or its result can't be encoded or
	// decoded. In its text, which operators see, "control" is the control
	// plane.
	ErrBadCommand = eris.New("command of control's state machine can't be read")
	// ErrNotLeader is returned if another node leads; nothing was proposed.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownOutcome is returned if the command may or may not have been
	// committed.
	ErrUnknownOutcome = eris.New("the outcome of the command is unknown")
)

type (
	// Command is a change of the state. Exactly one of its pointers is set.
	Command struct {
		Format int `json:"format"`
		// UnixMS is the time at which the leader proposed the command.
		UnixMS  int64              `json:"unix-ms"`
		Apply   *ApplyDeclarations `json:"apply,omitempty"`
		Members *SetMembers        `json:"members,omitempty"`
		Begin   *BeginTerm         `json:"begin,omitempty"`
		Commit  *CommitTerm        `json:"commit,omitempty"`
		Drain   *SetDrain          `json:"drain,omitempty"`
		Keys    *AddMarkKey        `json:"keys,omitempty"`
		Proxy   *SetProxy          `json:"proxy,omitempty"`
	}

	// ApplyDeclarations replaces the declarations if the version in force is
	// the expected one.
	ApplyDeclarations struct {
		Text     string          `json:"text"`
		Expect   cluster.Version `json:"expect"`
		ChangeID string          `json:"change-id"`
		Author   string          `json:"author"`
	}

	// SetMembers adds or updates servers of a group and removes others.
	SetMembers struct {
		Group  cluster.GroupName    `json:"group"`
		Set    []Member             `json:"set,omitempty"`
		Remove []cluster.ServerName `json:"forget,omitempty"`
	}

	// BeginTerm begins a new term of a group if the highest term begun so far
	// is ExpectHighest.
	BeginTerm struct {
		Group         cluster.GroupName `json:"group"`
		ExpectHighest cluster.Term      `json:"base"`
		// HighestPromised is the highest term that a server is known to have
		// promised, so that it refuses lower ones. The new term is higher.
		HighestPromised cluster.Term         `json:"above,omitempty"`
		Reason          Reason               `json:"reason"`
		Target          cluster.ServerName   `json:"target,omitempty"`
		Voters          []cluster.ServerName `json:"voters"`
	}

	// CommitTerm puts the pending term and its primary in force.
	CommitTerm struct {
		Group   cluster.GroupName  `json:"group"`
		Term    cluster.Term       `json:"term"`
		Primary cluster.ServerName `json:"primary"`
	}

	// SetDrain begins the drain of a server or proxy, or ends it if Undo is
	// set.
	SetDrain struct {
		Key  DrainKey `json:"key"`
		Undo bool     `json:"undo,omitempty"`
	}

	// AddMarkKey adds the key that signs session tokens from now on. The wire
	// and the stored data call these keys mark keys.
	AddMarkKey struct {
		Key string `json:"key"`
		// Newest is the newest key that the proposer knew. The command does
		// nothing if another key was added since.
		Newest string `json:"newest"`
	}

	// SetProxy registers a proxy, or removes one that has shut down.
	SetProxy struct {
		Proxy  Proxy `json:"proxy"`
		Remove bool  `json:"forget,omitempty"`
	}

	// Result is the result of a command.
	Result struct {
		// Done is false if a condition of the command didn't hold; Reason or
		// ApplyResult says which.
		Done        bool         `json:"done"`
		Reason      string       `json:"reason,omitempty"`
		ApplyResult *ApplyResult `json:"answer,omitempty"`
		// Term is the term that BeginTerm began or CommitTerm put in force, or
		// the highest term begun if another term came first.
		Term cluster.Term `json:"term,omitempty"`
	}
)

// Propose commits a command through the log and returns its result. Errors:
// ErrNotLeader, ErrUnknownOutcome, ErrBadCommand. In the texts of these errors,
// "encode" and "propose" refer to the command.
func Propose(ctx context.Context, log consensus.Log, command Command) (Result, error) {
	command.Format = commandFormat
	encoded, err := json.Marshal(command)
	if err != nil {
		return Result{}, eris.Wrap(errors.Join(ErrBadCommand, err), "encode")
	}
	encodedResult, err := log.Propose(ctx, encoded)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return Result{}, eris.Wrap(ErrNotLeader, "propose")
	case err != nil:
		return Result{}, eris.Wrap(errors.Join(ErrUnknownOutcome, err), "propose")
	}
	var result Result
	if err := json.Unmarshal(encodedResult, &result); err != nil {
		return Result{}, eris.Wrap(errors.Join(ErrBadCommand, err), "decode the result")
	}
	return result, nil
}

func cutDrainKey(text string) (kind, name string, ok bool) { return strings.Cut(text, ":") }
