// Package customer implements the commands for customers: their keys, limits and use.
//
// # Usage
//
//	cmd := customer.NewCmdCustomer(f)
//
// Each subcommand has its own file. A key is read from a file or from standard input,
// never from an argument, and only its digest is sent.
package customer

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	standardInput = "-"
	// maxKeyFileBytes is more than a key with its line break.
	maxKeyFileBytes = 4096
)

var (
	errUnknownCustomer = eris.New("no such customer is declared")
	errReadKey         = eris.New("can't read the key")
)

// keyOptions is the flag of the commands that read a customer's key.
type keyOptions struct {
	NewKeyFile string `long:"new-key-file" value-name:"FILE" default:"-" description:"file with the customer's key; -: standard input"`
}

// NewCmdCustomer returns the command "customer" with its subcommands.
func NewCmdCustomer(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "customer",
		Short: "Show customers and their use, change their keys",
		Commands: []*command.Command{
			newCmdList(f),
			newCmdShow(f),
			newCmdUsage(f),
			newCmdTop(f),
			newCmdDigest(f),
			newCmdRotateKey(f),
		},
	}
}

// find returns a declared customer. If there is none of the name, the error has the code
// exit.Failed.
func find(declared *declaration.Declarations, name string) (customer.Customer, error) {
	c, ok := declared.Customer(customer.Name(name))
	if !ok {
		return customer.Customer{}, exit.New(exit.Failed, exit.WithDetail(errUnknownCustomer, "%q", name), "see \"burdockwood customer list\"")
	}
	return c, nil
}

// readDigest returns the digest of the key in the file or, for "-", in the input.
func (o keyOptions) readDigest(in io.Reader) (customer.Digest, error) {
	if o.NewKeyFile != standardInput {
		file, err := os.Open(o.NewKeyFile)
		if err != nil {
			return customer.Digest{}, exit.New(exit.Usage, exit.WithDetail(errReadKey, "%v", err), "name a readable file with the key")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, maxKeyFileBytes))
	if err != nil {
		return customer.Digest{}, exit.New(exit.Usage, exit.WithDetail(errReadKey, "%v", err), "")
	}
	key := strings.TrimRight(string(text), "\r\n")
	if !declaration.IsKey(key) {
		return customer.Digest{}, exit.New(exit.Usage, exit.WithDetail(errReadKey, "%d bytes", len(key)), "write one line with a random text of 8 to 512 printable characters without spaces")
	}
	return customer.DigestOf(key), nil
}

func formatLimit(l customer.Limit) string {
	if l.Rate == 0 {
		return "none"
	}
	return fmt.Sprintf("%d/s, burst %d", l.Rate, l.Burst)
}

func digestTexts(keys []customer.Digest) []string {
	texts := make([]string, 0, len(keys))
	for _, key := range keys {
		texts = append(texts, key.String())
	}
	return texts
}

func shortDigests(keys []customer.Digest) string {
	texts := make([]string, 0, len(keys))
	for _, key := range keys {
		texts = append(texts, declaration.ShortDigest(key))
	}
	return strings.Join(texts, ", ")
}
