package experiment

import (
	"strings"
	"testing"
)

const validFile = `name = "cuts"
[matrix]
sizes = [[30, 20], [60, 40]]
faults = ["calm", "split"]
seeds = [1, 2, 3]
[world]
for = "4s"
[world.net]
loss = 0.02
[[variant]]
name = "module"
[[variant]]
name = "random"
baseline = "all"
[[variant]]
name = "lossy"
[variant.set.net]
loss = 0.3
`

func TestMatrix(t *testing.T) {
	f, err := Parse([]byte(validFile), ".")
	if err != nil {
		t.Fatal(err)
	}
	runs, err := f.Runs()
	if err != nil || len(runs) != 2*2*3*3 || f.Count() != len(runs) {
		t.Fatalf("%d runs, %v", len(runs), err)
	}
	keys := map[string]bool{}
	for _, r := range runs {
		keys[r.Key()] = true
		want := 0.02
		if r.Variant.Name == "lossy" {
			want = 0.3
		}
		if r.World.Net.Loss != want || r.World.For.D().Seconds() != 4 || len(r.World.Plans) == 0 ||
			(r.Fault == "split") != (len(r.World.Faults) == 5) {
			t.Errorf("%s: %+v", r.Key(), r.World)
		}
	}
	if len(keys) != len(runs) {
		t.Errorf("%d keys of %d runs", len(keys), len(runs))
	}
}

// TestFaultsNameLineAndField checks that each error in a file names the line and the field at
// fault.
func TestFaultsNameLineAndField(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`loss = 0.02`, `loss = 1.02`, "line 9: world.net.loss: 1.02 is not from 0 to 1"},
		{`loss = 0.02`, `lost = 0.02`, "lost: there is no such field"},
		{`for = "4s"`, `for = "4"`, "is no duration"},
		{`name = "cuts"`, `nam = "cuts"`, "line 1: nam: there is no such field"},
		{`baseline = "all"`, `baseline = "best"`, "line 14: variant[1].baseline: \"best\" is not one of"},
		{`name = "random"`, `name = "module"`, "line 13: variant[1].name"},
		{`faults = ["calm", "split"]`, `faults = ["calm", "flood"]`,
			"line 4: matrix.faults: \"flood\" is not one of"},
		{`sizes = [[30, 20], [60, 40]]`, `sizes = [[30], [4000, 2]]`, "line 3: matrix.sizes: [30] is not"},
		{`seeds = [1, 2, 3]`, "seeds = [" + strings.Repeat("1,", 9000) + "]",
			"line 2: matrix: 108000 runs, over 20000"},
		{`[matrix]`, `[matrix`, "line 2"},
		{"[[variant]]\nname = \"random\"\nbaseline = \"all\"",
			"[[variant]]\nname = \"old\"\nadapter = \"no/such\"",
			"line 14: variant[1].adapter: there is no program"},
	} {
		text := strings.Replace(validFile, c.from, c.to, 1)
		if text == validFile {
			t.Fatalf("the valid file does not contain %q", c.from)
		}
		if _, err := Parse([]byte(text), "."); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.to[:min(30, len(c.to))], err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[[variant]]\nset = 3"))
	f.Add([]byte("world = 1\n[matrix]\nsizes = [[0, -1]]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data, ".")
		if err != nil {
			return
		}
		if _, err := file.Runs(); err != nil {
			t.Errorf("Parse succeeded, but Runs failed: %v", err)
		}
	})
}
