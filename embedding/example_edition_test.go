package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
)

// published is a text of some configuration with its version.
type published struct {
	version uint64
	text    string
	source  versionguard.Source
}

// member is a process that follows the configuration.
type member struct {
	fence *versionguard.VersionGuard
	text  string
}

// receiveUpdate takes in an edition that was read whole and checked. A version that is
// merely heard of must not be offered: see edition.Offer.
func (m *member) receiveUpdate(p published) versionguard.Decision {
	offer := versionguard.Candidate{Version: p.version, Digest: table.Digest([]byte(p.text)), Source: p.source}
	verdict := m.fence.Propose(offer)
	if verdict == versionguard.Accept {
		m.text = p.text
	}
	return verdict
}

// Two processes hear the same editions in different orders, among them two that
// were published under one version, and a stale replica. Both end with the same
// configuration and never go back.
func Example_edition() {
	editions := []published{
		{1, "floor = 0.5", versionguard.Platform},
		{2, "floor = 0.6", versionguard.Platform},
		{2, "floor = 0.7", versionguard.Platform}, // a second operator's edit
		{1, "floor = 0.5", versionguard.Platform}, // a stale replica
	}
	one, other := member{fence: versionguard.New()}, member{fence: versionguard.New()}
	for _, p := range editions {
		one.receiveUpdate(p)
	}
	for i := len(editions) - 1; i >= 0; i-- {
		editions[i].source = versionguard.Peer
		other.receiveUpdate(editions[i])
	}
	fmt.Println("same text:", one.text == other.text)
	fmt.Println("version:", one.fence.Current().Version, other.fence.Current().Version)
	_, contested := one.fence.Conflicting()
	fmt.Println("tell the operators of a lost edit:", contested)
	fmt.Println("stale replica:", one.receiveUpdate(editions[0]))
	// Output:
	// same text: true
	// version: 2 2
	// tell the operators of a lost edit: true
	// stale replica: older
}
