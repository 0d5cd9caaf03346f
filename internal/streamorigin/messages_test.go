package streamorigin

import (
	"testing"
	"time"
)

// The word of a process proves nothing without a credible time up to which it holds, as builds that know no such time send it.
func TestWordWithoutAgeIsNone(t *testing.T) {
	absurd, negative, age := int64(1)<<62, int64(-1), int64(3)
	for _, reply := range []FindReply{
		{}, {Sole: true, SoleSoftware: "v1"}, {SoleSoftware: "v1", SoleAgeMS: &age},
		{Sole: true, SoleSoftware: "v1", SoleAgeMS: &negative}, {Sole: true, SoleSoftware: "v1", SoleAgeMS: &absurd},
		{Sole: true, SoleSoftware: string(make([]byte, MaxSoftwareBytes+1)), SoleAgeMS: &age},
	} {
		if v, ok := reply.Vouch(); ok {
			t.Errorf("%+v is taken as %+v", reply, v)
		}
	}
	var reply FindReply
	reply.SetVouch(Vouch{Software: Known("v1"), Age: 2500 * time.Microsecond})
	if v, ok := reply.Vouch(); !ok || v != (Vouch{Software: Known("v1"), Age: 3 * time.Millisecond}) {
		t.Errorf("%+v, %t", v, ok)
	}
}
