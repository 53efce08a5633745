// Fieldvale-control is the part of an instance that talks to the platform's
// store and to other instances. See usage for how to run it.
package main

import (
	"os"

	"fieldvale/adapter/settings"
	"fieldvale/process"
)

const usage = `fieldvale-control does an instance's work that is not a request's: it gets
the configuration from the platform's store or from other instances, spreads
news between instances, drives roll-outs, makes claims, writes bills, orders
model engines, and serves the administration API.

It keeps nothing on the instance and may be restarted at any time. SIGTERM or
SIGINT stops it in order and it exits with 0.

The settings file is INI; examples/control.ini has every key with a comment.`

func main() {
	os.Exit(process.Main("fieldvale-control", usage, settings.LoadControl, func(s settings.Control) (string, string, process.RunnerFactory) {
		return s.ID, s.Level, func(l process.Logger) process.Runner { return process.NewControl(s, l) }
	}))
}
