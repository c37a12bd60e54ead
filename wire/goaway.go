package wire

// GoAway asks an entry to send nothing more on a link, because the node of its gates is about to
// stop. The entry closes the link once all that it has sent there is answered.
type GoAway struct {
	_ struct{} `cbor:",toarray"`
}

// Kind implements Message.
func (*GoAway) Kind() Kind { return KindGoAway }
