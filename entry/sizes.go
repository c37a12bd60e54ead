package entry

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
)

// sizeWindow is the number of recent requests over which a route's typical sizes are
// averaged: enough that one unusual body doesn't change the placement of the next ones.
const sizeWindow = 32

// routeSizes are the typical sizes of the bodies of a route, in bytes.
type routeSizes struct {
	request, response int
}

// averageSizes are averages in bytes. Older requests are weighted down.
type averageSizes struct {
	count, request, response float64
}

// sizeProfiles records the sizes of the bodies of each route. It is safe for concurrent use.
type sizeProfiles struct {
	mu      sync.Mutex
	byRoute map[string]*averageSizes
}

func newSizeProfiles() *sizeProfiles {
	return &sizeProfiles{byRoute: map[string]*averageSizes{}}
}

// typical returns the typical sizes of a route, zero if it has served no request.
func (p *sizeProfiles) typical(r *table.Route) routeSizes {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sizes, ok := p.byRoute[routeKey(r)]; ok {
		return routeSizes{request: int(sizes.request), response: int(sizes.response)}
	}
	return routeSizes{}
}

// observe records the sizes of a request that was served.
func (p *sizeProfiles) observe(r *table.Route, request, response int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := routeKey(r)
	sizes, ok := p.byRoute[key]
	if !ok {
		if len(p.byRoute) >= maxProfiles {
			clear(p.byRoute)
		}
		sizes = &averageSizes{}
		p.byRoute[key] = sizes
	}
	sizes.count = min(sizes.count+1, sizeWindow)
	sizes.request += (float64(request) - sizes.request) / sizes.count
	sizes.response += (float64(response) - sizes.response) / sizes.count
}

// updateSizes records the sizes of a request that was served.
func (r *request) updateSizes(o *result) {
	if o.served && r.placesByCost() {
		r.entry.sizes.observe(r.route, len(r.body), len(o.reply.Body))
	}
}

// countCrossBytes counts the bodies of an attempt at an upstream in another failure domain,
// unless it found no path there.
func (r *request) countCrossBytes(a *attempt, o *result) {
	if a.upstream.Domain == r.entry.config.Domain || (o.kind == retry.NotRun && o.reason == access.ReasonUnreachable) {
		return
	}
	r.crossBytes += len(r.body)
	if o.reply != nil {
		r.crossBytes += len(o.reply.Body)
	}
}
