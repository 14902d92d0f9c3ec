// Command sardinelock is a dispatcher for sub-second tasks.
package main

import (
	"os"

	"sardinelock.dev/sardinelock/cmd/sardinelock/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
