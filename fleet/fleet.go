// Package fleet runs a whole deployment on loopback in one process: a stand-in platform,
// stand-in backend servers, and real nodes that connect to each other over real links.
// The demo, the tests and the benchmarks use it.
package fleet

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// Config configures a Fleet.
type Config struct {
	// Table is the deployment. Start works on a copy and replaces its addresses by free
	// ports of this machine. Upstreams that name the same node address share one node.
	Table *table.Table
	// ServiceTime is how long a backend server takes for one request.
	ServiceTime clock.Millis
	// PlatformRelays puts a relay between each node and the platform, to break the connection.
	PlatformRelays bool
	// LinkRelays puts a relay in front of each node's link address, to break its links.
	LinkRelays bool
	// Adjust changes a node's settings before the node starts; nil changes nothing.
	Adjust func(s *settings.Settings)
	// KeyMargin is passed to the nodes, see node.Config; 0 means the default.
	KeyMargin clock.Millis
	// Log receives the nodes' log lines of all levels; nil discards them.
	Log io.Writer
}

// Member is one running node.
type Member struct {
	Name      string
	Node      *node.Node
	Caller    string
	Admin     string
	Link      string
	LinkRelay *standin.Relay // nil without Config.LinkRelays
	// PlatformRelay forwards to the platform; nil without Config.PlatformRelays.
	PlatformRelay *standin.Relay

	domain          string
	listenAddresses settings.Listen
	cancel          context.CancelFunc
	done            chan struct{}
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *standin.Platform
	Backends map[string]*standin.Backend
	Members  []*Member
	Table    *table.Table

	config Config
	// secret is the deployment's own: a node that still dials the port of an ended one must not
	// reach a node of another deployment on this machine.
	secret string
	log    *logrus.Logger
	mu     sync.Mutex
}

// Start starts the deployment and returns when every node has the table in force. If a part
// fails to start, it stops the others and returns an error.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Backends: map[string]*standin.Backend{}, config: c, secret: rand.Text(), log: logrus.New()}
	f.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	f.log.SetOutput(io.Discard)
	if c.Log != nil {
		f.log.SetOutput(c.Log)
		f.log.SetLevel(logrus.DebugLevel)
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, errors.Annotate(err, "starting a fleet on loopback")
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	f.Platform, err = standin.StartPlatform(ctx, standin.PlatformConfig{Address: loopbackAddress})
	if err != nil {
		return errors.Trace(err)
	}
	f.Table = f.config.Table.Clone()
	if err := f.startBackends(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := f.addMembers(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := f.publish(); err != nil {
		return errors.Trace(err)
	}
	for _, m := range f.Members {
		if err := m.awaitTable(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

const loopbackAddress = "127.0.0.1:0"

func (f *Fleet) startBackends(ctx context.Context) error {
	for i := range f.Table.Services {
		s := &f.Table.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			b, err := standin.StartBackend(ctx, standin.BackendConfig{
				Name:    u.Name,
				Address: loopbackAddress,
				Slots:   u.Slots,
				Service: f.config.ServiceTime,
				Seed:    uint64(i*len(s.Upstreams) + j),
			})
			if err != nil {
				return errors.Trace(err)
			}
			f.Backends[u.Name] = b
			u.Address = b.Address()
		}
	}
	return nil
}

// addMembers starts one node for each node address in the table and writes the node's
// real link address into the table.
func (f *Fleet) addMembers(ctx context.Context) error {
	byAddress := map[string]*Member{}
	for i := range f.Table.Services {
		s := &f.Table.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			m, ok := byAddress[u.Node]
			if !ok {
				var err error
				m, err = f.AddMember(ctx, u.Name, u.Domain)
				if err != nil {
					return errors.Trace(err)
				}
				byAddress[u.Node] = m
			}
			u.Node = m.Link
		}
	}
	return nil
}

// AddMember starts one more node, which reads the table from the platform. It doesn't wait
// until the table is in force.
func (f *Fleet) AddMember(ctx context.Context, name, domain string) (*Member, error) {
	listeners, err := node.Listen(ctx, settings.Listen{Caller: loopbackAddress, Link: loopbackAddress, Admin: loopbackAddress}, f.log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &Member{
		Name:   name,
		Caller: listeners.Caller.Addr().String(),
		Admin:  listeners.Admin.Addr().String(),
		Link:   listeners.Link.Addr().String(),
		domain: domain,
		done:   make(chan struct{}),
	}
	m.listenAddresses = settings.Listen{Caller: m.Caller, Link: m.Link, Admin: m.Admin}
	if f.config.LinkRelays {
		m.LinkRelay, err = standin.StartRelay(ctx, standin.RelayConfig{Address: loopbackAddress, Target: m.Link})
		if err != nil {
			listeners.Close()
			return nil, errors.Trace(err)
		}
		m.Link = m.LinkRelay.Address()
	}
	if err := f.startNode(ctx, m, domain, listeners); err != nil {
		listeners.Close()
		return nil, errors.Trace(err)
	}
	f.Members = append(f.Members, m)
	return m, nil
}

func (f *Fleet) startNode(ctx context.Context, m *Member, domain string, listeners *node.Listeners) error {
	s, err := settings.Parse([]byte(baseSettings))
	if err != nil {
		return errors.Trace(err)
	}
	s.Node, s.Domain, s.Listen.Announce = m.Name, domain, m.Link
	s.Platform.Address, s.Secret = f.Platform.Address(), f.secret
	if f.config.PlatformRelays {
		m.PlatformRelay, err = standin.StartRelay(ctx, standin.RelayConfig{Address: loopbackAddress, Target: f.Platform.Address()})
		if err != nil {
			return errors.Trace(err)
		}
		s.Platform.Address = m.PlatformRelay.Address()
	}
	if f.config.Adjust != nil {
		f.config.Adjust(s)
	}
	m.Node, err = node.New(node.Config{
		Settings: s, Log: f.log, Listeners: listeners, KeyMargin: f.config.KeyMargin,
		Store: &platform.Store{Address: s.Platform.Address}, LogDrops: logging.DropCounts{},
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer close(m.done)
		if err := m.Node.Run(ctx); err != nil {
			f.log.WithError(err).Error("node failed")
		}
	}()
	return nil
}

// baseSettings are the settings that startNode completes for each node. Its addresses and secret
// are placeholders: the listeners are already open.
const baseSettings = `
node = "loopback"
domain = "loopback"
secret = "replaced for each deployment"
grace = "10s"
[listen]
caller = "127.0.0.1:1"
link = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
`

// Publish raises the table's version, applies the edit and publishes the table to the platform.
func (f *Fleet) Publish(edit func(t *table.Table)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Table.Version++
	edit(f.Table)
	return f.publish()
}

func (f *Fleet) publish() error {
	text, err := toml.Marshal(f.Table)
	if err != nil {
		return errors.Annotate(err, "encoding the table")
	}
	f.Platform.Publish("table", f.Table.Version, text)
	return nil
}

func (m *Member) awaitTable(ctx context.Context) error {
	select {
	case <-m.Node.InForce():
		return nil
	case <-m.done:
		return errors.Errorf("node %s stopped", m.Name)
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "waiting for node %s", m.Name)
	}
}

// Done returns a channel that is closed when the node has stopped.
func (m *Member) Done() <-chan struct{} {
	return m.done
}

// Stop ends the node immediately, without waiting for requests in flight.
func (m *Member) Stop() {
	m.cancel()
	<-m.done
}

// Close stops all nodes, relays and backend servers and the platform.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		m.cancel()
	}
	for _, m := range f.Members {
		<-m.done
		for _, r := range []*standin.Relay{m.LinkRelay, m.PlatformRelay} {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, b := range f.Backends {
		b.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
