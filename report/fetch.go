package report

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/head"
)

const (
	// ErrInvalidAddress reports an admin address that isn't an IP address and port.
	ErrInvalidAddress = errors.ConstError("not an IP number and port")
	// ErrInvalidAnswer reports an answer that isn't a node's snapshot in a readable format.
	ErrInvalidAnswer = errors.ConstError("not a node's account")
)

const (
	// reportPath is the path at which a node's admin address serves its snapshot.
	reportPath = "/report"
	// maxConcurrent bounds the nodes that are queried at the same time; 2,400 nodes take 38
	// rounds.
	maxConcurrent = 64
	// recordsPerNode bounds the request records that a node sends. It doesn't affect the
	// totals, which count all requests.
	recordsPerNode = 400
	// maxAnswerSize bounds an answer in bytes. An access log filled to its default limits,
	// with 4,100 services over three days, answers with 9 MB.
	maxAnswerSize = 32 << 20
)

// Query selects the nodes to query and the requests to report on.
type Query struct {
	// Nodes holds admin addresses, each an IP address and port.
	Nodes  []string
	Filter access.Filter
	// Timeout bounds the query of all nodes together.
	Timeout clock.Millis
}

// NodeResult is the snapshot that one node sent, or the error if it sent none.
type NodeResult struct {
	Address  string
	Snapshot *access.Snapshot
	Err      error
}

// Check returns ErrInvalidAddress if an address of Nodes isn't an IP address and port.
func (q Query) Check() error {
	for _, address := range q.Nodes {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Annotatef(ErrInvalidAddress, "node %q", address)
		}
	}
	return nil
}

// Fetch queries the nodes concurrently and returns one result for each distinct
// address, in the order of Nodes. Fetch returns ErrInvalidAddress for a malformed address;
// the failure of a single node is in its result.
func Fetch(ctx context.Context, q Query) ([]NodeResult, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	if q.Filter.Limit == 0 {
		q.Filter.Limit = recordsPerNode
	}
	results := make([]NodeResult, 0, len(q.Nodes))
	seen := make(map[string]bool, len(q.Nodes))
	for _, address := range q.Nodes {
		if !seen[address] {
			results = append(results, NodeResult{Address: address})
		}
		seen[address] = true
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout.Duration())
	defer cancel()
	pool, err := ants.NewPool(min(maxConcurrent, max(len(results), 1)))
	if err != nil {
		return nil, errors.Annotate(err, "creating the worker pool")
	}
	defer pool.Release()
	var fetches sync.WaitGroup
	for i := range results {
		fetches.Add(1)
		err := pool.Submit(func() {
			defer fetches.Done()
			results[i].Snapshot, results[i].Err = fetchNode(ctx, results[i].Address, q.Filter)
		})
		if err != nil {
			fetches.Done()
			results[i].Err = errors.Annotate(err, "starting a fetch")
		}
	}
	fetches.Wait()
	return results, nil
}

// fetchNode fetches a node's snapshot. It returns ErrInvalidAnswer if the status isn't 200
// or the body isn't a snapshot of access.Format.
func fetchNode(ctx context.Context, address string, f access.Filter) (*access.Snapshot, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + reportPath + "?" + f.Query())
	request.SetConnectionClose()
	if err := call(ctx, address, request, response); err != nil {
		return nil, errors.Annotatef(err, "asking %s", address)
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, errors.Annotatef(ErrInvalidAnswer, "status %d", code)
	}
	var s access.Snapshot
	if err := json.Unmarshal(response.Body(), &s); err != nil {
		return nil, errors.Annotatef(ErrInvalidAnswer, "%v", err)
	}
	if s.Format != access.Format {
		return nil, errors.Annotatef(ErrInvalidAnswer, "format %d, this release reads %d", s.Format, access.Format)
	}
	return &s, nil
}

// call sends a request on a connection of its own and reads the response.
func call(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read or the call has failed
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return errors.Trace(err)
		}
	}
	if _, err := request.WriteTo(conn); err != nil {
		return errors.Trace(err)
	}
	err = head.NewReader(conn).ReadResponse(response, maxAnswerSize)
	if errors.Is(err, head.ErrMalformed) || errors.Is(err, head.ErrTooLarge) || errors.Is(err, head.ErrUpgrade) {
		return errors.Annotate(ErrInvalidAnswer, err.Error())
	}
	return errors.Trace(err)
}
