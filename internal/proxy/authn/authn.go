// Package authn checks callers' passwords.
//
// # Usage
//
//	file, err := authn.LoadFile("callers.txt")
//	err = file.Get().Check(startup.Messages, startup.User)
//
// A password file holds one user:password a line; lines that start with # and
// blank lines are left out. Without a file every caller is trusted. Callers
// are asked by SCRAM-SHA-256, so no password crosses the network; a caller
// with a wrong password and one that doesn't exist get the same answer.
package authn

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
)

const (
	iterations  = 4096
	saltLength  = 16
	nonceLength = 18
	mechanism   = "SCRAM-SHA-256"

	// noBinding and noBindingSupported start a first message without channel
	// binding.
	noBinding          = "n,,"
	noBindingSupported = "y,,"
	commentMark        = "#"
)

var (
	// ErrPasswordFile tells that the password file can't be read or has a
	// malformed line.
	ErrPasswordFile = eris.New("password file")
	// ErrAuthenticationFailed tells that a caller isn't let in. The caller was told.
	ErrAuthenticationFailed = eris.New("password authentication failed")
)

type (
	// Passwords are the callers' keys; nil trusts every caller.
	Passwords struct {
		users map[string]verifier
		// decoy stands in for users that don't exist.
		decoy verifier
	}

	// File is a password file that can be read again.
	File struct {
		name    string
		text    string
		current atomic.Pointer[Passwords]
	}

	// verifier proves a password without holding it.
	verifier struct {
		salt      []byte
		storedKey []byte
		serverKey []byte
	}

	// exchange is one SCRAM authentication.
	exchange struct {
		verifier    verifier
		header      string
		clientFirst string
		serverFirst string
		nonce       string
	}
)

// LoadFile reads a password file. An empty name trusts every caller.
func LoadFile(name string) (*File, error) {
	f := &File{name: name}
	if name == "" {
		return f, nil
	}
	_, err := f.Reload()
	return f, err
}

// Get returns the passwords in force.
func (f *File) Get() *Passwords { return f.current.Load() }

// Reload reads the file again. A file with a fault changes nothing.
func (f *File) Reload() (changed bool, err error) {
	text, err := os.ReadFile(f.name)
	if err != nil {
		return false, eris.Wrap(ErrPasswordFile, err.Error())
	}
	if f.current.Load() != nil && string(text) == f.text {
		return false, nil
	}
	passwords, err := Parse(string(text))
	if err != nil {
		return false, err
	}
	f.text = string(text)
	f.current.Store(passwords)
	return true, nil
}

// Files names the file.
func (f *File) Files() string { return f.name }

// Parse reads the content of a password file.
func Parse(text string) (*Passwords, error) {
	decoy, err := newVerifier(rand.Text())
	if err != nil {
		return nil, err
	}
	passwords := &Passwords{users: map[string]verifier{}, decoy: decoy}
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, commentMark) {
			continue
		}
		user, password, found := strings.Cut(line, ":")
		if !found || user == "" || password == "" {
			return nil, eris.Wrapf(ErrPasswordFile, "line %d: want user:password", number+1)
		}
		if passwords.users[user], err = newVerifier(password); err != nil {
			return nil, err
		}
	}
	return passwords, nil
}

// Authenticate asks the caller for its password. On an error the caller was told.
func (p *Passwords) Authenticate(messages *pgproto3.Backend, user string) error {
	if p == nil {
		return nil
	}
	if err := p.scram(messages, user); err != nil {
		refusal := outcome.Fatal(outcome.StateBadPassword, fmt.Sprintf("password authentication failed for user %q", user))
		messages.Send(&pgproto3.ErrorResponse{
			Severity: refusal.Severity, SeverityUnlocalized: refusal.Severity, Code: refusal.State, Message: refusal.Message,
		})
		_ = messages.Flush()
		return err
	}
	return nil
}

// scram runs the exchange of SCRAM-SHA-256 (RFC 5802, RFC 7677).
func (p *Passwords) scram(messages *pgproto3.Backend, user string) error {
	messages.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := receive(messages, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return eris.Wrap(ErrAuthenticationFailed, "another mechanism than "+mechanism)
	}
	e, err := p.begin(user, string(initial.Data))
	if err != nil {
		return err
	}
	messages.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(e.serverFirst)})
	second, err := receive(messages, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	response, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return eris.Wrap(ErrAuthenticationFailed, "unexpected message")
	}
	final, err := e.finish(string(response.Data))
	if err != nil {
		return err
	}
	if _, exists := p.users[user]; !exists {
		return eris.Wrap(ErrAuthenticationFailed, "no such user")
	}
	messages.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return eris.Wrap(messages.Flush(), "authentication")
}

func receive(messages *pgproto3.Backend, kind uint32) (pgproto3.FrontendMessage, error) {
	if err := messages.Flush(); err != nil {
		return nil, eris.Wrap(ErrAuthenticationFailed, err.Error())
	}
	if err := messages.SetAuthType(kind); err != nil {
		return nil, eris.Wrap(ErrAuthenticationFailed, err.Error())
	}
	message, err := messages.Receive()
	if err != nil {
		return nil, eris.Wrap(ErrAuthenticationFailed, err.Error())
	}
	return message, nil
}

// begin answers the caller's first message.
func (p *Passwords) begin(user, message string) (*exchange, error) {
	header := noBinding
	bare, found := strings.CutPrefix(message, noBinding)
	if !found {
		header = noBindingSupported
		bare, found = strings.CutPrefix(message, noBindingSupported)
	}
	if !found {
		return nil, eris.Wrap(ErrAuthenticationFailed, "channel binding is not offered")
	}
	nonce, ok := attribute(bare, "r=")
	if !ok {
		return nil, eris.Wrap(ErrAuthenticationFailed, "no nonce")
	}
	v, ok := p.users[user]
	if !ok {
		v = p.decoy
	}
	e := &exchange{verifier: v, header: header, clientFirst: bare, nonce: nonce + newNonce()}
	e.serverFirst = fmt.Sprintf("r=%s,s=%s,i=%d", e.nonce, base64.StdEncoding.EncodeToString(v.salt), iterations)
	return e, nil
}

// finish verifies the caller's proof and returns the proof of this side.
func (e *exchange) finish(message string) (string, error) {
	at := strings.LastIndex(message, ",p=")
	if at < 0 {
		return "", eris.Wrap(ErrAuthenticationFailed, "no proof")
	}
	withoutProof := message[:at]
	proof, err := base64.StdEncoding.DecodeString(message[at+len(",p="):])
	if err != nil || len(proof) != sha256.Size {
		return "", eris.Wrap(ErrAuthenticationFailed, "malformed proof")
	}
	binding, _ := attribute(withoutProof, "c=")
	nonce, _ := attribute(withoutProof, "r=")
	if binding != base64.StdEncoding.EncodeToString([]byte(e.header)) || nonce != e.nonce {
		return "", eris.Wrap(ErrAuthenticationFailed, "another exchange's proof")
	}
	signed := e.clientFirst + "," + e.serverFirst + "," + withoutProof
	signature := mac(e.verifier.storedKey, signed)
	clientKey := make([]byte, len(proof))
	for i := range proof {
		clientKey[i] = proof[i] ^ signature[i]
	}
	storedKey := sha256.Sum256(clientKey)
	if !hmac.Equal(storedKey[:], e.verifier.storedKey) {
		return "", eris.Wrap(ErrAuthenticationFailed, "wrong password")
	}
	return "v=" + base64.StdEncoding.EncodeToString(mac(e.verifier.serverKey, signed)), nil
}

// attribute returns the value of "name=value" in a list.
func attribute(list, name string) (string, bool) {
	for part := range strings.SplitSeq(list, ",") {
		if value, found := strings.CutPrefix(part, name); found {
			return value, true
		}
	}
	return "", false
}

func newVerifier(password string) (verifier, error) {
	salt := make([]byte, saltLength)
	// Read never fails.
	_, _ = rand.Read(salt)
	salted, err := pbkdf2.Key(sha256.New, password, salt, iterations, sha256.Size)
	if err != nil {
		return verifier{}, eris.Wrap(ErrPasswordFile, err.Error())
	}
	storedKey := sha256.Sum256(mac(salted, "Client Key"))
	return verifier{salt: salt, storedKey: storedKey[:], serverKey: mac(salted, "Server Key")}, nil
}

func newNonce() string {
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce)
	return base64.StdEncoding.EncodeToString(nonce)
}

func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}
