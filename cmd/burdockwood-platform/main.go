// Command burdockwood-platform runs a proxy or a control node on the operators'
// platform.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/platform"
)

func main() { os.Exit(platform.Main()) }
