package overload

import "fuchsiapick.example/fuchsiapick/clock"

// Scenario is a run with a name.
type Scenario struct {
	Name   string
	Config Config
}

// Sicily is the service conferme of the users' first deployment.
func Sicily() Config {
	return Config{
		Seed: 1, Entries: 9, Upstreams: 9, Domains: 3, Slots: 3, Waiting: 6, Service: 25,
		Load: 0.7, Deadline: 500, Hop: 1, Span: 30 * clock.Second, Share: 0.2,
	}
}

// Kingston is the service revisions of the users' second deployment.
func Kingston() Config {
	c := Sicily()
	c.Slots, c.Waiting = 7, 14
	return c
}

// Planned is the mean service of the size to design for, before all entries.
func Planned() Config {
	c := Sicily()
	c.Entries, c.Upstreams, c.Domains, c.Slots, c.Waiting = 2400, 49, 42, 5, 10
	c.Span = 10 * clock.Second
	return c
}

// change turns one run into another to compare it with.
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

// unbounded makes the queue the backend server's own, blind to deadlines; what
// isn't answered in Timeout is sent again.
func unbounded(c *Config) { c.Queue, c.Timeout = Unbounded, 100 }

func waiting(n int) change         { return func(c *Config) { c.Waiting = n } }
func retries(share float64) change { return func(c *Config) { c.Share = share } }

// short keeps a run of several hundred attempts a request bearable.
func short(c *Config) { c.Span = 2 * clock.Second }

func scenario(name string, c Config, changes ...change) Scenario {
	for _, change := range changes {
		change(&c)
	}
	return Scenario{Name: name, Config: c}
}

// Scenarios returns the runs that are measured, each beside its baselines.
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

// routing returns the runs that compare two choices with round robin.
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
