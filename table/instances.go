package table

import (
	"net/netip"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrInstances is the error of an instance list that is malformed.
const ErrInstances = errors.ConstError("malformed instance list")

// States of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is a node and its state as the platform publishes it. The list lags behind:
// an instance may be gone already, or not be listed yet.
type Instance struct {
	// Node is the node's link address, an IP number and port.
	Node string `toml:"node"`
	// Domain is the instance's failure domain.
	Domain string `toml:"domain"`
	// State is Live or Leaving.
	State string `toml:"state"`
}

// Instances is one published version of the instance list.
type Instances struct {
	Version uint64 `toml:"version"`
	// List holds the instances in published order, each node once.
	List []Instance `toml:"instance"`
}

// ParseInstances reads an instance list. It ignores unknown keys, so that the platform
// may add some. Its errors match ErrInstances and describe the first fault.
func ParseInstances(body []byte) (Instances, error) {
	var instances Instances
	if err := toml.Unmarshal(body, &instances); err != nil {
		return Instances{}, errors.Annotate(ErrInstances, err.Error())
	}
	seen := make(map[string]struct{}, len(instances.List))
	for i, instance := range instances.List {
		if err := instance.check(); err != nil {
			return Instances{}, errors.Annotatef(err, "instance %d", i+1)
		}
		if _, duplicate := seen[instance.Node]; duplicate {
			return Instances{}, errors.Annotatef(ErrInstances, "instance %d: node %q is listed twice", i+1, instance.Node)
		}
		seen[instance.Node] = struct{}{}
	}
	return instances, nil
}

func (i Instance) check() error {
	if _, err := netip.ParseAddrPort(i.Node); err != nil {
		return errors.Annotatef(ErrInstances, "node %q, want an IP number and port", i.Node)
	}
	if i.Domain == "" {
		return errors.Annotatef(ErrInstances, "node %s has no domain", i.Node)
	}
	if i.State != Live && i.State != Leaving {
		return errors.Annotatef(ErrInstances, "state %q, want %q or %q", i.State, Live, Leaving)
	}
	return nil
}
