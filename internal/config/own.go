package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// ownObject holds the fields that are this program's own: the file is the
// platform's, and whatever it adds to it may bear any name.
const ownObject = "valvering"

const mostDuties = 16 // each costs its voters some messages a second

var dutyName = regexp.MustCompile(`^[A-Za-z0-9_-]{1,40}$`)

// ownField is one of this program's own fields. The environment's value, where there
// is one, goes before the file's.
type ownField struct {
	name, env string
	take      func(p *parser, name string) // notes faults, or sets the field
}

// StateDirEnv is the environment variable that goes before state_dir.
const StateDirEnv = "VALVERING_STATE_DIR"

// formerEnv is what it was called before, among the platform's.
const formerEnv = "GW_STATE_DIR"

// own takes this program's fields from their object and from its own environment
// variables alone. Each fault in them counts. They used to stand among the platform's
// fields: whatever has such a name there is the platform's own and is not looked at,
// and one warning tells where this program's are.
//
// mayTell says whether edge nodes may send each other messages, as far as is known.
func (p *parser) own(c *File, getenv func(string) string, mayTell bool) {
	within := p.within(ownObject)
	fields := []ownField{
		{"admin", "", c.takeAdmin},
		{"state_dir", StateDirEnv, c.takeStateDir},
		{"duties", "", func(p *parser, name string) { c.takeDuties(p, name, mayTell) }},
	}
	var former []string
	for _, f := range fields {
		if _, have := p.top[f.name]; have {
			former = append(former, f.name)
		}
		if text := getenv(f.env); f.env != "" && text != "" {
			raw, _ := json.Marshal(text) // a string can't fail
			set := &parser{top: rawFields{f.env: raw}}
			f.take(set, f.env)
			p.faults = append(p.faults, set.faults...)
			continue
		}
		f.take(within, f.name)
	}
	p.take(within, ownObject)
	for name := range within.top { // a newer program's
		if !slices.ContainsFunc(fields, func(f ownField) bool { return f.name == name }) {
			c.Warnings = append(c.Warnings, ownObject+"."+name+": not known here, passed over")
		}
	}
	slices.Sort(c.Warnings)
	if getenv(formerEnv) != "" {
		former = append(former, formerEnv)
	}
	if len(former) > 0 {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s: the platform's, not read here; this program's own fields stand in the object %q, its variables begin with VALVERING_",
			strings.Join(former, ", "), ownObject))
	}
}

func (c *File) takeAdmin(p *parser, name string) {
	var text string
	if !p.field(name, &text) || text == "" {
		return
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		p.fault(name, "%v", err)
	case !a.Addr().IsLoopback():
		p.fault(name, "%s is not a loopback address", text)
	default:
		c.Admin = a
	}
}

func (c *File) takeStateDir(p *parser, name string) {
	var dir string
	switch {
	case !p.field(name, &dir), dir == "":
	case !filepath.IsAbs(dir):
		p.fault(name, "%q is not an absolute path", dir)
	case c.Name == "":
		p.fault(name, "it is kept under the field name, which is empty")
	default:
		c.StateDir = dir
	}
}

// takeDuties checks the names of duties: they stand in an address.
func (c *File) takeDuties(p *parser, name string, mayTell bool) {
	var duties []string
	if !p.field(name, &duties) {
		return
	}
	before := len(p.faults)
	p.need(len(duties) == 0 || mayTell, name, "there are no messages between edge nodes to agree by")
	p.need(len(duties) <= mostDuties, name, "%d, over %d", len(duties), mostDuties)
	for i, duty := range duties[:min(len(duties), mostDuties)] {
		at := fmt.Sprintf("%s[%d]", name, i)
		p.need(dutyName.MatchString(duty), at, "%q is not of 1 to 40 letters, digits, - and _", duty)
		p.need(!slices.Contains(duties[:i], duty), at, "%q is there twice", duty)
	}
	if len(p.faults) == before {
		c.Duties = duties
	}
}
