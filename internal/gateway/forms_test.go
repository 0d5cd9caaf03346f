package gateway

import (
	"testing"

	"kitetiller/internal/lab/forms"
)

// TestWireFormatsCompatible guards against incompatible changes of the messages between gateways.
func TestWireFormatsCompatible(t *testing.T) {
	forms.Check[wireAnnouncement](t, "send")
	forms.Check[wireQuestion](t, "question")
	forms.Check[wirePlacement](t, "placement")
	forms.Check[wireEnd](t, "end")
}
