package gateway

import (
	"testing"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
)

// sharingDocument returns the test document at a revision, with tenants "a" and "b" of which "a" may be isolated.
func sharingDocument(revision, epoch uint64, isolated bool) *catalog.Document {
	return &catalog.Document{
		Revision: revision, SharingEpoch: epoch, Services: []catalog.Service{{Name: "s", Engine: true, CacheTokens: 80_000}},
		Tenants: []catalog.Tenant{{Name: "a", Isolated: isolated}, {Name: "b"}},
	}
}

// TestRequestAdmittedBeforeAChangeUsesTheNewNamespace guards against cached prompts that cross the wall around a tenant
// that became isolated while one of its requests, or another's, was between its head and its send.
func TestRequestAdmittedBeforeAChangeUsesTheNewNamespace(t *testing.T) {
	for name, want := range map[string]string{"a": "w1/a", "b": "w1.2", "removed": "w1/removed", "": "w1.2"} {
		for _, placedBefore := range []bool{false, true} {
			g := newScheduler(1)
			before := sharingDocument(1, 0, false)
			before.Tenants = append(before.Tenants, catalog.Tenant{Name: "removed"})
			g.setView(newView(before, nil))
			x := newModelRequest(g)
			x.tenant = g.view.Load().tenants[name]
			place := func() *attempt {
				return x.newAttempt(g.choose(g.now(), selectionInput{service: x.service, namespace: x.namespace(), call: &x.call, trusted: true}))
			}
			var a *attempt
			if placedBefore {
				a = place()
				if a.plan.salt != "w1" {
					t.Fatalf("tenant %q: salt %q before the change, want w1", name, a.plan.salt)
				}
			}
			g.setView(newView(sharingDocument(2, 2, true), nil))
			if !placedBefore {
				a = place()
			}
			if !a.updateNamespace() || a.plan.salt != want {
				t.Errorf("tenant %q, placed before the change %t: salt %q, want %q", name, placedBefore, a.plan.salt, want)
			}
		}
	}
}

// TestContinuationStaysInItsNamespace guards against a stream that goes on from a copy in a namespace that its tenant may
// no longer use.
func TestContinuationStaysInItsNamespace(t *testing.T) {
	g := newScheduler(1)
	g.setView(newView(sharingDocument(1, 0, false), nil))
	x := newModelRequest(g)
	x.tenant = g.view.Load().tenants["a"]
	x.continuation = &candidate{row: g.table.rows["i-0"], version: 1, namespace: x.namespace(), salt: x.namespace().salt(1)}
	a := x.newAttempt(x.continuation)
	if !a.updateNamespace() {
		t.Fatal("not continued although nothing has changed")
	}
	g.setView(newView(sharingDocument(2, 2, true), nil))
	if a.updateNamespace() || a.plan.salt != "w1" {
		t.Fatalf("continued with salt %q after its tenant was isolated", a.plan.salt)
	}
}

// TestSharingEpochNeverGoesBack guards against documents of a control replica of an older build, which has no epochs.
func TestSharingEpochNeverGoesBack(t *testing.T) {
	g := newScheduler(1)
	g.setView(newView(sharingDocument(2, 2, true), nil))
	g.setView(newView(sharingDocument(3, 0, true), nil))
	if epoch := g.view.Load().sharingEpoch; epoch != 2 {
		t.Fatalf("epoch %d after a document without one, want 2", epoch)
	}
}

// TestSaltsOfNamespacesDiffer guards against tenants whose names look like part of another salt.
func TestSaltsOfNamespacesDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (namespace, uint64) {
			n := namespace{isolated: rapid.StringMatching(`[a1./]{0,3}`).Draw(t, label)}
			if n.isolated == "" {
				n.epoch = rapid.Uint64Range(0, 40).Draw(t, label+" epoch")
			}
			return n, rapid.Uint64Range(1, 12).Draw(t, label+" version")
		}
		first, firstVersion := draw("first")
		second, secondVersion := draw("second")
		if same := first == second && firstVersion == secondVersion; (first.salt(firstVersion) == second.salt(secondVersion)) != same {
			t.Fatalf("%+v, version %d: %q; %+v, version %d: %q", first, firstVersion, first.salt(firstVersion), second, secondVersion, second.salt(secondVersion))
		}
	})
}

// TestSchedulerUsesTheNamespaceOfTheRequest guards against estimates of cached parts in another namespace than the one
// that the requesting gateway's document determines.
func TestSchedulerUsesTheNamespaceOfTheRequest(t *testing.T) {
	g := newScheduler(1)
	g.setView(newView(sharingDocument(1, 0, false), nil))
	place := func(id string, epoch uint64) wirePlacementReply {
		request := newPlacementRequest(id, 7)
		request.SharingEpoch = epoch
		return g.placeForPeer(g.now(), request)
	}
	place("t0", 0)
	if again := place("t1", 0); again.Uncached != 2890 {
		t.Fatalf("%d tokens uncached in the same epoch, want 2890", again.Uncached)
	}
	if other := place("t2", 2); other.Uncached != 9190 {
		t.Fatalf("%d tokens uncached in another epoch, want 9190", other.Uncached)
	}
}
