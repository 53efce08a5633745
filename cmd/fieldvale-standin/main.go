// Fieldvale-standin runs small in-memory fakes of the platform's services and of
// backend servers, for the demo, for tests that start processes and for manual
// tests.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"

	"fieldvale/standin/engine"
	"fieldvale/standin/kv"
	"fieldvale/standin/list"
	"fieldvale/standin/rating"
	"fieldvale/standin/serve"
	"fieldvale/standin/service"
)

const usage = `fieldvale-standin runs stand-ins of the systems that fieldvale works with. They
keep everything in memory and print their addresses as one line of JSON.

Faults can be injected into each while it runs, such as
    curl 'ADDRESS/standin/fault?down=true'     refuse everything
    curl 'ADDRESS/standin/fault?slow=500ms'    be slow
    curl 'ADDRESS/standin/fault'               be sound again`

func main() {
	parser := flags.NewNamedParser("fieldvale-standin", flags.Default)
	parser.LongDescription = usage
	for _, c := range []struct {
		name, short string
		commander   any
	}{
		{"platform", "key-value service, instance list and rating service", &platformCommand{}},
		{"backends", "model engines and plain services", &backendsCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.commander); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// waitForSignal blocks until the process is asked to stop.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}

// printJSON prints v as one line of JSON, from which the starting program reads
// the addresses.
func printJSON(v any) error {
	encoded, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Println(string(encoded))
	return nil
}

// platformCommand runs the platform's services.
type platformCommand struct {
	KV     string        `long:"kv" default:"127.0.0.1:0" description:"address of the key-value service"`
	List   string        `long:"list" default:"127.0.0.1:0" description:"address of the instance list"`
	Rating string        `long:"rating" default:"127.0.0.1:0" description:"address of the rating service"`
	Lag    time.Duration `long:"lag" default:"1s" description:"age of the instance list that callers get"`
}

// Execute implements flags.Commander.
func (p *platformCommand) Execute([]string) error {
	kvServer, err := serve.Listen(p.KV, kv.NewServer().Handle)
	if err != nil {
		return err
	}
	listServer, err := serve.Listen(p.List, list.New(p.Lag).Handle)
	if err != nil {
		return err
	}
	ratingServer, err := serve.Listen(p.Rating, rating.New(2*time.Millisecond).Handle)
	if err != nil {
		return err
	}
	if err := printJSON(map[string]string{"kv": kvServer.Addr, "list": listServer.Addr, "rating": ratingServer.Addr}); err != nil {
		return err
	}
	waitForSignal()
	return nil
}

// engineModels maps each team to the models that its engines serve, by
// MODEL@VERSION.
var engineModels = map[string]map[string]engine.Model{
	"shared-memory": {
		"lingua-small@1": {Quality: 0.95, QualityRange: 0.45, PerToken: 500 * time.Microsecond},
		"lingua-small@2": {Quality: 0.97, QualityRange: 0.45, PerToken: 500 * time.Microsecond},
		"lingua-large@1": {Quality: 0.98, QualityRange: 0.1, PerToken: 1500 * time.Microsecond},
	},
	"maizes-tilts": {
		"dough-small@1": {Quality: 0.95, QualityRange: 0.35, PerToken: 500 * time.Microsecond},
		"dough-large@1": {Quality: 0.98, QualityRange: 0.1, PerToken: 1500 * time.Microsecond},
		"dough-large@2": {Quality: 0.98, QualityRange: 0.1, PerToken: 1500 * time.Microsecond},
	},
}

// serviceNames lists the plain services.
var serviceNames = []string{"memory", "orders"}

const (
	replicaSlots = 8
	engineQueue  = 32
	serviceTime  = 3 * time.Millisecond
)

// backendsCommand runs the backend servers.
type backendsCommand struct {
	Engines  int `long:"engines" default:"3" description:"model engines of each team"`
	Services int `long:"services" default:"2" description:"replicas of each plain service"`
	// ReportLoad makes the answers of all backend servers report their load.
	ReportLoad bool `long:"report-load" description:"report the load in each answer"`
}

// Execute implements flags.Commander.
func (b *backendsCommand) Execute([]string) error {
	var instances []list.Instance
	addInstance := func(instance list.Instance, handler fasthttp.RequestHandler) error {
		server, err := serve.Listen("127.0.0.1:0", handler)
		if err != nil {
			return err
		}
		instance.Addr, instance.DataCentre = server.Addr, fmt.Sprintf("dc-%c", 'a'+len(instances)%3)
		instances = append(instances, instance)
		return nil
	}
	for team, teamModels := range engineModels {
		for n := range b.Engines {
			id := fmt.Sprintf("engine-%s-%d", team, n+1)
			modelEngine := engine.New(engine.Settings{ID: id, Slots: replicaSlots, QueueSize: engineQueue, Models: teamModels, ChecksFencingToken: n%2 == 0, ReportsLoad: b.ReportLoad})
			if err := addInstance(list.Instance{ID: id, Kind: "engine", Slots: replicaSlots, ChecksFencingToken: n%2 == 0}, modelEngine.Handle); err != nil {
				return err
			}
		}
	}
	for _, name := range serviceNames {
		for n := range b.Services {
			id := fmt.Sprintf("service-%s-%d", name, n+1)
			plainService := service.New(serviceTime, false)
			if b.ReportLoad {
				plainService.Slots = replicaSlots
			}
			if err := addInstance(list.Instance{ID: id, Kind: "service", Service: name, Slots: replicaSlots}, plainService.Handle); err != nil {
				return err
			}
		}
	}
	if err := printJSON(instances); err != nil {
		return err
	}
	waitForSignal()
	return nil
}
