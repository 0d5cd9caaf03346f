package catalog

import (
	"strconv"
	"strings"
)

// Life is one life of a back end. Back ends that take a new name with each start need no more than that; others tell when they
// were started as well. Whatever is known of a back end is known of one life of it.
type Life struct {
	Name string // under which the back end knows itself; a later life may have the same
	Born int64  // when it was started, in Unix ms by its own clock; 0 where it doesn't tell
}

const (
	lifeMark = "@"
	decimal  = 10
	bits64   = 64
)

// ID returns the name of this life alone, for use as Instance.ID.
func (l Life) ID() string {
	if l.Born == 0 && !strings.Contains(l.Name, lifeMark) {
		return l.Name
	}
	return l.Name + lifeMark + strconv.FormatInt(l.Born, decimal)
}

// LifeOf returns the life that an id names.
func LifeOf(id string) Life {
	at := strings.LastIndex(id, lifeMark)
	if at < 0 {
		return Life{Name: id}
	}
	born, err := strconv.ParseInt(id[at+len(lifeMark):], decimal, bits64)
	if err != nil {
		return Life{Name: id}
	}
	return Life{Name: id[:at], Born: born}
}
