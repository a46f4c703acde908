package main

// DrainCmd drains a VM.
type DrainCmd struct {
	VM string `name:"vm" help:"VM to drain; may be omitted if a single address is given."`
}

// Help returns the detailed help of the command.
func (DrainCmd) Help() string { return "Example: oleanderchute drain --vm vm3" }

// Run starts the drain of the VM. It does not wait for its end.
func (c *DrainCmd) Run(a *app) error {
	if c.VM == "" && len(a.Address) != 1 {
		return usageErrorf("no VM is given; type \"--vm NAME\" or a single \"--address\"; \"oleanderchute status\" lists the VMs")
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	if err := cl.Drain(a.ctx, c.VM); err != nil {
		return err
	}
	return a.print(map[string]string{"draining": c.VM}, func() { a.printLinef("draining; \"oleanderchute status\" shows the progress") })
}
