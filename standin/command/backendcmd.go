package command

import (
	"context"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/standin"
)

type backendCmd struct {
	Name    string       `arg:"--name" default:"backend" help:"name that its answers carry"`
	Address string       `arg:"--address" default:"127.0.0.1:0" help:"IP number and port to listen on"`
	Slots   int          `arg:"--slots" default:"3" help:"requests that run at once"`
	Service clock.Millis `arg:"--service" default:"5ms" help:"time that a request takes"`
	Seed    uint64       `arg:"--seed" default:"1" help:"seed that draws which requests a fault meets"`
}

func (c *backendCmd) start(ctx context.Context) (readyLine, func(), error) {
	b, err := standin.StartBackend(ctx, standin.BackendConfig{
		Name:    c.Name,
		Address: c.Address,
		Slots:   c.Slots,
		Service: c.Service,
		Seed:    c.Seed,
	})
	if err != nil {
		return readyLine{}, nil, err
	}
	return readyLine{Kind: "backend", Address: b.Address()}, b.Close, nil
}
