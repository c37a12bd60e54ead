package node_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/wire"
)

// largeStore holds values of the given sizes that can't be compressed.
type largeStore struct{ items []mirror.Item }

func newLargeStore(sizes ...int) largeStore {
	random := rand.NewChaCha8([32]byte{1})
	items := make([]mirror.Item, 0, len(sizes))
	for i, size := range sizes {
		value := make([]byte, size)
		_, _ = random.Read(value) // never fails
		items = append(items, mirror.Item{Key: fmt.Sprintf("servers/%04d", i), Value: value, Revision: 5, Created: 5})
	}
	return largeStore{items}
}

func (s largeStore) List(context.Context) (mirror.Listing, error) {
	return mirror.Listing{Items: s.items, Revision: 5, IsSnapshot: true}, nil
}

func (largeStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	return nil, 5, nil
}

func repeat(size, count int) []int {
	sizes := make([]int, count)
	for i := range sizes {
		sizes[i] = size
	}
	return sizes
}

// Guards against a copy whose parts are larger than a frame may be: the link to the joining node ended
// with the part, and so did each further attempt.
func TestLargeValuesReachAJoiningNode(t *testing.T) {
	tests := map[string][]int{
		"two of the largest":  repeat(1<<20, 2),
		"large ones in a row": repeat(900<<10, 4),
		"a large one last":    append(repeat(1000, 900), 1<<20),
		"many small ones":     repeat(1000, 3000),
	}
	for name, sizes := range tests {
		t.Run(name, func(t *testing.T) {
			seedPorts, joiningPorts := listen(t), listen(t)
			builder := fixedTable{tableOf([]*node.Listeners{seedPorts, joiningPorts})}
			seeds := []string{seedPorts.Link.Addr().String()}
			seed := startNodeWith(t, "seed", seedPorts, newLargeStore(sizes...), builder, func(s *settings.Settings) { s.Peers = seeds })
			awaitTable(t, "seed", seed)
			joining := startNodeWith(t, "joining", joiningPorts, fakeStore{isUnavailable: true}, builder, func(s *settings.Settings) { s.Peers = seeds })
			awaitTable(t, "joining", joining)
		})
	}
}

// lockedBuffer is a buffer that a logger and a test use at the same time.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against a link that ends with each heartbeat, and the requests in flight on it, because the
// values for a node without a table are larger than a frame may be.
func TestLargeValuesEndNoLinkToANodeWithoutTable(t *testing.T) {
	helperPorts, blankPorts := listen(t), listen(t)
	builder := fixedTable{tableOf([]*node.Listeners{blankPorts})}
	callerAddress := helperPorts.Caller.Addr().String()
	var lines lockedBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetLevel(logrus.DebugLevel)
	helper := startNodeWithLog(t, log, "knowing", helperPorts, newLargeStore(repeat(900<<10, 3)...), builder, func(*settings.Settings) {})
	awaitTable(t, "knowing", helper)
	startNode(t, "blank", blankPorts, fakeStore{isUnavailable: true}, builder)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + callerAddress + "/turno")
	if err := fasthttp.DoTimeout(request, response, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	const refused = "too large to send"
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(lines.String(), refused) && !strings.Contains(lines.String(), "link ended") && time.Now().Before(deadline) {
		<-time.After(10 * time.Millisecond)
	}
	if got := lines.String(); strings.Contains(got, "link ended") || !strings.Contains(got, refused) {
		t.Errorf("got the lines\n%s\nwant one that the values are %s, and no link ended", got, refused)
	}
}

// Guards against frames that a node makes and its peers refuse: each part of a copy must fit a frame.
func TestLargestValueFitsAFrame(t *testing.T) {
	store := newLargeStore(1 << 20)
	store.items[0].Key = "servers/" + strings.Repeat("\xff", 192)
	packed, err := wire.Pack(store.items)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := wire.Encode(&wire.CopyPart{Revision: 1<<64 - 1, Items: packed, IsFirst: true, IsLast: true, Time: 1 << 60, Age: 1 << 60})
	if want := 1<<20 + wire.MaxOverhead; err != nil || len(frame) > want {
		t.Errorf("got a frame of %d bytes and error %v, want at most %d bytes", len(frame), err, want)
	}
}
