// Command burdockwood-platform runs the roles on the operators' platform.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/platform"
)

func main() { os.Exit(platform.Main()) }
