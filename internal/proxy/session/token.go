// Package session keeps a caller's session consistent across proxies. It tracks
// the session's log positions: for each group, the term and position of the
// session's last write.
//
// # Usage
//
//	text := session.EncodeToken(positions, keys)       // sent to the caller
//	positions, err := session.VerifyToken(text, keys) // received from the caller
//
//	store := session.New(options)
//	err = store.Store(ctx, identity, group, position)
//	lookup := store.Fetch(ctx, identity, group)
//
// A token is the signed text of a session's positions. It contains the
// identifier of its signing key, and starts with the version of its format, so
// that a later release can read it.
//
// Positions of callers that carry no token are stored at two proxies, their
// owners, before the write is acknowledged. The owners are chosen among the live
// proxies by rendezvous hashing of the session's identity. A read asks both. An
// owner has received every position since the later of two times: its own start
// and the last change of the list of proxies. A replica may answer only if its
// data is newer than that, since the owners may lack older positions.
package session

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	tokenVersion = "1"
	// keyIDLength is the length of a key's identifier in hexadecimal digits.
	keyIDLength = 8
	// signatureLength is the length in bytes to which a signature is truncated.
	signatureLength = 16
	// maxTokenLength is the maximum length in bytes of a token.
	maxTokenLength = 16 << 10

	partSeparator     = "."
	groupSeparator    = ","
	positionSeparator = "="
)

var (
	// ErrMalformed is returned for a text that isn't a token.
	ErrMalformed = eris.New("not a session mark")
	// ErrUnverified is returned if a token's key is no longer known, its
	// signature is wrong, or its version isn't supported. Reads of such a
	// caller go to the primary.
	ErrUnverified = eris.New("session mark can't be verified")
)

type (
	// Positions maps each group to the session's log position there.
	Positions map[cluster.GroupName]cluster.LogPosition

	// Token is a decoded token whose signature isn't verified.
	Token struct {
		Version   string
		KeyID     string
		Positions Positions

		signedPart string
		signature  string
	}
)

// Merge raises the log position of one group. It ignores a position that isn't
// higher than the present one.
func (p Positions) Merge(group cluster.GroupName, position cluster.LogPosition) {
	if p[group].Compare(position) < 0 {
		p[group] = position
	}
}

// EncodeToken returns the token of the positions, signed with the newest key,
// keys[0]. It returns "" if there is no key.
func EncodeToken(positions Positions, keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	names := slices.SortedFunc(maps.Keys(positions), cmp.Compare[cluster.GroupName])
	var plain strings.Builder
	for i, name := range names {
		if i > 0 {
			plain.WriteString(groupSeparator)
		}
		plain.WriteString(string(name))
		plain.WriteString(positionSeparator)
		plain.WriteString(positions[name].String())
	}
	payload := base64.RawURLEncoding.EncodeToString([]byte(plain.String()))
	signed := strings.Join([]string{tokenVersion, keyID(keys[0]), payload}, partSeparator)
	return signed + partSeparator + sign(signed, keys[0])
}

// VerifyToken decodes a token, verifies its signature and returns its
// positions. Errors are ErrMalformed and ErrUnverified.
func VerifyToken(text string, keys []string) (Positions, error) {
	token, err := DecodeToken(text)
	if err != nil {
		return nil, err
	}
	if token.Version != tokenVersion {
		return nil, eris.Wrapf(ErrUnverified, "version %q", token.Version)
	}
	for _, key := range keys {
		if keyID(key) != token.KeyID {
			continue
		}
		if hmac.Equal([]byte(sign(token.signedPart, key)), []byte(token.signature)) {
			return token.Positions, nil
		}
	}
	return nil, eris.Wrapf(ErrUnverified, "key %q", token.KeyID)
}

// DecodeToken decodes a token without verifying its signature. The positions
// are nil if its version isn't supported. The error is ErrMalformed.
func DecodeToken(text string) (Token, error) {
	if len(text) > maxTokenLength {
		return Token{}, eris.Wrap(ErrMalformed, "too long")
	}
	parts := strings.Split(text, partSeparator)
	if len(parts) < 4 {
		return Token{}, eris.Wrap(ErrMalformed, "want version.key.marks.signature")
	}
	token := Token{
		Version:    parts[0],
		KeyID:      parts[1],
		signedPart: strings.Join(parts[:3], partSeparator),
		signature:  parts[3],
	}
	if token.Version != tokenVersion {
		return token, nil
	}
	plain, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return Token{}, eris.Wrap(ErrMalformed, err.Error())
	}
	token.Positions, err = parsePositions(string(plain))
	return token, err
}

func parsePositions(plain string) (Positions, error) {
	positions := Positions{}
	if plain == "" {
		return positions, nil
	}
	for part := range strings.SplitSeq(plain, groupSeparator) {
		at := strings.LastIndex(part, positionSeparator)
		if at <= 0 {
			return nil, eris.Wrapf(ErrMalformed, "%q", part)
		}
		position, err := cluster.ParseLogPosition(part[at+1:])
		if err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
		positions[cluster.GroupName(part[:at])] = position
	}
	return positions, nil
}

func sign(text, key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureLength])
}

// keyID returns an identifier of a key that doesn't reveal the key.
func keyID(key string) string {
	sum := sha256.Sum256([]byte("burdockwood mark key " + key))
	return hex.EncodeToString(sum[:])[:keyIDLength]
}
