package command

import (
	"context"

	"fuchsiapick.example/fuchsiapick/standin"
)

type relayCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"IP number and port to listen on"`
	Target  string `arg:"--target,required" help:"IP number and port to relay to"`
	Admin   string `arg:"--admin" default:"127.0.0.1:0" help:"IP number and port for the admin paths"`
}

func (c *relayCmd) start(ctx context.Context) (readyLine, func(), error) {
	r, err := standin.StartRelay(ctx, standin.RelayConfig{Address: c.Address, Target: c.Target})
	if err != nil {
		return readyLine{}, nil, err
	}
	admin, err := standin.StartRelayAdmin(ctx, c.Admin, r)
	if err != nil {
		r.Close()
		return readyLine{}, nil, err
	}
	stop := func() {
		admin.Close()
		r.Close()
	}
	return readyLine{Kind: "relay", Address: r.Address(), Admin: admin.Address()}, stop, nil
}
