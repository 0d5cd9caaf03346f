package router

import (
	"testing"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/forms"
	"kitetiller/internal/session"
)

// TestStoredAndPeerFormatsMatchGolden: all that a router stores, and tells the others.
func TestStoredAndPeerFormatsMatchGolden(t *testing.T) {
	forms.Check[session.Settings](t, "settings")
	forms.Check[savedIncarnation](t, "incarnation")
	forms.Check[core.EventPeerDispatches](t, "sends")
}
