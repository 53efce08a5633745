// Fieldvale-entry is the process of an instance that answers callers' requests.
// See usage for how to run it.
package main

import (
	"os"

	"fieldvale/adapter/settings"
	"fieldvale/process"
)

const usage = `fieldvale-entry answers callers' requests.

It serves the OpenAI API and plain services to callers, and works with the
fieldvale-control that runs beside it on the same instance. While that
process is down it goes on serving with the last configuration that it received.

SIGTERM or SIGINT stops it gracefully: it reports that it is not ready, goes on
accepting requests for the time "drain", answers all requests in flight, and
exits with 0.

The settings file is INI; examples/entry.ini has every key with a comment.`

func main() {
	os.Exit(process.Main("fieldvale-entry", usage, settings.LoadEntry, func(s settings.Entry) (string, string, process.RunnerFactory) {
		return s.ID, s.Level, func(l process.Logger) process.Runner { return process.NewEntry(s, l) }
	}))
}
