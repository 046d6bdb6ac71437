package declarations

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os/user"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const changeIDHashBytes = 12

var errRefused = eris.New("control refused the change")

// NewApplyRequest returns the request to replace the given version of the
// declarations by next. If changeID is empty, the change's identifier is a hash
// of the request's content, so that repeating a command repeats the same change.
// If the author is empty, it is the name of the process's user.
func NewApplyRequest(next *declaration.Declarations, version uint64, changeID string, author settings.Author) (*controlpb.ApplyRequest, error) {
	text, err := next.Marshal()
	if err != nil {
		return nil, err
	}
	request := &controlpb.ApplyRequest{
		Declarations:  text,
		ExpectVersion: version,
		ChangeId:      changeID,
		Author:        authorName(author.Author),
	}
	if changeID == "" {
		request.ChangeId = contentID(request)
	}
	return request, nil
}

// Apply sends a change to control and returns its version. If control refuses
// the change, the error has the code exit.Refused.
func Apply(ctx context.Context, f *factory.Factory, options settings.Client, request *controlpb.ApplyRequest) (uint64, error) {
	response, err := factory.Call(ctx, f, options, func(ctx context.Context, c controlpb.Control) (*controlpb.ApplyResponse, error) {
		return c.Apply(ctx, request)
	})
	if err != nil {
		return 0, err
	}
	if response.GetAccepted() {
		return response.GetVersion(), nil
	}
	refusal := exit.WithDetail(errRefused, "%s", response.GetReason())
	if response.GetWinnerChangeId() == "" {
		return 0, exit.New(exit.Refused, refusal, "see \"burdockwood config history\"")
	}
	return 0, exit.New(exit.Refused, refusal, conflictFix(request, response))
}

// conflictFix returns what an operator can do about a change that was refused
// because another was accepted first.
func conflictFix(request *controlpb.ApplyRequest, response *controlpb.ApplyResponse) string {
	inspect := "burdockwood config history"
	if request.GetExpectVersion() != response.GetVersion() {
		inspect = fmt.Sprintf("burdockwood config diff %d %d", request.GetExpectVersion(), response.GetVersion())
	}
	return fmt.Sprintf("change %s of %s came first: look at it with \"%s\", merge it into your files and apply again under another --change-id",
		response.GetWinnerChangeId(), response.GetWinnerAuthor(), inspect)
}

// contentID returns a truncated hash of the request's version, author and
// declarations.
func contentID(request *controlpb.ApplyRequest) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s\n%s", request.GetExpectVersion(), request.GetAuthor(), request.GetDeclarations()))
	return hex.EncodeToString(sum[:changeIDHashBytes])
}

func authorName(given string) string {
	if given != "" {
		return given
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
