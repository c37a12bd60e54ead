package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxNameLength bounds names in bytes, because they become labels of metrics and columns
// of reports.
const maxNameLength = 63

// Refuse records a fault of a key of the table n: that the key is missing if the text
// doesn't give it, otherwise that its value is not allowed. A nil n, as for a table that
// the text leaves out, never counts as a missing key.
func (d *Document) Refuse(n *Node, key, value, allowed string) {
	problem := value + " is not allowed"
	if n != nil && !n.Has(key) {
		problem = "is missing"
	}
	d.Add(n, key, problem, allowed)
}

// Quote returns a text in quotes for use in a fault, cut to 80 bytes before quoting.
func Quote(text string) string {
	return strconv.Quote(text[:min(len(text), maxLabelLength)])
}

// CheckName records a fault unless the value can be used as a name in logs, metric labels
// and reports.
func (d *Document) CheckName(n *Node, key, value string) {
	if !IsName(value) {
		d.Refuse(n, key, Quote(value),
			fmt.Sprintf("1 to %d letters, digits, '-', '_' and '.', a letter or digit first", maxNameLength))
	}
}

// IsName reports whether a text can be used as a name in logs, metric labels and reports.
func IsName(name string) bool {
	if name == "" || len(name) > maxNameLength || !isLetterOrDigit(name[0]) {
		return false
	}
	for i := range len(name) {
		if c := name[i]; !isLetterOrDigit(c) && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// CheckAddress records a fault unless the value is an IP number and a port that can
// be dialled. It reports whether the value is valid.
func (d *Document) CheckAddress(n *Node, key, value string) bool {
	address, err := netip.ParseAddrPort(value)
	ip := address.Addr()
	if err == nil && address.Port() > 0 && !ip.IsUnspecified() && ip.Zone() == "" {
		return true
	}
	d.Refuse(n, key, Quote(value),
		`an IP number and a port from 1 to 65535, such as "10.0.0.7:8080" or "[fd00::7]:8080"`)
	return false
}

// CheckListener records a fault unless the value is an IP number and a port to listen
// on. Port 0 stands for any free port. It reports whether the value is valid.
func (d *Document) CheckListener(n *Node, key, value string) bool {
	address, err := netip.ParseAddrPort(value)
	if err == nil && address.Addr().Zone() == "" {
		return true
	}
	d.Refuse(n, key, Quote(value), `an IP number and a port, such as "10.0.0.7:8080" or "[fd00::7]:8080"`)
	return false
}

// CheckDuration records a fault unless the value is between lower and upper, both
// included.
func (d *Document) CheckDuration(n *Node, key string, value, lower, upper clock.Millis) {
	if value < lower || value > upper {
		d.Refuse(n, key, value.String(), lower.String()+" to "+upper.String())
	}
}

// CheckRange records a fault unless the value is between lower and upper, both included.
func CheckRange[T cmp.Ordered](d *Document, n *Node, key string, value, lower, upper T) {
	if value >= lower && value <= upper {
		return
	}
	d.Refuse(n, key, fmt.Sprint(value), fmt.Sprintf("%v to %v", lower, upper))
}

// CheckOpenRange records a fault unless the value is between lower and upper, both
// excluded.
func CheckOpenRange[T cmp.Ordered](d *Document, n *Node, key string, value, lower, upper T) {
	if value > lower && value < upper {
		return
	}
	d.Refuse(n, key, fmt.Sprint(value), fmt.Sprintf("above %v and below %v", lower, upper))
}
