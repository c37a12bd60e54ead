package report

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// ErrInvalidAddress reports an admin address that is no IP number and port.
	ErrInvalidAddress = errors.ConstError("not an IP number and port")
	// ErrInvalidAnswer reports an answer that is no account of a node.
	ErrInvalidAnswer = errors.ConstError("not a node's account")
)

const (
	// reportPath is what a node's admin address serves its account at.
	reportPath = "/report"
	// maxConcurrent bounds the nodes asked at once; 2,400 take 38 rounds.
	maxConcurrent = 64
	// recordsPerNode bounds the single records that a node sends. Totals are of
	// all.
	recordsPerNode = 400
	// maxAnswerSize bounds an answer in bytes. A book filled to its default
	// bounds, with 4,100 services over three days, answered with 9 MB.
	maxAnswerSize = 32 << 20
)

// Query says which nodes to ask for what.
type Query struct {
	// Nodes are admin addresses, IP number and port.
	Nodes  []string
	Filter access.Filter
	// Timeout bounds the whole query.
	Timeout clock.Millis
}

// NodeResult is one node's answer, or why there is none.
type NodeResult struct {
	Address  string
	Snapshot *access.Snapshot
	Err      error
}

// Check returns ErrAddress for an address that can't be asked.
func (q Query) Check() error {
	for _, address := range q.Nodes {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Annotatef(ErrInvalidAddress, "node %q", address)
		}
	}
	return nil
}

// Fetch asks the nodes concurrently and returns one result for each address,
// in order; an address given twice is asked once. Its error is ErrAddress.
func Fetch(q Query) ([]NodeResult, error) {
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
	deadline := time.Now().Add(q.Timeout.Duration())
	client := &fasthttp.Client{
		MaxResponseBodySize: maxAnswerSize,
		ReadTimeout:         q.Timeout.Duration(),
		WriteTimeout:        q.Timeout.Duration(),
	}
	defer client.CloseIdleConnections()
	pool, err := ants.NewPool(min(maxConcurrent, max(len(results), 1)))
	if err != nil {
		return nil, errors.Annotate(err, "making the pool of fetchers")
	}
	defer pool.Release()
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		err := pool.Submit(func() {
			defer wait.Done()
			results[i].Snapshot, results[i].Err = fetchNode(client, results[i].Address, q.Filter, deadline)
		})
		if err != nil {
			wait.Done()
			results[i].Err = errors.Annotate(err, "starting a fetch")
		}
	}
	wait.Wait()
	return results, nil
}

func fetchNode(client *fasthttp.Client, address string, f access.Filter, deadline time.Time) (*access.Snapshot, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + reportPath + "?" + f.Query())
	if err := client.DoDeadline(request, response, deadline); err != nil {
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
