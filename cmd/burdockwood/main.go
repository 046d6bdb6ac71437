// Command burdockwood runs the roles of the proxy and the operators' commands.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "burdockwood: no command is built yet")
	os.Exit(1)
}
