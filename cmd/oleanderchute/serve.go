package main

import (
	"github.com/oleanderchute/oleanderchute/server"
)

// ServeCmd runs the daemon until SIGTERM or SIGINT, then drains.
type ServeCmd struct {
	server.Settings `embed:""`
}

// Help returns the detailed help of the command.
func (ServeCmd) Help() string {
	return `Example: oleanderchute serve --vm vm1 --region north --failure-domain n1
  --http-address 10.0.0.1:8080 --peer-address 10.0.0.1:7080 --data-dir /var/lib/oleanderchute
  --peers vm1=10.0.0.1:7080,vm2=10.0.0.2:7080,vm3=10.0.0.3:7080 --bootstrap`
}

// Run serves until SIGTERM or SIGINT and returns after a graceful shutdown.
func (c *ServeCmd) Run(a *app) error {
	log, err := newLogger(c.LogLevel)
	if err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return usageErrorf("%v", err)
	}
	s, err := server.New(c.Settings, log)
	if err != nil {
		return err
	}
	return s.Run(a.ctx)
}
