package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/codec"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	senderQueue = 256
	// callTimeout bounds a call to a peer; a peer that is frozen or cut off
	// costs its own sender this time and nobody else any.
	callTimeout = 400 * time.Millisecond
	// largeCallTimeout bounds a call that carries much data.
	largeCallTimeout = 3 * time.Second
	largeCallBytes   = 64 << 10
	// maxBatchBytes bounds the entries and parts of snapshots in one call.
	maxBatchBytes = 2 << 20
)

type (
	// sender carries messages to one peer, one call at a time. When its
	// queue is full, messages are dropped: the protocol sends them again.
	sender struct {
		peer   controlpb.Peer
		name   cluster.NodeName
		queue  chan quorum.Message
		events chan<- event
		logger logr.Logger
		failed bool
	}

	// replies collects the messages that go back in the answers of calls.
	replies map[cluster.NodeName]*reply

	reply struct {
		messages []quorum.Message
		to       []chan<- []quorum.Message
	}
)

func (n *Node) newSenders() map[cluster.NodeName]*sender {
	senders := map[cluster.NodeName]*sender{}
	for _, p := range n.options.Peers {
		if p.Name == n.options.Name {
			continue
		}
		senders[p.Name] = n.newSender(p)
	}
	return senders
}

func (n *Node) newSender(p Peer) *sender {
	return &sender{
		peer:   controlpb.NewPeerProtobufClient(transport.URL(p.Address), n.options.Client),
		name:   p.Name,
		queue:  make(chan quorum.Message, senderQueue),
		events: n.events,
		logger: n.logger,
	}
}

// senderFor returns the sender to a node; for one that the settings don't list
// it is made on first use. It returns nil if the node's address isn't known or
// too many senders wait to be run: the protocol sends messages again.
func (n *Node) senderFor(name cluster.NodeName) *sender {
	if s := n.senders[name]; s != nil || n.options.Resolve == nil {
		return s
	}
	address, ok := n.options.Resolve(name)
	if !ok {
		return nil
	}
	s := n.newSender(Peer{Name: name, Address: address})
	select {
	case n.hired <- s:
		n.senders[name] = s
		return s
	default:
		return nil
	}
}

// Step takes the messages of a peer and answers with those for it.
func (n *Node) Step(ctx context.Context, request *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	messages, err := codec.DecodeMessages(request.GetPayload())
	if err != nil {
		return nil, twirp.InvalidArgumentError("payload", err.Error())
	}
	answer := make(chan []quorum.Message, 1)
	if err := n.enqueue(ctx, event{messages: messages, reply: answer}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "this control node is stopping or overloaded")
	}
	select {
	case back := <-answer:
		payload, err := codec.EncodeMessages(back)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return &controlpb.StepResponse{Payload: payload}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller has gone")
	case <-n.done:
		return nil, twirp.NewError(twirp.Unavailable, "this control node is stopping")
	}
}

// newReplies prepares answers for the calls of a batch.
func newReplies(batch []event) replies {
	r := replies{}
	for _, e := range batch {
		if e.reply == nil {
			continue
		}
		if len(e.messages) == 0 {
			e.reply <- nil
			continue
		}
		from := e.messages[0].From.Node
		if r[from] == nil {
			r[from] = &reply{}
		}
		r[from].to = append(r[from].to, e.reply)
	}
	return r
}

// finish answers all calls of the batch.
func (r replies) finish() {
	for _, answer := range r {
		for i, to := range answer.to {
			if i == 0 {
				to <- answer.messages
				continue
			}
			to <- nil
		}
	}
}

// dispatch hands messages to the calls that wait for them, else to the
// senders.
func (n *Node) dispatch(messages []quorum.Message, replies replies) {
	for _, m := range messages {
		if answer := replies[m.To.Node]; answer != nil {
			answer.messages = append(answer.messages, m)
			continue
		}
		if s := n.senderFor(m.To.Node); s != nil {
			s.offer(m)
		}
	}
}

// offer queues a message, or drops it if the peer is slow.
func (s *sender) offer(m quorum.Message) {
	select {
	case s.queue <- m:
	default:
	}
}

func (s *sender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.queue:
			s.deliver(ctx, s.collect(m))
		}
	}
}

// collect joins the messages that wait behind the first one.
func (s *sender) collect(first quorum.Message) []quorum.Message {
	batch := []quorum.Message{first}
	for size := messageBytes(first); size < maxBatchBytes; {
		select {
		case m := <-s.queue:
			batch = append(batch, m)
			size += messageBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(m quorum.Message) int {
	size := len(m.Chunk)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

// deliver calls the peer and hands its answer to the loop.
func (s *sender) deliver(ctx context.Context, batch []quorum.Message) {
	back, err := s.call(ctx, batch)
	if err != nil {
		s.note(ctx, err)
		return
	}
	s.note(ctx, nil)
	if len(back) == 0 {
		return
	}
	select {
	case s.events <- event{messages: back}:
	case <-ctx.Done():
	}
}

func (s *sender) call(ctx context.Context, batch []quorum.Message) ([]quorum.Message, error) {
	payload, err := codec.EncodeMessages(batch)
	if err != nil {
		return nil, err
	}
	timeout := callTimeout
	if len(payload) > largeCallBytes {
		timeout = largeCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := s.peer.Step(ctx, &controlpb.StepRequest{Payload: payload})
	if err != nil {
		return nil, err
	}
	return codec.DecodeMessages(response.GetPayload())
}

// note logs when a peer becomes unreachable or reachable.
func (s *sender) note(ctx context.Context, err error) {
	if ctx.Err() != nil || s.failed == (err != nil) {
		return
	}
	s.failed = err != nil
	if s.failed {
		s.logger.Info("control node is unreachable", "node", s.name, "error", err.Error())
		return
	}
	s.logger.Info("control node is reachable", "node", s.name)
}
