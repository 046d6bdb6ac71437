package fleetrpc

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/intake"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// followerTimeout is how long after its last batch a follower is named to servers as the
// node for their announcements.
const followerTimeout = time.Second

// announcements is what a Service keeps of the announcements that its node takes.
type announcements struct {
	mu    sync.Mutex
	table *intake.Table
	// followers are the nodes that send batches to this one, and when they last
	// did.
	followers map[cluster.NodeName]time.Time
	// taken receives a value when the next batch may be due earlier.
	taken chan struct{}
}

func newAnnouncements() announcements {
	return announcements{table: intake.New(), followers: map[cluster.NodeName]time.Time{}, taken: make(chan struct{}, 1)}
}

// TakeAnnouncement takes the announcement of a backend server. It returns once the
// leader has what the announcement says, with the name of the node to which the server
// should send its next ones. leaving is true if the server shuts down. Errors:
// ErrNoLeader.
func (s *Service) TakeAnnouncement(ctx context.Context, server registry.Server, leaving bool) (cluster.NodeName, error) {
	s.announcements.mu.Lock()
	done := s.announcements.table.Take(coordinator.Announcement{Server: server, Leaving: leaving}, s.options.Now())
	s.announcements.mu.Unlock()
	if done == nil {
		return s.announcementNode(server.Name), nil
	}
	select {
	case s.announcements.taken <- struct{}{}:
	default:
	}
	select {
	case <-done:
		return s.announcementNode(server.Name), nil
	case <-ctx.Done():
		return "", eris.Wrap(ErrNoLeader, "the announcement wasn't passed on")
	}
}

// announcementNode returns the node for a server's next announcements: this one unless
// it leads. The leader names one of the followers that send it batches.
func (s *Service) announcementNode(server cluster.ServerName) cluster.NodeName {
	if _, leads := s.options.ConsensusLog.IsLeader(); !leads {
		return s.options.Name
	}
	now := s.options.Now()
	s.announcements.mu.Lock()
	defer s.announcements.mu.Unlock()
	var nodes []cluster.NodeName
	for name, at := range s.announcements.followers {
		if now.Sub(at) < followerTimeout {
			nodes = append(nodes, name)
		}
	}
	if len(nodes) == 0 {
		return s.options.Name
	}
	slices.Sort(nodes)
	h := fnv.New32a()
	_, _ = h.Write([]byte(server)) // a hash never fails
	return nodes[int(h.Sum32()%uint32(len(nodes)))]
}

// Run passes announcements to the leader until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := s.options.ConsensusLog.Changes()
		retry := time.Duration(0)
		if !s.sendDue(ctx) {
			retry = leaderRetryInterval
		}
		s.announcements.mu.Lock()
		due := s.announcements.table.Due(s.options.Now())
		s.announcements.mu.Unlock()
		timer.Reset(max(due, retry))
		taken := s.announcements.taken
		if retry > 0 {
			taken = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-taken:
		case <-changed:
		}
	}
}

// sendDue sends the next batch to the leader if it is due. It returns false if that
// failed or no leader is known.
func (s *Service) sendDue(ctx context.Context) bool {
	s.announcements.mu.Lock()
	now := s.options.Now()
	if s.announcements.table.Due(now) > 0 {
		s.announcements.mu.Unlock()
		return true
	}
	batch := s.announcements.table.Next(now)
	s.announcements.mu.Unlock()
	leader := s.leaderService()
	if leader == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := leader.AnnounceBatch(ctx, s.batchToProto(batch, now))
	if err != nil {
		s.options.Logger.V(1).Info("passing announcements to the leader failed", "error", err.Error())
		return false
	}
	needed := make([]cluster.ServerName, 0, len(response.GetNeeded()))
	for _, name := range response.GetNeeded() {
		needed = append(needed, cluster.ServerName(name))
	}
	s.announcements.mu.Lock()
	defer s.announcements.mu.Unlock()
	s.announcements.table.Sent(batch, needed, response.GetEpoch(), s.options.Now())
	return true
}

// batchToProto returns the message for a batch that was made at the time now.
func (s *Service) batchToProto(b intake.Batch, now time.Time) *fleetpb.AnnounceBatchRequest {
	request := &fleetpb.AnnounceBatchRequest{Node: string(s.options.Name)}
	for _, a := range b.Announcements {
		request.Announcements = append(request.Announcements, &fleetpb.AnnounceRequest{Server: protoconv.ServerToProto(a.Server, now), Leaving: a.Leaving})
	}
	for _, c := range b.Confirmations {
		request.Heard = append(request.Heard, &fleetpb.Heard{Name: string(c.Name), Sequence: c.Sequence, Digest: c.Digest, AgeMs: uint32(c.Age.Milliseconds())})
	}
	return request
}

// AnnounceBatch records announcements that another control node took; see
// fleetpb.Fleet.
func (s *Service) AnnounceBatch(ctx context.Context, request *fleetpb.AnnounceBatchRequest) (*fleetpb.AnnounceBatchResponse, error) {
	now := s.options.Now()
	changes := make([]coordinator.Announcement, 0, len(request.GetAnnouncements()))
	for _, a := range request.GetAnnouncements() {
		server, err := protoconv.ServerFromProto(a.GetServer(), now)
		if err != nil {
			// The others in the batch mustn't wait for it.
			s.options.Logger.Info("ignoring an announcement in a batch", "node", request.GetNode(), "error", err.Error())
			continue
		}
		changes = append(changes, coordinator.Announcement{Server: server, Leaving: a.GetLeaving()})
	}
	confirmations := make([]coordinator.Confirmation, 0, len(request.GetHeard()))
	for _, h := range request.GetHeard() {
		confirmations = append(confirmations, coordinator.Confirmation{
			Name: cluster.ServerName(h.GetName()), Sequence: h.GetSequence(), Digest: h.GetDigest(), Age: time.Duration(h.GetAgeMs()) * time.Millisecond,
		})
	}
	epoch, _ := s.options.ConsensusLog.IsLeader()
	needed, err := s.options.Coordinator.AnnounceBatch(ctx, changes, confirmations)
	if err != nil {
		return nil, unavailableError(err)
	}
	if node := cluster.NodeName(request.GetNode()); node != s.options.Name {
		s.announcements.mu.Lock()
		s.announcements.followers[node] = now
		s.announcements.mu.Unlock()
	}
	response := &fleetpb.AnnounceBatchResponse{Epoch: epoch}
	for _, name := range needed {
		response.Needed = append(response.Needed, string(name))
	}
	return response, nil
}
