// Package authn authenticates callers by password.
//
// # Usage
//
//	file, err := authn.LoadFile("callers.txt")
//	err = file.Get().Authenticate(startup.Messages, startup.User)
//
// A password file holds one user:password per line; blank lines and lines that
// start with # are ignored. Without a file every caller is trusted. Callers
// authenticate by SCRAM-SHA-256, so no password crosses the network. A caller
// with a wrong password and one with an unknown user name get the same error.
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
	scramIterations = 4096
	saltLength      = 16
	nonceLength     = 18
	mechanism       = "SCRAM-SHA-256"

	// gs2NoBinding and gs2BindingUnused are the GS2 headers of a client that
	// doesn't support channel binding, and of one that supports it but doesn't
	// use it because the server doesn't offer it.
	gs2NoBinding     = "n,,"
	gs2BindingUnused = "y,,"
	commentPrefix    = "#"
)

var (
	// ErrPasswordFile is returned if the password file can't be read or has a
	// malformed line.
	ErrPasswordFile = eris.New("password file")
	// ErrAuthenticationFailed is returned if a caller doesn't authenticate.
	// The caller has been sent an error response.
	ErrAuthenticationFailed = eris.New("password authentication failed")
)

type (
	// Passwords holds the verifiers of the users' passwords. A nil *Passwords
	// trusts every caller.
	Passwords struct {
		users map[string]verifier
		// mockVerifier is used for users that don't exist, so that their
		// exchange fails at its end like one with a wrong password.
		mockVerifier verifier
	}

	// File is a password file that can be reloaded.
	File struct {
		name    string
		text    string
		current atomic.Pointer[Passwords]
	}

	// verifier holds the keys that verify a password without storing it.
	verifier struct {
		salt      []byte
		storedKey []byte
		serverKey []byte
	}

	// scramExchange is the state of one SCRAM authentication. clientFirstBare
	// and serverFirst are parts of its messages, named as in RFC 5802; nonce
	// is that of the client followed by that of the server.
	scramExchange struct {
		verifier        verifier
		gs2Header       string
		clientFirstBare string
		serverFirst     string
		nonce           string
	}
)

// LoadFile reads a password file. With an empty name every caller is trusted. The
// error is ErrPasswordFile.
func LoadFile(name string) (*File, error) {
	f := &File{name: name}
	if name == "" {
		return f, nil
	}
	_, err := f.Reload()
	return f, err
}

// Get returns the passwords of the file as last loaded, or nil if every caller is
// trusted.
func (f *File) Get() *Passwords { return f.current.Load() }

// Reload reads the file again and reports whether it has changed. If it can't be
// read or parsed, the old passwords stay in force and the error is
// ErrPasswordFile.
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

// Files returns the name of the one file, for the interface keys.Reloader.
func (f *File) Files() string { return f.name }

// Parse parses the content of a password file. The error is ErrPasswordFile.
func Parse(text string) (*Passwords, error) {
	mock, err := newVerifier(rand.Text())
	if err != nil {
		return nil, err
	}
	passwords := &Passwords{users: map[string]verifier{}, mockVerifier: mock}
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, commentPrefix) {
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

// Authenticate runs the SCRAM exchange with the caller through messages, unless p
// is nil. If it fails, the caller has been sent an error response.
func (p *Passwords) Authenticate(messages *pgproto3.Backend, user string) error {
	if p == nil {
		return nil
	}
	if err := p.runSCRAM(messages, user); err != nil {
		refusal := outcome.Fatal(outcome.StateBadPassword, fmt.Sprintf("password authentication failed for user %q", user))
		messages.Send(&pgproto3.ErrorResponse{
			Severity: refusal.Severity, SeverityUnlocalized: refusal.Severity, Code: refusal.State, Message: refusal.Message,
		})
		_ = messages.Flush()
		return err
	}
	return nil
}

// runSCRAM runs the exchange of SCRAM-SHA-256 (RFC 5802, RFC 7677).
func (p *Passwords) runSCRAM(messages *pgproto3.Backend, user string) error {
	messages.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := receive(messages, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return eris.Wrap(ErrAuthenticationFailed, "the client chose another mechanism than "+mechanism)
	}
	e, err := p.startExchange(user, string(initial.Data))
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
	final, err := e.verifyFinalMessage(string(response.Data))
	if err != nil {
		return err
	}
	if _, exists := p.users[user]; !exists {
		return eris.Wrap(ErrAuthenticationFailed, "the user doesn't exist")
	}
	messages.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return eris.Wrap(messages.Flush(), "send the authentication result")
}

// receive sends the pending messages and returns the caller's response. kind is the
// AuthType of pgproto3 by which it decodes the response.
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

// startExchange parses the caller's first message and returns the exchange with the
// server's first message.
func (p *Passwords) startExchange(user, message string) (*scramExchange, error) {
	header := gs2NoBinding
	clientFirstBare, found := strings.CutPrefix(message, gs2NoBinding)
	if !found {
		header = gs2BindingUnused
		clientFirstBare, found = strings.CutPrefix(message, gs2BindingUnused)
	}
	if !found {
		return nil, eris.Wrap(ErrAuthenticationFailed, "the client requires channel binding, which isn't supported")
	}
	nonce, ok := attribute(clientFirstBare, "r=")
	if !ok {
		return nil, eris.Wrap(ErrAuthenticationFailed, "the client's first message has no nonce")
	}
	v, ok := p.users[user]
	if !ok {
		v = p.mockVerifier
	}
	e := &scramExchange{verifier: v, gs2Header: header, clientFirstBare: clientFirstBare, nonce: nonce + newNonce()}
	e.serverFirst = fmt.Sprintf("r=%s,s=%s,i=%d", e.nonce, base64.StdEncoding.EncodeToString(v.salt), scramIterations)
	return e, nil
}

// verifyFinalMessage verifies the proof in the caller's final message and returns the
// server's final message with the server's signature.
func (e *scramExchange) verifyFinalMessage(message string) (string, error) {
	at := strings.LastIndex(message, ",p=")
	if at < 0 {
		return "", eris.Wrap(ErrAuthenticationFailed, "the client's final message has no proof")
	}
	withoutProof := message[:at]
	proof, err := base64.StdEncoding.DecodeString(message[at+len(",p="):])
	if err != nil || len(proof) != sha256.Size {
		return "", eris.Wrap(ErrAuthenticationFailed, "the client's proof is malformed")
	}
	binding, _ := attribute(withoutProof, "c=")
	nonce, _ := attribute(withoutProof, "r=")
	if binding != base64.StdEncoding.EncodeToString([]byte(e.gs2Header)) || nonce != e.nonce {
		return "", eris.Wrap(ErrAuthenticationFailed, "the channel binding or the nonce differs from the first messages")
	}
	signed := e.clientFirstBare + "," + e.serverFirst + "," + withoutProof
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

// attribute returns the value of an attribute in a comma-separated list. name ends
// with "=".
func attribute(list, name string) (string, bool) {
	for part := range strings.SplitSeq(list, ",") {
		if value, found := strings.CutPrefix(part, name); found {
			return value, true
		}
	}
	return "", false
}

// newVerifier returns a verifier of the password with a random salt.
func newVerifier(password string) (verifier, error) {
	salt := make([]byte, saltLength)
	// Read never fails.
	_, _ = rand.Read(salt)
	salted, err := pbkdf2.Key(sha256.New, password, salt, scramIterations, sha256.Size)
	if err != nil {
		return verifier{}, eris.Wrap(ErrPasswordFile, err.Error())
	}
	storedKey := sha256.Sum256(mac(salted, "Client Key"))
	return verifier{salt: salt, storedKey: storedKey[:], serverKey: mac(salted, "Server Key")}, nil
}

// newNonce returns the server's part of a nonce.
func newNonce() string {
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce)
	return base64.StdEncoding.EncodeToString(nonce)
}

// mac returns the HMAC-SHA-256 of text.
func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}
