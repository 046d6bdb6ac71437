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
	senderQueueSize = 256
	// callTimeout bounds a call to a peer. A frozen or partitioned peer delays
	// only its own sender by this time.
	callTimeout = 400 * time.Millisecond
	// largeCallTimeout bounds a call with more than largeCallBytes of payload.
	largeCallTimeout = 3 * time.Second
	largeCallBytes   = 64 << 10
	// maxBatchBytes bounds the entries and parts of snapshots in one call.
	maxBatchBytes = 2 << 20
)

type (
	// sender sends messages to one peer, one call at a time. When its queue
	// is full, it drops messages: the protocol sends them again.
	sender struct {
		client controlpb.Peer
		name   cluster.NodeName
		queue  chan quorum.Message
		events chan<- event
		logger logr.Logger
		// unreachable is true if the last call failed.
		unreachable bool
	}

	// replies collects the messages to be sent in the responses to calls, by
	// the calling node.
	replies map[cluster.NodeName]*reply

	// reply holds the messages for one calling node, and a channel for the
	// response to each of its calls in the batch.
	reply struct {
		messages []quorum.Message
		calls    []chan<- []quorum.Message
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
		client: controlpb.NewPeerProtobufClient(transport.URL(p.Address), n.options.Client),
		name:   p.Name,
		queue:  make(chan quorum.Message, senderQueueSize),
		events: n.events,
		logger: n.logger,
	}
}

// senderFor returns the sender to a node. For a node that the settings don't list it
// is created on first use. senderFor returns nil if the node's address is unknown or
// the queue to runSenders is full; the message is lost then, and the protocol sends it
// again.
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
	case n.addedSenders <- s:
		n.senders[name] = s
		return s
	default:
		return nil
	}
}

// Step handles the messages of a peer and responds with the messages for that peer. It
// implements controlpb.Peer.
func (n *Node) Step(ctx context.Context, request *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	messages, err := codec.DecodeMessages(request.GetPayload())
	if err != nil {
		return nil, twirp.InvalidArgumentError("payload", err.Error())
	}
	reply := make(chan []quorum.Message, 1)
	if err := n.enqueue(ctx, event{messages: messages, reply: reply}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "this control node is stopping or overloaded")
	}
	select {
	case response := <-reply:
		payload, err := codec.EncodeMessages(response)
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

// newReplies prepares the replies to the calls of a batch.
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
		callingNode := e.messages[0].From.Node
		if r[callingNode] == nil {
			r[callingNode] = &reply{}
		}
		r[callingNode].calls = append(r[callingNode].calls, e.reply)
	}
	return r
}

// send responds to all calls of the batch. The first call of each node receives all
// messages for that node, its other calls receive none.
func (r replies) send() {
	for _, waiting := range r {
		for i, call := range waiting.calls {
			if i == 0 {
				call <- waiting.messages
				continue
			}
			call <- nil
		}
	}
}

// dispatch passes each message to a waiting call of its receiver or, if there is
// none, to the receiver's sender.
func (n *Node) dispatch(messages []quorum.Message, replies replies) {
	for _, m := range messages {
		if waiting := replies[m.To.Node]; waiting != nil {
			waiting.messages = append(waiting.messages, m)
			continue
		}
		if s := n.senderFor(m.To.Node); s != nil {
			s.enqueue(m)
		}
	}
}

// enqueue queues a message, or drops it if the peer is slow.
func (s *sender) enqueue(m quorum.Message) {
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
			s.deliver(ctx, s.collectBatch(m))
		}
	}
}

// collectBatch returns the first message and those that are queued after it, until
// maxBatchBytes is reached.
func (s *sender) collectBatch(first quorum.Message) []quorum.Message {
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

// deliver calls the peer and passes the messages of its response to the loop.
func (s *sender) deliver(ctx context.Context, batch []quorum.Message) {
	response, err := s.call(ctx, batch)
	if err != nil {
		s.logReachability(ctx, err)
		return
	}
	s.logReachability(ctx, nil)
	if len(response) == 0 {
		return
	}
	select {
	case s.events <- event{messages: response}:
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
	response, err := s.client.Step(ctx, &controlpb.StepRequest{Payload: payload})
	if err != nil {
		return nil, err
	}
	return codec.DecodeMessages(response.GetPayload())
}

// logReachability logs when a peer becomes unreachable or reachable.
func (s *sender) logReachability(ctx context.Context, err error) {
	if ctx.Err() != nil || s.unreachable == (err != nil) {
		return
	}
	s.unreachable = err != nil
	if s.unreachable {
		s.logger.Info("control node is unreachable", "node", s.name, "error", err.Error())
		return
	}
	s.logger.Info("control node is reachable", "node", s.name)
}
