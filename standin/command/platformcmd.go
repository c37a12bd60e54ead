package command

import (
	"context"

	"fuchsiapick.example/fuchsiapick/standin"
)

type platformCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"IP number and port to listen on"`
}

func (c *platformCmd) start(ctx context.Context) (readyLine, func(), error) {
	p, err := standin.StartPlatform(ctx, standin.PlatformConfig{Address: c.Address})
	if err != nil {
		return readyLine{}, nil, err
	}
	return readyLine{Kind: "platform", Address: p.Address()}, p.Close, nil
}
