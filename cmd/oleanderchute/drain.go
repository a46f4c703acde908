package main

// DrainCmd drains a VM.
type DrainCmd struct {
	VM string `name:"vm" help:"VM to drain; may be left out with a single address."`
}

// Help shows an example.
func (DrainCmd) Help() string { return "Example: oleanderchute drain --vm vm3" }

// Run drains the VM.
func (c *DrainCmd) Run(a *app) error {
	if c.VM == "" && len(a.Address) != 1 {
		return usageErrorf("which VM? type \"--vm NAME\" or a single \"--address\"; \"oleanderchute status\" lists the VMs")
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	if err := cl.Drain(a.ctx, c.VM); err != nil {
		return err
	}
	return a.printOutput(map[string]string{"draining": c.VM}, func() { a.printLinef("draining; \"oleanderchute status\" shows the progress") })
}
