// Command burdockwood runs the roles of the proxy and the operators' commands.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/internal/cli/root"
)

func main() { os.Exit(root.Main()) }
