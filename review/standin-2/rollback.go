package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"time"
)

// rollback plays a configuration that takes a class out of service by mistake. The operator rolls back, the edge
// nodes confirm it, and soon after that each of them is killed and started again.
func rollback(p *play) error {
	const nodes = 3
	f, err := newFleet(p, nodes, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	admins, err := freePorts(nodes)
	if err != nil {
		return err
	}
	for i, n := range f.nodes {
		f.own[i] = map[string]any{"admin": admins[i], "state_dir": filepath.Join(p.dir, "state-"+n.name)}
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	customer := 0x100
	// ask sends one request of the class and returns the status of its answer.
	ask := func(n *node) int {
		c, err := net.Dial("tcp", n.listen)
		if err != nil {
			return 0
		}
		defer c.Close()
		customer++
		r := newRequest("pinjam", "penuh", customer, 5*time.Second, nodes, 0)
		r.exchange(c, bufio.NewReader(c), 0)
		f.describe([]*request{r})
		return r.status
	}
	time.Sleep(2 * time.Second)
	for i, n := range f.nodes {
		if got := ask(n); got != 200 {
			return fmt.Errorf("%w: %s answers %d at the start", errCannotRun, n.name, got)
		}
		if err := f.write(i, nodes, katalog(), perpanjang()); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	}
	time.Sleep(7 * time.Second) // longer than the 5 s between two snapshots
	for i, n := range f.nodes {
		if got := ask(n); got == 200 {
			return fmt.Errorf("%w: %s still serves the class", errCannotRun, n.name)
		}
		status, digest, err := command(admins[i], "POST", "/rollback")
		if err != nil || status != 200 {
			return fmt.Errorf("%w: rollback of %s: %d %v", errCannotRun, n.name, status, err)
		}
		p.note("%s: rollback confirmed, %s", n.name, digest)
		if got := ask(n); got != 200 {
			return fmt.Errorf("%w: %s answers %d after the rollback", errCannotRun, n.name, got)
		}
		sig := syscall.SIGKILL
		if !p.trouble {
			sig = syscall.SIGTERM
		}
		n.signal(sig)
		<-n.ended
		if err := n.launch(); err != nil {
			return err
		}
		if err := n.awaitReady(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		_, digest, _ = command(admins[i], "GET", "/status")
		p.note("%s: after the restart, %s", n.name, digest)
		if got := ask(n); got != 200 {
			p.breaks("%s had confirmed the rollback, and after a kill and a start the configuration that was rolled back from is in force: a request of the class is answered %d",
				n.name, got)
		}
	}
	return nil
}

// command sends an operator's command and returns the generation in the answer.
func command(admin, method, path string) (status int, generation string, err error) {
	r, err := http.NewRequest(method, "http://"+admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var answer struct {
		Generation struct {
			Number int
			Digest string
		}
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return resp.StatusCode, fmt.Sprintf("generation %d, digest %s", answer.Generation.Number, answer.Generation.Digest), err
}
