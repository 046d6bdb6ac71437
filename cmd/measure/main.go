// Command measure runs loads and faults against the real components.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/internal/measure/command"
)

func main() { os.Exit(command.Main()) }
