// Command oleanderchute is the daemon and the operator's command of oleanderchute.
package main

func main() {}
