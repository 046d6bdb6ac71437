// Package session keeps what makes a caller's session consistent over many
// proxies: its marks in each group's log.
//
// # Usage
//
//	text := session.Seal(marks, keys)          // given to the caller
//	marks, err := session.Open(text, keys)     // taken back from the caller
//
//	keeper := session.New(options)
//	err = keeper.Store(ctx, identity, group, mark)
//	known := keeper.Fetch(ctx, identity, group)
//
// A mark that a caller carries is signed, names the key that signed it, and
// starts with the version of its form, so that a newer release can read it.
//
// Marks of callers that carry none are stored with two proxies, chosen among
// the live ones by rendezvous hashing of the session's identity, before the
// write is acknowledged. A read asks both. An owner vouches for the time since
// it started or the list of proxies last changed; a replica may answer only if
// its data is newer than what the owners can't vouch for.
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
	markVersion = "1"
	// keyIDLength is the number of hexadecimal digits that name a key.
	keyIDLength = 8
	// signatureLength is the number of bytes of a signature that are kept.
	signatureLength = 16
	// maxMark is the longest text in bytes that is read.
	maxMark = 16 << 10

	partSeparator  = "."
	groupSeparator = ","
	markSeparator  = "="
)

var (
	// ErrMalformed tells that a text is no session mark.
	ErrMalformed = eris.New("not a session mark")
	// ErrUnverified tells that a mark's key isn't known any more, that its
	// signature is wrong, or that a newer release wrote it. Reads of such a
	// caller go to the primary.
	ErrUnverified = eris.New("session mark can't be verified")
)

type (
	// Marks are a session's marks by group.
	Marks map[cluster.GroupName]cluster.Mark

	// Token is a mark's text taken apart, not verified.
	Token struct {
		Version string
		KeyID   string
		Marks   Marks

		payload   string
		signature string
	}
)

// Merge raises the mark of one group. Marks of a lower term or position change
// nothing.
func (m Marks) Merge(group cluster.GroupName, mark cluster.Mark) {
	if m[group].Compare(mark) < 0 {
		m[group] = mark
	}
}

// EncodeToken returns the text of the marks, signed with the newest key; empty if
// there is no key.
func EncodeToken(marks Marks, keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	names := slices.SortedFunc(maps.Keys(marks), cmp.Compare[cluster.GroupName])
	var plain strings.Builder
	for i, name := range names {
		if i > 0 {
			plain.WriteString(groupSeparator)
		}
		plain.WriteString(string(name))
		plain.WriteString(markSeparator)
		plain.WriteString(marks[name].String())
	}
	payload := base64.RawURLEncoding.EncodeToString([]byte(plain.String()))
	signed := strings.Join([]string{markVersion, keyID(keys[0]), payload}, partSeparator)
	return signed + partSeparator + sign(signed, keys[0])
}

// VerifyToken verifies a text that Seal has made and returns its marks. Errors:
// ErrMalformed and ErrUnverified.
func VerifyToken(text string, keys []string) (Marks, error) {
	sealed, err := DecodeToken(text)
	if err != nil {
		return nil, err
	}
	if sealed.Version != markVersion {
		return nil, eris.Wrapf(ErrUnverified, "version %q", sealed.Version)
	}
	for _, key := range keys {
		if keyID(key) != sealed.KeyID {
			continue
		}
		if hmac.Equal([]byte(sign(sealed.payload, key)), []byte(sealed.signature)) {
			return sealed.Marks, nil
		}
	}
	return nil, eris.Wrapf(ErrUnverified, "key %q", sealed.KeyID)
}

// DecodeToken takes a text apart without verifying it.
func DecodeToken(text string) (Token, error) {
	if len(text) > maxMark {
		return Token{}, eris.Wrap(ErrMalformed, "too long")
	}
	parts := strings.Split(text, partSeparator)
	if len(parts) < 4 {
		return Token{}, eris.Wrap(ErrMalformed, "want version.key.marks.signature")
	}
	sealed := Token{
		Version:   parts[0],
		KeyID:     parts[1],
		payload:   strings.Join(parts[:3], partSeparator),
		signature: parts[3],
	}
	if sealed.Version != markVersion {
		return sealed, nil
	}
	plain, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return Token{}, eris.Wrap(ErrMalformed, err.Error())
	}
	sealed.Marks, err = parseMarks(string(plain))
	return sealed, err
}

func parseMarks(plain string) (Marks, error) {
	marks := Marks{}
	if plain == "" {
		return marks, nil
	}
	for part := range strings.SplitSeq(plain, groupSeparator) {
		at := strings.LastIndex(part, markSeparator)
		if at <= 0 {
			return nil, eris.Wrapf(ErrMalformed, "%q", part)
		}
		mark, err := cluster.ParseMark(part[at+1:])
		if err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
		marks[cluster.GroupName(part[:at])] = mark
	}
	return marks, nil
}

func sign(text, key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureLength])
}

// keyID names a key without telling it.
func keyID(key string) string {
	sum := sha256.Sum256([]byte("burdockwood mark key " + key))
	return hex.EncodeToString(sum[:])[:keyIDLength]
}
