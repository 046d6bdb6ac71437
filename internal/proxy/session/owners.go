package session

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
)

// Owners returns the proxies that store a session's positions: the two that
// score highest in rendezvous hashing. If a proxy joins or leaves, only the
// sessions that it owns get another owner.
func Owners(session string, peers []clusterview.Peer) []clusterview.Peer {
	var first, second clusterview.Peer
	var firstScore, secondScore uint64
	count := 0
	for _, peer := range peers {
		score := score(session, peer)
		count++
		switch {
		case count == 1 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = peer, score
		case count == 2 || score > secondScore:
			second, secondScore = peer, score
		}
	}
	switch count {
	case 0:
		return nil
	case 1:
		return []clusterview.Peer{first}
	default:
		return []clusterview.Peer{first, second}[:ownerCount]
	}
}

func score(session string, peer clusterview.Peer) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(peer.Name))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(session)
	return digest.Sum64()
}
