// Command measure measures the real components under load and faults.
package main

import (
	"os"

	"github.com/burdockwood/burdockwood/internal/measure/command"
)

func main() { os.Exit(command.Main()) }
