package command

import "fuchsiapick.example/fuchsiapick/standin"

type platformCmd struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"IP number and port to listen on"`
}

func (c *platformCmd) start() (ready, func(), error) {
	p, err := standin.StartPlatform(standin.PlatformConfig{Address: c.Address})
	if err != nil {
		return ready{}, nil, err
	}
	return ready{Kind: "platform", Address: p.Address()}, p.Close, nil
}
