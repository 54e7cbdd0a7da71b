// Package experiment reads experiment files: a world, and a matrix of sizes, faults, seeds
// and variants. It checks the whole file, and each error names its line and field. It
// doesn't run experiments.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"valvering.example/valvering/internal/lab/baseline"
	"valvering.example/valvering/internal/lab/world"
)

// Variant is what distinguishes one arm of an experiment: settings, another build, or a
// baseline instead of the module.
type Variant struct {
	Name string `toml:"name" json:"name"`
	// program of a simulator adapter of another build
	Adapter  string `toml:"adapter" json:"adapter,omitempty"`
	Baseline string `toml:"baseline" json:"baseline,omitempty"`
	// edge node program of another build, for the live engine
	Program string         `toml:"program" json:"program,omitempty"`
	Set     map[string]any `toml:"set" json:"set,omitempty"` // settings of the world
}

// Matrix lists the values whose combinations, with the variants, are the runs.
type Matrix struct {
	Sizes  [][]int  `toml:"sizes"` // pairs: edge nodes, lending servers
	Faults []string `toml:"faults"`
	Seeds  []uint64 `toml:"seeds"`
}

// File is an experiment file.
type File struct {
	Name     string    `toml:"name"`
	Engine   string    `toml:"engine"` // sim or live
	Stories  bool      `toml:"stories"`
	World    any       `toml:"world"` // settings of all worlds; sizes and faults come from the matrix
	Matrix   Matrix    `toml:"matrix"`
	Variants []Variant `toml:"variant"`

	text []byte
	dir  string
}

// Run is one cell of the matrix.
type Run struct {
	Fault   string
	Seed    uint64
	Variant Variant
	World   *world.World
}

// Key returns the name of a run, which is unique within its experiment.
func (r *Run) Key() string {
	return fmt.Sprintf("%dx%d/%s/%d/%s", r.World.Nodes, r.World.Servers, r.Fault, r.Seed, r.Variant.Name)
}

// Limits of an experiment: its number of runs, and the size of its file in bytes.
const (
	maxRuns      = 20_000
	maxFileBytes = 1 << 20
)

// Read reads an experiment from a file.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Parse(data, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Errors holds all errors of an experiment file.
type Errors []error

func (e Errors) Error() string { return errors.Join(e...).Error() }

// Parse reads and checks an experiment. Relative paths in it start at dir.
func Parse(data []byte, dir string) (*File, error) {
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("over %d bytes", maxFileBytes)
	}
	f := &File{text: data, dir: dir, Engine: "sim"}
	if err := decode(data, f); err != nil {
		return nil, err
	}
	var errs Errors
	addError := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("line %d: %s: %s", lineOf(data, field), field,
			fmt.Sprintf(format, args...)))
	}
	if f.Engine != "sim" && f.Engine != "live" {
		addError("engine", "%q is neither sim nor live", f.Engine)
	}
	if len(f.Matrix.Sizes) == 0 {
		f.Matrix.Sizes = [][]int{{60, 40}}
	}
	if len(f.Matrix.Faults) == 0 {
		f.Matrix.Faults = []string{"calm"}
	}
	if len(f.Matrix.Seeds) == 0 {
		f.Matrix.Seeds = []uint64{1}
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "module"}}
	}
	for _, s := range f.Matrix.Sizes {
		if len(s) != 2 || s[0] < 1 || s[1] < 1 || s[0] > world.MaxNodes || s[1] > world.MaxServers {
			addError("matrix.sizes", "%v is not [edge nodes, lending servers], up to [%d, %d]", s,
				world.MaxNodes, world.MaxServers)
		}
	}
	for _, name := range f.Matrix.Faults {
		if name != "none" && name != "world" && world.Named(name, 1) == nil {
			addError("matrix.faults", "%q is not one of none, world (those of the world), %s", name,
				strings.Join(world.Names(), ", "))
		}
	}
	for i, v := range f.Variants {
		prefix := fmt.Sprintf("variant[%d].", i)
		if v.Name == "" || slices.ContainsFunc(f.Variants[:i],
			func(o Variant) bool { return o.Name == v.Name }) {
			addError(prefix+"name", "%q is empty or there twice", v.Name)
		}
		if v.Adapter != "" && v.Baseline != "" {
			addError(prefix+"adapter", "an adapter and a baseline can't both decide")
		}
		if v.Baseline != "" && baseline.Maker(v.Baseline) == nil {
			addError(prefix+"baseline", "%q is not one of %s", v.Baseline, strings.Join(baseline.Names, ", "))
		}
		for field, path := range map[string]*string{"adapter": &f.Variants[i].Adapter,
			"program": &f.Variants[i].Program} {
			if *path == "" {
				continue
			}
			if !filepath.IsAbs(*path) {
				*path = filepath.Join(dir, *path)
			}
			if info, err := os.Stat(*path); err != nil || info.IsDir() {
				addError(prefix+field, "there is no program %s", *path)
			}
		}
	}
	if n := f.Count(); n > maxRuns {
		addError("matrix", "%d runs, over %d", n, maxRuns)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	// Each combination of size, fault and variant has one world; the seed doesn't change it.
	reported := map[string]bool{}
	for _, size := range f.Matrix.Sizes {
		for _, name := range f.Matrix.Faults {
			for _, v := range f.Variants {
				if _, err := f.buildWorld(size, name, v); err != nil && !reported[err.Error()] {
					reported[err.Error()] = true
					errs = append(errs, err)
				}
			}
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return f, nil
}

// Count returns the number of runs.
func (f *File) Count() int {
	n := 1
	for _, k := range []int{len(f.Matrix.Sizes), len(f.Matrix.Faults), len(f.Matrix.Seeds), len(f.Variants)} {
		n *= k
	}
	return n
}

// Runs returns all runs. The variants of one size, fault and seed are adjacent.
func (f *File) Runs() ([]Run, error) {
	var list []Run
	for _, size := range f.Matrix.Sizes {
		for _, name := range f.Matrix.Faults {
			for _, seed := range f.Matrix.Seeds {
				for _, v := range f.Variants {
					w, err := f.buildWorld(size, name, v)
					if err != nil {
						return nil, err
					}
					list = append(list, Run{name, seed, v, w})
				}
			}
		}
	}
	return list, nil
}

// buildWorld returns the world of a run: the default of its size, overlaid with the settings
// of the file, the fault and the settings of the variant, in this order.
func (f *File) buildWorld(size []int, fault string, v Variant) (*world.World, error) {
	w := world.Default(size[0], size[1])
	if table, ok := f.World.(map[string]any); ok {
		if err := overlay(w, table); err != nil {
			return nil, fmt.Errorf("line %d: world: %w", lineOf(f.text, "world"), err)
		}
	}
	w.Nodes, w.Servers = size[0], size[1]
	switch fault {
	case "none":
		w.Faults = nil
	case "world":
	default:
		w.Faults = world.Named(fault, w.For.D())
	}
	if err := overlay(w, v.Set); err != nil {
		return nil, fmt.Errorf("line %d: variant.set: %w", lineOf(f.text, "variant"), err)
	}
	if w.Load.Trace != "" && !filepath.IsAbs(w.Load.Trace) {
		w.Load.Trace = filepath.Join(f.dir, w.Load.Trace)
	}
	var errs Errors
	for _, p := range w.Check() {
		errs = append(errs, fmt.Errorf("line %d: world.%s: %s", lineOf(f.text, "world."+p.Field), p.Field,
			p.What))
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return w, nil
}

// overlay applies the settings of a table to a world. A list in the table replaces the
// list of the world.
func overlay(w *world.World, table map[string]any) error {
	if len(table) == 0 {
		return nil
	}
	for name, clearList := range map[string]func(){"class": func() { w.Classes = nil },
		"plan": func() { w.Plans = nil }, "fault": func() { w.Faults = nil }} {
		if _, named := table[name]; named {
			clearList()
		}
	}
	data, err := toml.Marshal(table)
	if err != nil {
		return err
	}
	return decode(data, w)
}

// decode decodes TOML and rejects unknown fields. Its errors name line and key.
func decode(data []byte, to any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(to)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		var errs Errors
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			errs = append(errs, fmt.Errorf("line %d: %s: there is no such field", line,
				strings.Join(e.Key(), ".")))
		}
		return errs
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return fmt.Errorf("line %d: %s: %s", line, strings.Join(bad.Key(), "."),
			strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return err
}

var tableHeader = regexp.MustCompile(`^\s*\[+\s*([A-Za-z0-9_.]+)\s*\]+`)

// lineOf returns the line of a field, or the line of the table that it belongs to, or 1 if
// neither is in the file. A field of a list element is named with the element's index.
func lineOf(text []byte, field string) int {
	table, tableLine := "", 1
	counts := map[string]int{}
	for index, line := range strings.Split(string(text), "\n") {
		if m := tableHeader.FindStringSubmatch(line); m != nil {
			table = m[1]
			if strings.HasPrefix(strings.TrimSpace(line), "[[") {
				counts[table]++
				table = fmt.Sprintf("%s[%d]", table, counts[table]-1)
			}
			if field == table || strings.HasPrefix(field, table+".") {
				tableLine = index + 1
			}
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		full := strings.TrimPrefix(table+"."+strings.TrimSpace(key), ".")
		if full == field || strings.HasPrefix(field, full+".") {
			return index + 1
		}
	}
	return tableLine
}

// Text returns the contents of the file.
func (f *File) Text() []byte { return f.text }

// Describe returns a line for each named day, with its faults, and each kind of fault.
func Describe() []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(world.Days)) {
		var parts []string
		for _, d := range world.Days[name] {
			parts = append(parts, d.Kind)
		}
		list = append(list, fmt.Sprintf("%-15s %s", name, strings.Join(parts, ", ")))
	}
	for _, name := range slices.Sorted(maps.Keys(world.Kinds)) {
		list = append(list, fmt.Sprintf("%-15s %s", name, world.Kinds[name].What))
	}
	return list
}
