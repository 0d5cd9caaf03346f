package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	// softwareChangeRatio is the share of an engine's starts with another software version than before.
	softwareChangeRatio = 0.3
	softwareVersions    = 3
	softwareSeedStream  = 0x50f7
	// softwareSeparator precedes the software version in the text of a token.
	softwareSeparator = "@"
)

// nextSoftware returns the software version of an engine's next incarnation. It has a random source of its own, so that the
// other draws of a seed stay the same.
func (e *engineNode) nextSoftware() string {
	random := rand.New(rand.NewPCG(e.w.seed+e.incarnation, softwareSeedStream+uint64(len(e.name))+uint64(e.name[len(e.name)-1])))
	if e.model != nil && random.Float64() >= softwareChangeRatio {
		return e.model.Software
	}
	return fmt.Sprint("b", 1+random.IntN(softwareVersions))
}

// tokenText returns the text of a token with the software version of the engine that generates it.
func (e *engineNode) tokenText(j *job, index int) string {
	return j.token(index) + softwareSeparator + e.model.Software
}

// checkSoftware checks that a token comes from the software version that generated the answer's other ones, and returns
// its text without the version.
func (o *oracle) checkSoftware(ex *exchange, text string) string {
	token, software, found := strings.Cut(text, softwareSeparator)
	switch {
	case !found:
	case ex.software == "":
		ex.software = software
	case ex.software != software:
		o.fail(SoftwareKept, "%s got token %d from software %s after tokens from %s", ex.job.name, ex.nextToken, software, ex.software)
	}
	return token
}
