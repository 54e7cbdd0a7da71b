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

// ownObject is the field that holds this program's own fields. The platform owns the
// rest of the file and may add fields of any name there.
const ownObject = "valvering"

// maxDuties limits the duties: each costs its voters some messages a second.
const maxDuties = 16

var dutyName = regexp.MustCompile(`^[A-Za-z0-9_-]{1,40}$`)

// ownField is one of this program's own fields. Its environment variable, if set,
// overrides the file.
type ownField struct {
	name, env string
	decode    func(p *parser, name string) // sets the field or records faults
}

// StateDirEnv is the environment variable that overrides state_dir.
const StateDirEnv = "VALVERING_STATE_DIR"

// formerEnv is the former name of StateDirEnv, in the platform's namespace.
const formerEnv = "GW_STATE_DIR"

// ownFields decodes this program's fields from ownObject and from its environment variables.
// Earlier versions read them at the top level. A top-level field or a variable of such
// a name now belongs to the platform: ownFields ignores it, and a single warning names the
// new place.
//
// canSend reports whether edge nodes may send messages to each other; it is also true
// if the settings are invalid.
func (p *parser) ownFields(c *File, getenv func(string) string, canSend bool) {
	object := p.object(ownObject)
	fields := []ownField{
		{"admin", "", c.decodeAdmin},
		{"state_dir", StateDirEnv, c.decodeStateDir},
		{"duties", "", func(p *parser, name string) { c.decodeDuties(p, name, canSend) }},
	}
	var former []string
	for _, f := range fields {
		if _, have := p.fields[f.name]; have {
			former = append(former, f.name)
		}
		if text := getenv(f.env); f.env != "" && text != "" {
			raw, _ := json.Marshal(text) // never fails for a string
			envParser := &parser{fields: rawFields{f.env: raw}}
			f.decode(envParser, f.env)
			p.faults = append(p.faults, envParser.faults...)
			continue
		}
		f.decode(object, f.name)
	}
	p.addFaults(object, ownObject)
	for name := range object.fields { // a later version of this program may know more fields
		if !slices.ContainsFunc(fields, func(f ownField) bool { return f.name == name }) {
			c.Warnings = append(c.Warnings, ownObject+"."+name+": unknown field, ignored")
		}
	}
	slices.Sort(c.Warnings)
	if getenv(formerEnv) != "" {
		former = append(former, formerEnv)
	}
	if len(former) > 0 {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s: ignored; use object %q or VALVERING_ variables",
			strings.Join(former, ", "), ownObject))
	}
}

func (c *File) decodeAdmin(p *parser, name string) {
	var text string
	if !p.field(name, &text) || text == "" {
		return
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		p.addFault(name, "%v", err)
	case !a.Addr().IsLoopback():
		p.addFault(name, "%s is not a loopback address", text)
	default:
		c.Admin = a
	}
}

func (c *File) decodeStateDir(p *parser, name string) {
	var dir string
	switch {
	case !p.field(name, &dir), dir == "":
	case !filepath.IsAbs(dir):
		p.addFault(name, "%q is not an absolute path", dir)
	case c.Name == "":
		p.addFault(name, "it needs the field name, which is empty")
	default:
		c.StateDir = dir
	}
}

// decodeDuties sets the duties. Their names are part of URLs of the admin listener.
func (c *File) decodeDuties(p *parser, name string, canSend bool) {
	var duties []string
	if !p.field(name, &duties) {
		return
	}
	before := len(p.faults)
	p.require(len(duties) == 0 || canSend, name,
		"leases need messages between edge nodes, which settings.caps.peers disables")
	p.require(len(duties) <= maxDuties, name, "%d duties, more than %d", len(duties), maxDuties)
	for i, duty := range duties[:min(len(duties), maxDuties)] {
		at := fmt.Sprintf("%s[%d]", name, i)
		p.require(dutyName.MatchString(duty), at, "%q is not of 1 to 40 letters, digits, - and _", duty)
		p.require(!slices.Contains(duties[:i], duty), at, "%q is there twice", duty)
	}
	if len(p.faults) == before {
		c.Duties = duties
	}
}
