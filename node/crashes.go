package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// expireEvery is how often what is known of crashes is looked through.
	expireEvery = 5 * time.Second
	// askEvery is how often a peer that knows something else of crashes is asked.
	askEvery = 2 * clock.Second
)

// crashes is what this node knows of requests that crash backend servers. It is safe for
// concurrent use. Its lock is taken under those of gates and of the node, and none is taken
// under it.
type crashes struct {
	now func() clock.Millis
	// tell tells entries of other nodes at once.
	tell func(c *wire.Crashes)
	// isEmpty and digest are the register's, for readers that can't wait.
	isEmpty atomic.Bool
	digest  atomic.Uint64
	// changed is filled when there is something for the loop.
	changed chan struct{}

	mu       sync.Mutex
	register *quarantine.Register
	// told is up to where others were told, and untold what the readers are still to hear.
	told   uint64
	untold []quarantine.End
}

func newCrashes(now func() clock.Millis, tell func(c *wire.Crashes)) *crashes {
	c := &crashes{now: now, tell: tell, register: quarantine.New(), changed: make(chan struct{}, 1)}
	c.isEmpty.Store(true)
	return c
}

// IsEmpty reports whether nothing is suspected.
func (c *crashes) IsEmpty() bool {
	return c.isEmpty.Load()
}

// Watches reports whether a request with the hint may be a suspect.
func (c *crashes) Watches(hint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Watches(hint)
}

// Standing says how a request may be sent.
func (c *crashes) Standing(f quarantine.Fingerprint) quarantine.Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Standing(c.now(), f)
}

// Ended takes in the end of a backend server beside this node.
func (c *crashes) Ended(e quarantine.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isNews, _ := c.register.Merge(c.now(), []quarantine.End{e}); isNews {
		c.share(true)
	}
}

// Missed takes in a trial beside this node that showed nothing.
func (c *crashes) Missed(e quarantine.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.register.Miss(c.now(), e) {
		c.share(true)
	}
}

// Succeeded takes in that a run beside this node came to its end and didn't fail.
func (c *crashes) Succeeded(d *wire.Dispatch) {
	if c.IsEmpty() {
		return
	}
	subject := d.Subject()
	if !c.Watches(subject.Hint()) {
		return
	}
	c.Cleared(subject.Fingerprint())
}

// Cleared takes in that a request succeeded.
func (c *crashes) Cleared(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.register.Clear(c.now(), f) {
		c.share(true)
	}
}

// merge takes in what a peer tells and returns what that peer lacks. A node that others
// keep links to passes on what is new.
func (c *crashes) merge(told *wire.Crashes, passesOn bool) (behind []quarantine.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNews, behind := c.register.Merge(c.now(), told.Plain(c.now()))
	if isNews {
		c.share(passesOn)
	}
	return behind
}

// share brings what is read without the lock up to date, tells entries with a link what has
// changed if that is wanted, and wakes the loop. The lock is held.
func (c *crashes) share(tells bool) {
	c.isEmpty.Store(c.register.IsEmpty())
	c.digest.Store(c.register.Digest())
	ends, told := c.register.Since(c.told)
	c.told = told
	if tells && len(ends) > 0 {
		c.untold = append(c.untold, ends...)
		c.tell(wire.CrashesOf(c.now(), ends))
	}
	select {
	case c.changed <- struct{}{}:
	default: // it is to look already
	}
}

// takeUntold returns what the readers are still to hear.
func (c *crashes) takeUntold() []quarantine.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.untold
	c.untold = nil
	return ends
}

// all returns everything that is to be known elsewhere, with the digest of it.
func (c *crashes) all() []quarantine.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends, _ := c.register.Since(0)
	return ends
}

// cases returns the requests that are suspected or quarantined.
func (c *crashes) cases() []quarantine.Case {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Cases()
}

// expire forgets what is too old.
func (c *crashes) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Expire(c.now())
	c.share(false)
}

// lift frees the requests that a table names.
func (c *crashes) lift(t *table.Table) {
	var all []quarantine.Fingerprint
	for i := range t.Services {
		for _, text := range t.Services[i].Lift {
			if f, ok := quarantine.ParseFingerprint(text); ok { // the table was checked
				all = append(all, f)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Lift(all)
	c.share(false)
}

// byDispatch is what gates ask.
type byDispatch struct{ *crashes }

// Standing says how a dispatch's request may be sent.
func (b byDispatch) Standing(d *wire.Dispatch) quarantine.Standing {
	if b.IsEmpty() {
		return quarantine.Standing{}
	}
	subject := d.Subject()
	if d.Verdict == uint8(quarantine.Free) && !b.Watches(subject.Hint()) {
		return quarantine.Standing{}
	}
	return b.crashes.Standing(subject.Fingerprint())
}

// followCrashes tells the readers of what has changed, and acts on it here.
func (n *Node) followCrashes(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	held := map[quarantine.Fingerprint]struct{}{}
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
			n.crashes.expire()
		case <-n.crashes.changed:
			if ends := n.crashes.takeUntold(); len(ends) > 0 {
				n.tellReaders(wire.CrashesOf(n.clock.Now(), ends))
			}
		}
		n.actOn(n.crashes.cases(), held)
	}
}

// tellReaders tells the nodes that all others keep links to.
func (n *Node) tellReaders(c *wire.Crashes) {
	for _, p := range n.allReaders() {
		p.link.Keep()
		p.link.TellCrashes(c)
	}
}

func (n *Node) allReaders() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*peer
	for _, address := range mirror.AllReaders(n.nodes()) {
		if p, ok := n.peers[address]; ok {
			all = append(all, p)
		}
	}
	return all
}

// actOn says which requests are held back from now on, and which no longer, and tells the
// gates of upstreams that are not to blame for their crashes.
func (n *Node) actOn(cases []quarantine.Case, held map[quarantine.Fingerprint]struct{}) {
	now := n.clock.Now()
	current := map[quarantine.Fingerprint]struct{}{}
	for i := range cases {
		c := &cases[i]
		if c.Verdict != quarantine.Quarantined || now >= c.Until {
			continue
		}
		current[c.Fingerprint] = struct{}{}
		if _, ok := held[c.Fingerprint]; ok {
			continue
		}
		held[c.Fingerprint] = struct{}{}
		n.log.WithFields(logrus.Fields{
			"fingerprint": c.Fingerprint.String(), "service": c.Service, "upstreams": c.Servers, "requests": c.Requests,
			"trials": c.Trials, "chance": wire.Short(c.Chance), "age": (now - c.Last).String(), "until": (c.Until - now).String(),
		}).Warn("request quarantined; it crashes the backend servers that run it")
		n.metrics.Note(account.Event{
			At: now, Kind: account.Quarantined, Service: c.Service, Reason: c.Fingerprint.String(), Until: c.Until,
		})
	}
	for _, g := range n.allGates() {
		for i := range cases {
			if cases[i].Verdict == quarantine.Quarantined && slices.Contains(cases[i].Servers, g.Name()) {
				g.Explained(cases[i].Ends)
			}
		}
	}
	for f := range held {
		if _, ok := current[f]; !ok {
			delete(held, f)
			n.log.WithField("fingerprint", f.String()).Info("request quarantined no longer")
			n.metrics.Note(account.Event{At: now, Kind: account.Freed, Reason: f.String()})
		}
	}
}

// Crashes takes in what a node with a link to this one tells.
func (n *Node) Crashes(c *wire.Crashes) (*wire.Crashes, bool) {
	_, isReader := n.size()
	behind := n.crashes.merge(c, isReader)
	if c.Asks {
		behind = append(n.crashes.all(), behind...)
	}
	return wire.CrashesOf(n.clock.Now(), behind), len(behind) > 0
}

// PeerCrashes takes in what a node that this one dialled tells.
func (n *Node) PeerCrashes(c *wire.Crashes) {
	_, isReader := n.size()
	n.crashes.merge(c, isReader)
}

// compareCrashes asks a peer that knows something else of crashes.
func (n *Node) compareCrashes(node string, b *wire.Beat) {
	if b.Crashes == n.crashes.digest.Load() {
		return
	}
	now := n.clock.Now()
	n.mu.Lock()
	p, ok := n.peers[node]
	isDue := ok && (p.asked == 0 || now-p.asked >= askEvery)
	if isDue {
		p.asked = now
	}
	n.mu.Unlock()
	if !isDue {
		return
	}
	ask := wire.CrashesOf(now, n.crashes.all())
	ask.Asks = true
	p.link.TellCrashes(ask)
}

// Quarantine lists the requests under which backend servers crash.
func (n *Node) Quarantine() []account.Suspect {
	now := n.clock.Now()
	cases := n.crashes.cases()
	all := make([]account.Suspect, 0, len(cases))
	for i := range cases {
		c := &cases[i]
		s := account.Suspect{
			Fingerprint: c.Fingerprint.String(), Verdict: account.SuspectTried, Service: c.Service,
			Upstreams: c.Servers, Requests: c.Requests, Trials: c.Trials, Chance: c.Chance, Age: now - c.Last,
		}
		if c.Verdict == quarantine.Quarantined && now < c.Until {
			s.Verdict, s.Left = account.SuspectHeld, c.Until-now
		}
		all = append(all, s)
	}
	return all
}
