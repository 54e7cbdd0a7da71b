package config

import (
	"fmt"
	"strings"
	"testing"
)

// largeFile returns a configuration with the given numbers of edge nodes and known servers.
func largeFile(nodes, servers int) string {
	var peers, known []string
	for i := range nodes {
		peers = append(peers, fmt.Sprintf(`"10.%d.%d.%d:7946"`, i>>16, i>>8&255, i&255))
	}
	for i := range servers {
		known = append(known, fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.1.%d.%d:8443","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}`,
			i+1, i>>8, i&255))
	}
	return strings.NewReplacer(`["127.0.0.1:5"]`, "["+strings.Join(peers, ",")+"]", `"balancers":1`, fmt.Sprintf(`"balancers":%d`, nodes),
		`"limits"`, `"known":{"rev":1,"all":true,"targets":[`+strings.Join(known, ",")+`]},"limits"`).Replace(testFile)
}

// BenchmarkParse shows whether the time of a start grows linearly with the file.
func BenchmarkParse(b *testing.B) {
	for _, size := range [][2]int{{80, 60}, {300, 200}, {3000, 2000}, {maxEdgeNodes, 20000}, {6200, 56000}} {
		text := []byte(largeFile(size[0], size[1]))
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", size[0], size[1]), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if f, err := (Source{noEnv}).Parse(text); err != nil || len(f.Peers) != size[0] ||
					len(f.KnownServers.Targets) != size[1] {
					b.Fatal(err)
				}
			}
		})
	}
}
