package node

import "testing"

// Enough descriptors remain for the edge node itself and its calls to discovery, however low the limit is.
func TestSplitDescriptors(t *testing.T) {
	for n, want := range map[int][2]int{1024: {512, 358}, 256: {128, 89}, 64: {24, 16}, 32: {6, 4},
		3: {1, 1}} {
		if clients, servers := splitDescriptors(n); clients != want[0] || servers != want[1] {
			t.Errorf("%d: %d, %d, want %v", n, clients, servers, want)
		}
	}
}
