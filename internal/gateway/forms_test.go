package gateway

import (
	"testing"

	"kitetiller/internal/lab/forms"
)

// TestFormsStayReadable: all that gateways tell and ask each other.
func TestFormsStayReadable(t *testing.T) {
	forms.Check[wireSend](t, "send")
	forms.Check[wirePlacementRequest](t, "question")
	forms.Check[wirePlacementReply](t, "placement")
	forms.Check[wirePlacementEnd](t, "end")
}
