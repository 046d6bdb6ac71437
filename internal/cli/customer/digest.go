package customer

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

func newCmdDigest(f *factory.Factory) *command.Command {
	options := &keyOptions{}
	return &command.Command{
		Name:  "digest",
		Short: "Print the digest of a key, for the field key-digests of a declaration",
		Example: `burdockwood customer digest --new-key-file harbour-hotel.key
openssl rand -hex 20 | tee harbour-hotel.key | burdockwood customer digest`,
		Options: options,
		Run: func(context.Context, command.Invocation) error {
			digest, err := options.readDigest(f.Streams.In)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(f.Streams.Out, digest)
			return err
		},
	}
}
