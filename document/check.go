package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxNameLength bounds a name to what a label of a metric and a column of a
// report bear.
const maxNameLength = 63

// Refuse notes that a key is missing, or that its value is not allowed.
func (d *Document) Refuse(n *Node, key, value, allowed string) {
	problem := value + " is not allowed"
	if n != nil && !n.Has(key) {
		problem = "is missing"
	}
	d.Add(n, key, problem, allowed)
}

// Quote writes a text that was read for use in a fault, cut if it is long.
func Quote(text string) string {
	return strconv.Quote(text[:min(len(text), maxLabelLength)])
}

// CheckName notes a fault unless the value is fit for logs, labels and reports.
func (d *Document) CheckName(n *Node, key, value string) {
	if !isName(value) {
		d.Refuse(n, key, Quote(value),
			fmt.Sprintf("1 to %d letters, digits, '-', '_' and '.', a letter or digit first", maxNameLength))
	}
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameLength || !isLetterOrDigit(s[0]) {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !isLetterOrDigit(c) && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// CheckAddress notes a fault unless the value is an IP number and a port that can
// be dialled. It reports whether it is.
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

// CheckListener notes a fault unless the value is an IP number and a port that can
// be listened at. Port 0 takes any free port. It reports whether it is.
func (d *Document) CheckListener(n *Node, key, value string) bool {
	address, err := netip.ParseAddrPort(value)
	if err == nil && address.Addr().Zone() == "" {
		return true
	}
	d.Refuse(n, key, Quote(value), `an IP number and a port, such as "10.0.0.7:8080" or "[fd00::7]:8080"`)
	return false
}

// CheckDuration notes a fault unless the value is within the bounds, both included.
func (d *Document) CheckDuration(n *Node, key string, value, least, most clock.Millis) {
	if value < least || value > most {
		d.Refuse(n, key, value.String(), least.String()+" to "+most.String())
	}
}

// CheckRange notes a fault unless the value is within the bounds, both included.
func CheckRange[T cmp.Ordered](d *Document, n *Node, key string, value, least, most T) {
	if value >= least && value <= most {
		return
	}
	d.Refuse(n, key, fmt.Sprint(value), fmt.Sprintf("%v to %v", least, most))
}

// CheckOpenRange notes a fault unless the value is within the bounds, both excluded.
func CheckOpenRange[T cmp.Ordered](d *Document, n *Node, key string, value, least, most T) {
	if value > least && value < most {
		return
	}
	d.Refuse(n, key, fmt.Sprint(value), fmt.Sprintf("above %v and below %v", least, most))
}
