package router

import (
	"testing"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/forms"
	"kitetiller/internal/session"
)

// TestFormsStayReadable: all that a router stores, and tells the others.
func TestFormsStayReadable(t *testing.T) {
	forms.Check[session.Settings](t, "settings")
	forms.Check[savedIncarnation](t, "incarnation")
	forms.Check[core.EventPeerDispatches](t, "sends")
}
