package fleet_test

import (
	"net/http"
	"testing"
)

// Guards against a caller, beside the gate or behind a link, that gets an answer whose status is none, such as
// 000: as a success, as an interim answer before one, or as bytes of its next answer.
func TestAnswerWithABrokenStatusReachesNoCaller(t *testing.T) {
	u, callers, _ := startCutFleet(t)
	statuses := []string{"", "0", "00", "000", "0000", "00000", "001", "020", "099", "2", "20", "2000", "-20", "+20", "20x", "2 0", "\u0662\u0660\u0660"}
	answers := map[string]string{
		"length":                    "\r\nContent-Length: 5\r\n\r\nabcde",
		"chunks":                    "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		"to the end":                "\r\nX: y\r\n\r\nabcde",
		"before an answer":          "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
		"that breaks in its head":   "\r\nContent-Length: 5",
		"that breaks in its body":   "\r\nContent-Length: 5\r\n\r\nabc",
		"that breaks in its status": "",
	}
	requests, unsent := 0, 0
	for _, status := range statuses {
		for _, reason := range []string{"", " ", " None"} {
			for form, rest := range answers {
				after := closed
				if form == "length" || form == "chunks" || form == "before an answer" {
					after = kept
				}
				for place, caller := range callers {
					for _, method := range []string{http.MethodGet, http.MethodPost} {
						requests++
						if !checkBrokenAnswer(t, u, caller, place, method, "HTTP/1.1 "+status+reason+rest, after) {
							unsent++
						}
					}
				}
			}
		}
	}
	t.Logf("%d of %d requests were refused before they were sent", unsent, requests)
	if unsent > requests/2 {
		t.Errorf("got %d of %d requests refused, want most of them sent", unsent, requests)
	}
}
