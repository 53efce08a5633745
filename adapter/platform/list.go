package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"fieldvale/peer"
	"fieldvale/pool"
)

// InstanceList is the platform's list of fieldvale instances and of backend servers.
type InstanceList struct {
	Members  []peer.Member
	Replicas []pool.Replica
	// Invalid says what is wrong with each entry that is left out, as no instance or server can be used by it.
	Invalid []error
}

type wireInstance struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	DataCentre  string `json:"data_centre"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	ChecksFence bool   `json:"checks_fence"`
	Leaving     bool   `json:"leaving"`
}

const (
	// memberKind is the kind of fieldvale's own instances in the list.
	memberKind = "fieldvale"
	// maxSlots bounds the slots of a backend server. It exceeds what a server can hold.
	maxSlots = 100_000
	// maxPort is the highest port of TCP.
	maxPort = 1<<16 - 1
)

// Instances returns the list, which lags behind the actual state. It leaves out draining
// instances of fieldvale.
func (p *Client) Instances(ctx context.Context) (InstanceList, error) {
	b, err := p.fetch(ctx, fasthttp.MethodGet, p.listAddr, "/v1/instances", nil)
	if err != nil {
		return InstanceList{}, errors.Wrap(err, "platform: list instances")
	}
	l, err := decodeList(b)
	return l, errors.Wrap(err, "platform: list instances")
}

// decodeList decodes each entry by itself. The array is found by gjson: encoding/json decodes none of it if one entry is
// nested too deeply.
func decodeList(b []byte) (InstanceList, error) {
	entries := gjson.GetBytes(b, "instances")
	if !entries.IsArray() || !strings.HasSuffix(entries.Raw, "]") {
		return InstanceList{}, errors.Newf("got %.80q, want an object with a whole array of instances", b)
	}
	var l InstanceList
	entries.ForEach(func(_, e gjson.Result) bool {
		l.add(e.Raw)
		return true
	})
	return l, nil
}

// add decodes an entry and adds it.
func (l *InstanceList) add(entry string) {
	var w wireInstance
	err := json.Unmarshal([]byte(entry), &w)
	if err == nil {
		err = w.validate()
	}
	switch {
	case err != nil:
		l.Invalid = append(l.Invalid, errors.Newf("entry %.80q: %.200s", entry, err.Error()))
	case w.Kind != memberKind:
		l.Replicas = append(l.Replicas, pool.Replica{
			ID: w.ID, Addr: w.Addr, DataCentre: w.DataCentre, Kind: pool.Kind(w.Kind),
			Service: w.Service, Slots: w.Slots, ChecksFencingToken: w.ChecksFence, Draining: w.Leaving,
		})
	case !w.Leaving:
		l.Members = append(l.Members, peer.Member{ID: w.ID, Addr: w.Addr, DataCentre: w.DataCentre})
	}
}

// validate returns an error if no instance or server can be used by the entry.
func (w wireInstance) validate() error {
	host, port, err := net.SplitHostPort(w.Addr)
	if err != nil {
		return errors.Wrap(err, "address is no host with a port")
	}
	n, err := strconv.Atoi(port)
	switch {
	case w.ID == "" || !httpguts.ValidHeaderFieldValue(w.ID):
		return errors.Newf("id is %.40q, want one without control bytes", w.ID)
	case host == "" || !httpguts.ValidHeaderFieldValue(host) || err != nil || n < 1 || n > maxPort:
		return errors.Newf("address is %.40q, want a host with a port from 1 to %d", w.Addr, maxPort)
	case w.Slots < 0 || w.Slots > maxSlots:
		return errors.Newf("slots are %d, want 0 to %d", w.Slots, maxSlots)
	}
	return nil
}
