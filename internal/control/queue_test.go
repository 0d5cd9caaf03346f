package control

import (
	"testing"

	"go.uber.org/zap"
)

// TestQueuedInputsAreBoundedInBytes guards against memory that fills up with few, but large requests behind a replica that is
// busy.
func TestQueuedInputsAreBoundedInBytes(t *testing.T) {
	s := &Server{inputs: make(chan input, inputCapacity), log: zap.NewNop()}
	if !s.submit(input{bytes: 2 * maxQueuedBytes}) {
		t.Fatal("a single large input was dropped")
	}
	s.rejectInput(<-s.inputs)
	const size = maxQueuedBytes / 8
	for i := range 8 {
		if !s.submit(input{bytes: size}) {
			t.Fatalf("input %d within the bound was dropped", i)
		}
	}
	if s.submit(input{bytes: size}) {
		t.Fatalf("an input beyond %d bytes was queued", maxQueuedBytes)
	}
	s.rejectInput(<-s.inputs)
	if !s.submit(input{bytes: size}) {
		t.Fatal("an input was dropped after there was room again")
	}
}
