package gateway

import (
	"testing"

	"kitetiller/internal/lab/forms"
)

// TestWireFormatsCompatible: all that gateways tell and ask each other.
func TestWireFormatsCompatible(t *testing.T) {
	forms.Check[wireAnnouncement](t, "send")
	forms.Check[wireQuestion](t, "question")
	forms.Check[wirePlacement](t, "placement")
	forms.Check[wireEnd](t, "end")
}
