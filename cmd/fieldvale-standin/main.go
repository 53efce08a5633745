// Fieldvale-standin runs small stand-ins of the platform and of backend
// servers, for the demo, for tests of processes and for trying things out.
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

Each takes faults while it runs, such as
    curl 'ADDRESS/standin/fault?down=true'     refuse everything
    curl 'ADDRESS/standin/fault?slow=500ms'    be slow
    curl 'ADDRESS/standin/fault'               be sound again`

func main() {
	p := flags.NewNamedParser("fieldvale-standin", flags.Default)
	p.LongDescription = usage
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"platform", "key-value service, instance list and rating service", &platform{}},
		{"backends", "model engines and plain services", &backends{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// wait ends with the process.
func wait() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	<-c
}

func announce(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

type platform struct {
	KV     string        `long:"kv" default:"127.0.0.1:0" description:"address of the key-value service"`
	List   string        `long:"list" default:"127.0.0.1:0" description:"address of the instance list"`
	Rating string        `long:"rating" default:"127.0.0.1:0" description:"address of the rating service"`
	Lag    time.Duration `long:"lag" default:"1s" description:"how old the instance list is"`
}

// Execute implements flags.Commander.
func (p *platform) Execute([]string) error {
	k, err := serve.On(p.KV, kv.NewServer().Handle)
	if err != nil {
		return err
	}
	l, err := serve.On(p.List, list.New(p.Lag).Handle)
	if err != nil {
		return err
	}
	r, err := serve.On(p.Rating, rating.New(2*time.Millisecond).Handle)
	if err != nil {
		return err
	}
	if err := announce(map[string]string{"kv": k.Addr, "list": l.Addr, "rating": r.Addr}); err != nil {
		return err
	}
	wait()
	return nil
}

// models are those that each engine has, by team.
var models = map[string]map[string]engine.Model{
	"shared-memory": {
		"lingua-small@1": {Quality: 0.95, Spread: 0.45, PerToken: 500 * time.Microsecond},
		"lingua-small@2": {Quality: 0.97, Spread: 0.45, PerToken: 500 * time.Microsecond},
		"lingua-large@1": {Quality: 0.98, Spread: 0.1, PerToken: 1500 * time.Microsecond},
	},
	"maizes-tilts": {
		"dough-small@1": {Quality: 0.95, Spread: 0.35, PerToken: 500 * time.Microsecond},
		"dough-large@1": {Quality: 0.98, Spread: 0.1, PerToken: 1500 * time.Microsecond},
		"dough-large@2": {Quality: 0.98, Spread: 0.1, PerToken: 1500 * time.Microsecond},
	},
}

// services are the plain services, by name, with their team.
var services = []string{"memory", "orders"}

const (
	slots       = 8
	queue       = 32
	serviceWork = 3 * time.Millisecond
)

type backends struct {
	Engines  int `long:"engines" default:"3" description:"model engines of each team"`
	Services int `long:"services" default:"2" description:"replicas of each plain service"`
}

// Execute implements flags.Commander.
func (b *backends) Execute([]string) error {
	var l []list.Instance
	add := func(i list.Instance, h fasthttp.RequestHandler) error {
		s, err := serve.On("127.0.0.1:0", h)
		if err != nil {
			return err
		}
		i.Addr, i.DataCentre = s.Addr, fmt.Sprintf("dc-%c", 'a'+len(l)%3)
		l = append(l, i)
		return nil
	}
	for t, m := range models {
		for n := range b.Engines {
			id := fmt.Sprintf("engine-%s-%d", t, n+1)
			e := engine.New(engine.Settings{ID: id, Slots: slots, Queue: queue, Models: m, ChecksFence: n%2 == 0})
			if err := add(list.Instance{ID: id, Kind: "engine", Slots: slots, ChecksFence: n%2 == 0}, e.Handle); err != nil {
				return err
			}
		}
	}
	for _, s := range services {
		for n := range b.Services {
			id := fmt.Sprintf("service-%s-%d", s, n+1)
			if err := add(list.Instance{ID: id, Kind: "service", Service: s, Slots: slots}, service.New(serviceWork, false).Handle); err != nil {
				return err
			}
		}
	}
	if err := announce(l); err != nil {
		return err
	}
	wait()
	return nil
}
