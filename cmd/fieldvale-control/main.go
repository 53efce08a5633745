// Fieldvale-control is the process of an instance that communicates with the
// platform's store and with other instances. See usage for how to run it.
package main

import (
	"os"

	"fieldvale/adapter/settings"
	"fieldvale/process"
)

const usage = `fieldvale-control does the work of an instance outside of requests: it
fetches the configuration from the platform's store or from other instances,
exchanges updates with other instances, drives roll-outs, makes claims, writes
bills, sends orders to model engines, and serves the administration API.

It stores nothing on the instance and may be restarted at any time. SIGTERM or
SIGINT stops it gracefully with exit code 0.

The settings file is INI; examples/control.ini has every key with a comment.`

func main() {
	os.Exit(process.Main("fieldvale-control", usage, settings.LoadControl, func(s settings.Control) (string, string, process.RunnerFactory) {
		return s.ID, s.Level, func(l process.Logger) process.Runner { return process.NewControl(s, l) }
	}))
}
