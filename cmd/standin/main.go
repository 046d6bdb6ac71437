// Command standin runs a stand-in backend server for tests and measurements.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/internal/standin/command"
)

func main() { os.Exit(command.Main()) }
