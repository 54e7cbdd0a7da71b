package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/policy"
)

// SettingPairs are the settings of an instance as path=value pairs.
type SettingPairs struct{ pairs []string }

// SettingPairsFromJSON converts settings in nested JSON to the pairs of a CONFIGURE line, so
// that the edge node and the simulator's adapter share one mapping.
func SettingPairsFromJSON(data []byte) (SettingPairs, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var top map[string]any
	if err := dec.Decode(&top); err != nil {
		return SettingPairs{}, fmt.Errorf("settings: %w", err)
	}
	if len(top) == 0 {
		return SettingPairs{}, errors.New("settings: missing")
	}
	if dec.More() {
		return SettingPairs{}, errors.New("settings: more than one value")
	}
	var f SettingPairs
	f.add("", top)
	return f, nil
}

// Settings converts the pairs to settings of package policy. The error joins all faults,
// each of which begins with its key.
func (f SettingPairs) Settings() (policy.Settings, error) { return parseSettings(f.pairs) }

// Pairs returns the path=value pairs in sorted order.
func (f SettingPairs) Pairs() []string { return slices.Sorted(slices.Values(f.pairs)) }

// Duration returns the setting of a key, which is in milliseconds, or 0 if it is absent.
func (f SettingPairs) Duration(key string) (time.Duration, error) {
	for _, p := range f.pairs {
		if v, ok := strings.CutPrefix(p, key+"="); ok {
			one := facts{m: map[string]string{key: v}}
			d := one.ms(key)
			return d, errors.Join(one.errs...)
		}
	}
	return 0, nil
}

// EscapeWord replaces the spaces and commas in a value, which separate pairs and elements.
func EscapeWord(s string) string {
	if !strings.ContainsAny(s, " ,") {
		return s
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(s)
}

func (f *SettingPairs) add(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			if k == "" || strings.ContainsAny(k, ".= ") {
				continue // the path would look like that of another key
			}
			if path != "" {
				k = path + "." + k
			}
			f.add(k, e)
		}
	case []any:
		if len(v) > 0 {
			if _, ok := v[0].(map[string]any); ok {
				f.pairs = append(f.pairs, path+".count="+strconv.Itoa(len(v)))
				for i, e := range v {
					f.add(path+"."+strconv.Itoa(i), e)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, e := range v {
			words[i] = EscapeWord(fmt.Sprint(e))
		}
		f.pairs = append(f.pairs, path+"="+strings.Join(words, ","))
	case nil:
	default:
		f.pairs = append(f.pairs, path+"="+EscapeWord(fmt.Sprint(v)))
	}
}
