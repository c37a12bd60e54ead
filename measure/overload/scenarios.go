package overload

import "fuchsiapick.example/fuchsiapick/clock"

// Scenario is a named configuration of a run.
type Scenario struct {
	Name   string
	Config Config
}

// Sicily returns the service conferme of the first deployment.
func Sicily() Config {
	return Config{
		Seed: 1, Entries: 9, Upstreams: 9, Domains: 3, Slots: 3, Waiting: 6, Service: 25,
		Load: 0.7, Deadline: 500, Hop: 1, Span: 30 * clock.Second, Share: 0.2,
	}
}

// Kingston returns the service revisions of the second deployment.
func Kingston() Config {
	c := Sicily()
	c.Slots, c.Waiting = 7, 14
	return c
}

// Planned returns the mean service at the scale that the project is designed for, with
// requests from all entries.
func Planned() Config {
	c := Sicily()
	c.Entries, c.Upstreams, c.Domains, c.Slots, c.Waiting = 2400, 49, 42, 5, 10
	c.Span = 10 * clock.Second
	return c
}

// change modifies a configuration into a variant to compare.
type change func(c *Config)

func double(c *Config)     { c.Load = 2 }
func high(c *Config)       { c.Load = 0.9 }
func slow(c *Config)       { c.Slow = 10 }
func ejected(c *Config)    { c.EjectAt = 2 * clock.Second }
func hedge(c *Config)      { c.Hedge = 120 }
func roundRobin(c *Config) { c.Routing = RoundRobin }
func unlimited(c *Config)  { c.Retries = Unlimited }
func burst(c *Config)      { c.Load, c.Burst, c.RetryAfter = 0.5, 400, Computed }
func constant(c *Config)   { c.RetryAfter = Constant }
func rounded(c *Config)    { c.RetryAfter = Rounded }
func jittered(c *Config)   { c.RetryAfter = Jittered }
func flood(c *Config)      { c.Burst = 4000 }

// unbounded replaces the gate's queue by an unbounded one that ignores deadlines, as in the
// backend server itself. Requests not answered within Timeout are sent again.
func unbounded(c *Config) { c.Queue, c.Timeout = Unbounded, 100 }

func waiting(n int) change         { return func(c *Config) { c.Waiting = n } }
func retries(share float64) change { return func(c *Config) { c.Share = share } }

// short limits the time of a run with several hundred attempts per request.
func short(c *Config) { c.Span = 2 * clock.Second }

// scenario returns a scenario with the changes applied to c in order.
func scenario(name string, c Config, changes ...change) Scenario {
	for _, change := range changes {
		change(&c)
	}
	return Scenario{Name: name, Config: c}
}

// Scenarios returns the scenarios that are measured, together with their baselines.
func Scenarios() []Scenario {
	return append(routing(),
		scenario("overload/sicily", Sicily(), double),
		scenario("overload/kingston", Kingston(), double),
		scenario("overload/planned", Planned(), double),
		scenario("overload/usual", Sicily(), double, roundRobin, unbounded, unlimited),
		scenario("overload/budget-alone", Sicily(), double, unbounded),
		scenario("overload/gate-alone", Sicily(), double, short, unlimited),
		scenario("hedge/slow", Sicily(), slow, hedge),
		scenario("hedge/slow-aside", Sicily(), slow, ejected, hedge),
		scenario("hedge/slow-aside-none", Sicily(), slow, ejected),
		scenario("hedge/high", Sicily(), high, hedge),
		scenario("comeback/computed", Sicily(), burst),
		scenario("comeback/rounded", Sicily(), burst, rounded),
		scenario("comeback/spread", Sicily(), burst, jittered),
		scenario("comeback/constant", Sicily(), burst, constant),
		scenario("comeback/flood", Sicily(), burst, flood),
		scenario("comeback/flood-rounded", Sicily(), burst, flood, rounded),
		scenario("comeback/flood-spread", Sicily(), burst, flood, jittered),
		scenario("comeback/flood-constant", Sicily(), burst, flood, constant),
		scenario("queue/0", Sicily(), high, waiting(0)),
		scenario("queue/3", Sicily(), high, waiting(3)),
		scenario("queue/6", Sicily(), high, waiting(6)),
		scenario("queue/12", Sicily(), high, waiting(12)),
		scenario("queue/24", Sicily(), high, waiting(24)),
		scenario("queue/24-double", Sicily(), double, waiting(24)),
		scenario("retries/0", Sicily(), high, waiting(3), retries(0)),
		scenario("retries/0.1", Sicily(), high, waiting(3), retries(0.1)),
		scenario("retries/0.2", Sicily(), high, waiting(3), retries(0.2)),
		scenario("retries/0.5", Sicily(), high, waiting(3), retries(0.5)),
	)
}

// routing returns the scenarios that compare TwoChoices with RoundRobin.
func routing() []Scenario {
	sizes := []Scenario{{"sicily", Sicily()}, {"kingston", Kingston()}, {"planned", Planned()}}
	all := make([]Scenario, 0, 6*len(sizes))
	for _, size := range sizes {
		name := "routing/" + size.Name
		all = append(all,
			scenario(name, size.Config),
			scenario(name+"-robin", size.Config, roundRobin),
			scenario(name+"-high", size.Config, high),
			scenario(name+"-high-robin", size.Config, high, roundRobin),
			scenario(name+"-slow", size.Config, slow),
			scenario(name+"-slow-robin", size.Config, slow, roundRobin),
		)
	}
	return all
}
