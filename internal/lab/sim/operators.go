package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/settings"
)

const (
	maxChangeResends     = 8
	changeInterval       = 2 * time.Second
	lostReplyRatio       = 0.15 // fraction of replies to operators that are lost
	duplicateChangeRatio = 0.1  // fraction of answered changes that are sent again
	readInterval         = 700 * time.Millisecond
)

// operator edits the settings tree and resends a change whose reply is lost.
type operator struct {
	*process
	control *controlClient
	changes int
}

func pointer[T any](value T) *T { return &value }

// initialTree returns the settings that the first operator submits.
func initialTree() settings.Tree {
	return settings.Tree{Nodes: map[settings.Path]settings.Overrides{
		"/":   {SuspectAfterMS: pointer(1000), MaxConcurrentLoads: pointer(maxConcurrentLoads)},
		"/*":  {},
		"/z3": {WhenCutOff: pointer("serve_last")},
		"/*/" + modelService: {
			Kind: pointer("llm"), StallAfterMS: pointer(2500), RequestDeadlineMS: pointer(8000), InteractiveMaxTokens: pointer(40),
		},
		"/*/" + smallService: {Kind: pointer("service"), Repeatable: pointer(false)},
	}}
}

// serveLastZone is the zone whose router keeps serving without a lease.
const serveLastZone = "z3"

func (o *operator) boot(first bool) {
	o.start()
	o.control = newControlClient(o.w, o.process)
	o.ticker(readInterval, o.read)
	if first {
		o.after(time.Second, o.submitInitialTree)
		return
	}
	o.after(4*time.Second, o.editTree)
}

// submitInitialTree submits the initial tree until a change is accepted, then starts to edit.
func (o *operator) submitInitialTree() {
	if o.w.oracle.acknowledged > 0 {
		o.editTree()
		return
	}
	o.submit(0, settings.DiffEdits(settings.NewTree(), initialTree()))
	o.after(3*time.Second, o.submitInitialTree)
}

// read reads the current version, which must not be older than any version acknowledged before the call.
func (o *operator) read() {
	floor := o.w.oracle.acknowledged
	o.control.askOnce(control.Request{Read: &control.Read{}}, controlTimeout, func(response control.Response, answered bool) {
		if answered && response.Read != nil {
			o.w.oracle.operatorRead(o.name, floor, response.Read)
		}
	})
}

// editTree reads the current version and, after a random delay, submits a change based on it.
func (o *operator) editTree() {
	if o.w.now() > activeTime {
		return
	}
	o.after(o.w.between(changeInterval/2, 2*changeInterval), o.editTree)
	o.control.askOnce(control.Request{Read: &control.Read{}}, controlTimeout, func(response control.Response, answered bool) {
		if !answered || response.Read == nil || response.Read.Version == 0 {
			return
		}
		base := response.Read.Version
		o.after(o.w.between(0, 700*time.Millisecond), func() { o.submit(base, o.randomEdits()) })
	})
}

func marshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic("sim: cannot encode a setting: " + err.Error())
	}
	return data
}

func (o *operator) randomEdits() []settings.Edit {
	edits := []settings.Edit{{Path: "/", Setting: "share_weight", Value: marshal(1 + o.w.random.IntN(50))}}
	if o.w.chance(0.3) {
		weights := fmt.Sprintf("w%d", 1+o.w.random.IntN(3))
		edits = append(edits, settings.Edit{Path: "/*/" + modelService, Setting: "weights_version", Value: marshal(weights)})
	}
	if o.w.chance(0.2) {
		edits = append(edits, settings.Edit{Path: "/*/" + modelService, Setting: "hedge_after_ms", Value: marshal(o.w.random.IntN(2) * 600)})
	}
	return edits
}

// submit creates a change and sends it, with a limited number of resends.
func (o *operator) submit(base uint64, edits []settings.Edit) {
	o.changes++
	change := settings.Change{Base: base, OperationID: fmt.Sprintf("%s-%d", o.name, o.changes), Author: o.name, Edits: edits}
	o.w.oracle.changes++
	o.send(change, maxChangeResends)
}

func (o *operator) send(change settings.Change, resendsLeft int) {
	resend := func() {
		if resendsLeft > 0 {
			o.after(o.w.between(50*time.Millisecond, 500*time.Millisecond), func() { o.send(change, resendsLeft-1) })
		}
	}
	o.control.askOnce(control.Request{Change: &change}, controlTimeout, func(response control.Response, answered bool) {
		if !answered || response.Change == nil || o.w.chance(lostReplyRatio) {
			resend()
			return
		}
		o.w.oracle.operatorOutcome(change, *response.Change)
		if o.w.chance(duplicateChangeRatio) {
			resend()
		}
	})
}

// flipWeights submits a change of only the model service's weights.
func (o *operator) flipWeights() {
	base := o.w.oracle.acknowledged
	if base == 0 {
		return
	}
	weights := fmt.Sprintf("w%d", 1+o.changes%2)
	o.submit(base, []settings.Edit{{Path: "/*/" + modelService, Setting: "weights_version", Value: marshal(weights)}})
}
