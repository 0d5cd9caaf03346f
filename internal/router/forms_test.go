package router

import (
	"testing"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/forms"
	"kitetiller/internal/session"
)

// Guards the encoding of everything that a router stores or sends to other routers.
func TestStoredAndPeerFormatsMatchGolden(t *testing.T) {
	forms.Check[session.Settings](t, "settings")
	forms.Check[savedIncarnation](t, "incarnation")
	forms.Check[core.EventPeerDispatches](t, "sends")
}
