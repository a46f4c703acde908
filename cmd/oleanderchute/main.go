// Command oleanderchute is the daemon and the operator's command of oleanderchute.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}
