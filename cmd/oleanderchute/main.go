// Command oleanderchute is the daemon of an entry VM and the command-line client for
// operators of the oleanderchute cluster scheduler.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}
