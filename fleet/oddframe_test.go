package fleet_test

import (
	"context"
	"flag"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/wire"
)

var (
	oddFrames = flag.Int("odd.frames", 3000, "how many odd messages a node receives")
	oddSeed   = flag.Uint64("odd.seed", 1, "the seed of the odd messages")
)

// frameLimit is the maximum size of the frames that the test sends, in bytes.
const frameLimit = 1 << 20

// messageDrawer draws messages whose fields are valid, extreme or meaningless.
type messageDrawer struct {
	random *rand.Rand
	// names are those of the fleet's services, upstreams and nodes.
	names []string
	// now returns a time on the clock of the node that receives the messages.
	now func() clock.Millis
}

// entryMessages are the messages that a node handles from the entry of another node.
func entryMessages() []wire.Message {
	return []wire.Message{
		&wire.Dispatch{}, &wire.Resolve{}, &wire.CapacityProbe{}, &wire.ReleaseReservation{}, &wire.QuotaRequest{}, &wire.KeyRevocation{},
		&wire.Heartbeat{}, &wire.TableRequest{}, &wire.TableVersion{}, &wire.Announcements{}, &wire.QuotaForward{}, &wire.SlotClaim{},
		&wire.Subscription{}, &wire.StoreUpdate{}, &wire.EraUpdate{}, &wire.CrashReport{},
	}
}

// draw returns a message of the same type with drawn fields.
func (d *messageDrawer) draw(like wire.Message) wire.Message {
	value := reflect.New(reflect.TypeOf(like).Elem())
	d.fill(value.Elem())
	m, _ := value.Interface().(wire.Message)
	return m
}

func (d *messageDrawer) fill(v reflect.Value) {
	switch kind := v.Kind(); {
	case kind == reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() && v.Type().Field(i).Name != "_" {
				d.fill(v.Field(i))
			}
		}
	case kind == reflect.String:
		v.SetString(d.text())
	case kind == reflect.Bool:
		v.SetBool(d.random.IntN(2) == 0)
	case v.CanInt():
		v.SetInt(d.number() >> (64 - v.Type().Bits()))
	case v.CanUint():
		v.SetUint(uint64(d.number()) >> (64 - v.Type().Bits()))
	case v.CanFloat():
		v.SetFloat([]float64{0, 0.5, 1, -1, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()}[d.random.IntN(8)])
	case kind == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), d.random.IntN(5), 4))
		for i := range v.Len() {
			d.fill(v.Index(i))
		}
	case kind == reflect.Array:
		for i := range v.Len() {
			d.fill(v.Index(i))
		}
	case kind == reflect.Pointer:
		if d.random.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			d.fill(v.Elem())
		}
	case kind == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range d.random.IntN(4) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			d.fill(key)
			d.fill(value)
			v.SetMapIndex(key, value)
		}
	}
}

func (d *messageDrawer) text() string {
	odd := []string{"", "x", "\x00", "nobody", "GET", "POST", "/conferme/a", "/", "http://a/b", "127.0.0.1:1", "::", "a\r\nb: c"}
	if d.random.IntN(3) > 0 {
		return d.names[d.random.IntN(len(d.names))]
	}
	return odd[d.random.IntN(len(odd))]
}

func (d *messageDrawer) number() int64 {
	switch d.random.IntN(6) {
	case 0:
		return []int64{math.MinInt64, math.MaxInt64, -1}[d.random.IntN(3)]
	case 1:
		return int64(d.now()) + d.random.Int64N(2000) - 1000
	case 2:
		return d.random.Int64()
	default:
		return d.random.Int64N(20)
	}
}

// Guards against a message of another node, whatever its fields hold, that ends the process of
// each node that receives it, or after which the node serves no callers.
func TestOddMessagesOfPeersEndNoNode(t *testing.T) {
	var secret string
	f := startFleet(t, fleet.Config{Table: newTable(3), Adjust: func(s *settings.Settings) { secret = s.Secret }})
	names := make([]string, 0, 16)
	for i := range f.Table.Services {
		names = append(names, f.Table.Services[i].Name)
		for _, u := range f.Table.Services[i].Upstreams {
			names = append(names, u.Name, u.Node, u.Domain)
		}
	}
	target := f.Members[0]
	system := clock.NewSystem()
	drawer := &messageDrawer{random: rand.New(rand.NewPCG(*oddSeed, 1)), names: names, now: system.Now}
	kinds := entryMessages()
	for i := 0; i < *oddFrames; i += framesOfLink {
		conn := dialOdd(t, target.Link, link.Identity{Node: f.Members[1+i/framesOfLink%2].Link, Incarnation: drawer.random.Uint64(), Secret: secret})
		for range framesOfLink {
			sendOdd(t, conn, drawer.draw(kinds[drawer.random.IntN(len(kinds))]))
		}
		conn.Finish()
		<-conn.Done()
	}
	awaitServed(t, target.Caller)
}

// framesOfLink is how many messages the test sends on a link. It doesn't read what the node sends,
// so that a link can't carry any number.
const framesOfLink = 50

// sendOdd queues a message, unless the node has closed the link.
func sendOdd(t *testing.T, conn *link.Conn, m wire.Message) {
	t.Helper()
	for {
		switch err := conn.Send(m); {
		case errors.Is(err, link.ErrBusy):
			<-time.After(time.Millisecond)
		case err == nil, errors.Is(err, link.ErrClosed):
			return
		default:
			t.Fatal(err)
		}
	}
}

func dialOdd(t *testing.T, address string, self link.Identity) *link.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	conn, _, err := link.Dial(ctx, address, self, frameLimit)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitServed waits until the node serves a request.
func awaitServed(t *testing.T, caller string) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if status, _ = sendRaw(t, caller, "GET /conferme/x HTTP/1.1\r\nHost: a\r\n\r\n"); status == 200 {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	t.Fatalf("got status %d after odd messages, want 200", status)
}
