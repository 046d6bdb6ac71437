// Command burdockwood runs a proxy, a control node or a command for operators.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/internal/cli/root"
)

func main() { os.Exit(root.Main()) }
