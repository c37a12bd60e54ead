// Package examples embeds the tables of the two existing deployments, with loopback
// addresses so that they run on one machine.
package examples

import _ "embed"

var (
	// Sicily is the table of Pulizie Trinacria Personale.
	//
	//go:embed sicily.toml
	Sicily []byte
	// Kingston is the table of Island Polish Price Watch.
	//
	//go:embed kingston.toml
	Kingston []byte
)
