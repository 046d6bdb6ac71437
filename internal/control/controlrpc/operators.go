package controlrpc

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	maxChangeIDBytes     = 128
	maxAuthorBytes       = 128
	maxDeclarationsBytes = 2 << 20

	// defaultHistoryLimit is the number of changes that History lists if the
	// request states none.
	defaultHistoryLimit = 50
	// switchoverTimeout bounds the wait for a planned switchover.
	switchoverTimeout = 10 * time.Second
)

// Apply replaces the declarations if the expected version is in force. If the
// response says that they are accepted, the change is committed.
func (s *Service) Apply(ctx context.Context, request *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	if request.ChangeId == "" || len(request.ChangeId) > maxChangeIDBytes {
		return nil, twirp.InvalidArgumentError("change_id", "want 1 to 128 bytes")
	}
	if len(request.Author) > maxAuthorBytes {
		return nil, twirp.InvalidArgumentError("author", fmt.Sprintf("want at most %d bytes", maxAuthorBytes))
	}
	if len(request.Declarations) > maxDeclarationsBytes {
		return nil, twirp.InvalidArgumentError("declarations", fmt.Sprintf("they have %d bytes, want at most %d: declare less, or run a second system", len(request.Declarations), maxDeclarationsBytes))
	}
	if _, leads := s.options.ConsensusLog.IsLeader(); !leads {
		return nil, s.notLeaderError()
	}
	if err := s.options.CheckDeclarations(request.Declarations); err != nil {
		version := uint64(s.options.StateMachine.View().Version)
		return &controlpb.ApplyResponse{Version: version, Reason: errorText(err)}, nil
	}
	result, err := s.propose(ctx, state.Command{Apply: &state.ApplyDeclarations{
		Text:     request.Declarations,
		Expect:   cluster.Version(request.ExpectVersion),
		ChangeID: request.ChangeId,
		Author:   request.Author,
	}})
	if err != nil {
		return nil, err
	}
	if result.ApplyResult == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, result.Reason)
	}
	s.options.Logger.Info("change of the declarations was accepted or refused", "accepted", result.ApplyResult.Accepted, "version", uint64(result.ApplyResult.Version),
		"change-id", request.ChangeId, "author", request.Author, "reason", result.ApplyResult.Reason)
	return applyResultToProto(*result.ApplyResult), nil
}

func applyResultToProto(result state.ApplyResult) *controlpb.ApplyResponse {
	return &controlpb.ApplyResponse{
		Accepted:       result.Accepted,
		Version:        uint64(result.Version),
		Reason:         result.Reason,
		WinnerChangeId: result.WinnerChangeID,
		WinnerAuthor:   result.WinnerAuthor,
	}
}

// GetDeclarations returns the declarations of one version.
func (s *Service) GetDeclarations(ctx context.Context, request *controlpb.GetDeclarationsRequest) (*controlpb.GetDeclarationsResponse, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	view := s.options.StateMachine.View()
	if request.Version == 0 {
		return &controlpb.GetDeclarationsResponse{Version: uint64(view.Version), Declarations: view.Declarations}, nil
	}
	text, kept := view.TextAt(request.Version)
	if !kept {
		return nil, twirp.NotFoundError("this version was never accepted or its text is no longer kept")
	}
	return &controlpb.GetDeclarationsResponse{Version: request.Version, Declarations: text}, nil
}

// History lists accepted versions, newest first.
func (s *Service) History(ctx context.Context, request *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	limit := int(request.Limit)
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	response := &controlpb.HistoryResponse{}
	changes := s.options.StateMachine.View().Changes
	for i := len(changes) - 1; i >= 0 && len(response.Changes) < limit; i-- {
		response.Changes = append(response.Changes, changeToProto(changes[i]))
	}
	return response, nil
}

// Status returns the leader's state of control, servers and proxies.
func (s *Service) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	status, err := s.options.Coordinator.Status(time.Now())
	if err != nil {
		return nil, s.rpcError(err)
	}
	info, _ := s.options.ConsensusLog.Leader()
	response := &controlpb.StatusResponse{
		Leader:      string(info.Name),
		LeaderEpoch: status.Epoch,
		Version:     uint64(status.Version),
		LogIndex:    s.options.ConsensusLog.AppliedIndex(),
		Findings:    status.Findings,
	}
	for _, member := range s.options.ConsensusLog.Members() {
		response.Nodes = append(response.Nodes, nodeToProto(member, info))
	}
	for _, group := range status.Groups {
		response.Groups = append(response.Groups, groupToProto(group))
	}
	for _, server := range status.Servers {
		response.Servers = append(response.Servers, serverToProto(server))
	}
	for _, proxy := range status.Proxies {
		response.Proxies = append(response.Proxies, proxyToProto(proxy))
	}
	return response, nil
}

// Switchover requests a planned change of a group's primary and responds once a
// later term is in force.
func (s *Service) Switchover(ctx context.Context, request *controlpb.SwitchoverRequest) (*controlpb.SwitchoverResponse, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	group := cluster.GroupName(request.Group)
	oldTerm, err := s.options.Coordinator.RequestSwitchover(group, cluster.ServerName(request.To), time.Now())
	if err != nil {
		return nil, s.rpcError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, switchoverTimeout)
	defer cancel()
	for {
		changed := s.options.StateMachine.Changed()
		record := s.options.StateMachine.View().Groups[group]
		if record != nil && record.Term > oldTerm {
			return &controlpb.SwitchoverResponse{Term: uint64(record.Term), Primary: string(record.Primary)}, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.DeadlineExceeded, "the switchover has not happened yet: see control status")
		case <-changed:
		}
	}
}

// Drain begins or ends the drain of a server or proxy, which then gets no new
// requests.
func (s *Service) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	if request.Kind != state.DrainKindServer && request.Kind != state.DrainKindProxy {
		return nil, twirp.InvalidArgumentError("kind", "want server or proxy")
	}
	if _, ok := coordinator.ParseServerKey(request.Name); request.Name == "" || (request.Kind == state.DrainKindServer && !ok) {
		return nil, twirp.InvalidArgumentError("name", "want group/server, or the name of a proxy")
	}
	_, err := s.propose(ctx, state.Command{Drain: &state.SetDrain{
		Key: state.DrainKey{Kind: request.Kind, Name: request.Name}, Undo: request.Undo,
	}})
	if err != nil {
		return nil, err
	}
	return &controlpb.DrainResponse{}, nil
}
