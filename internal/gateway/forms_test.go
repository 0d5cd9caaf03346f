package gateway

import (
	"testing"

	"kitetiller/internal/lab/forms"
)

// TestWireFormatsCompatible guards against incompatible changes of the messages between gateways.
func TestWireFormatsCompatible(t *testing.T) {
	forms.Check[wireAnnouncement](t, "send")
	forms.Check[wirePlacementRequest](t, "question")
	forms.Check[wirePlacementReply](t, "placement")
	forms.Check[wirePlacementEnd](t, "end")
}
