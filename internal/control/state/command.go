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
	// DrainServer is the kind of a drained server, named "group/server".
	DrainServer = "server"
	// DrainProxy is the kind of a drained proxy.
	DrainProxy = "proxy"
)

var (
	// ErrBadSnapshot tells that a snapshot can't be read.
	ErrBadSnapshot = eris.New("snapshot of control's state can't be read")
	// ErrBadCommand tells that a command or result can't be read.
	ErrBadCommand = eris.New("command of control's state machine can't be read")
	// ErrNotLeader tells that nothing was proposed: another node leads.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownOutcome tells that the command may or may not be committed.
	ErrUnknownOutcome = eris.New("the outcome of the command is unknown")
)

type (
	// Command is a change of the state; exactly one pointer is set.
	Command struct {
		Format int `json:"format"`
		// UnixMS is the leader's time when it proposed the command.
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

	// SetMembers sets the facts of servers of a group and forgets others.
	SetMembers struct {
		Group  cluster.GroupName    `json:"group"`
		Set    []Member             `json:"set,omitempty"`
		Remove []cluster.ServerName `json:"forget,omitempty"`
	}

	// BeginTerm begins the term after the highest one, if that is still Base.
	BeginTerm struct {
		Group         cluster.GroupName `json:"group"`
		ExpectHighest cluster.Term      `json:"base"`
		// HighestPromised is a term that a server is known to have promised: the new
		// term is higher.
		HighestPromised cluster.Term         `json:"above,omitempty"`
		Reason          Reason               `json:"reason"`
		Target          cluster.ServerName   `json:"target,omitempty"`
		Voters          []cluster.ServerName `json:"voters"`
	}

	// CommitTerm puts the pending term in force with its primary.
	CommitTerm struct {
		Group   cluster.GroupName  `json:"group"`
		Term    cluster.Term       `json:"term"`
		Primary cluster.ServerName `json:"primary"`
	}

	// SetDrain begins or ends the drain of a server or proxy.
	SetDrain struct {
		Key  DrainKey `json:"key"`
		Undo bool     `json:"undo,omitempty"`
	}

	// AddMarkKey adds the key that signs marks from now on.
	AddMarkKey struct {
		Key string `json:"key"`
		// Newest is the newest key that the proposer knew.
		Newest string `json:"newest"`
	}

	// SetProxy registers a proxy or forgets one that has left.
	SetProxy struct {
		Proxy  Proxy `json:"proxy"`
		Remove bool  `json:"forget,omitempty"`
	}

	// Result is what a command did.
	Result struct {
		// Done is false if the command's condition didn't hold.
		Done        bool         `json:"done"`
		Reason      string       `json:"reason,omitempty"`
		ApplyResult *ApplyResult `json:"answer,omitempty"`
		// Term is the term that BeginTerm began.
		Term cluster.Term `json:"term,omitempty"`
	}
)

// Propose commits a command through the log and returns what it did.
func Propose(ctx context.Context, log consensus.Log, command Command) (Result, error) {
	command.Format = commandFormat
	encoded, err := json.Marshal(command)
	if err != nil {
		return Result{}, eris.Wrap(errors.Join(ErrBadCommand, err), "encode")
	}
	answer, err := log.Propose(ctx, encoded)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return Result{}, eris.Wrap(ErrNotLeader, "propose")
	case err != nil:
		return Result{}, eris.Wrap(errors.Join(ErrUnknownOutcome, err), "propose")
	}
	var result Result
	if err := json.Unmarshal(answer, &result); err != nil {
		return Result{}, eris.Wrap(errors.Join(ErrBadCommand, err), "decode the result")
	}
	return result, nil
}

func cutKey(text string) (kind, name string, ok bool) { return strings.Cut(text, ":") }
