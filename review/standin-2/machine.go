package standin2

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// Machine plays a machine with three edge nodes whose supervisor logs to a pipe. The program that reads the pipe
// ends, as a log collector does that is restarted or fails.
func Machine(p *play) error {
	f, err := newFleet(p, 3, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	folder := filepath.Join(p.dir, "machine")
	if err := os.Mkdir(folder, 0o700); err != nil {
		return err
	}
	for i, n := range f.nodes {
		n.path = filepath.Join(folder, n.name+".json")
		if err := f.write(i, 3, katalog(), pinjam(), perpanjang()); err != nil {
			return err
		}
	}
	// The reader of the log.
	logPath := filepath.Join(p.dir, "machine.log")
	logFile, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer logFile.Close()
	pipe, input, err := os.Pipe()
	if err != nil {
		return err
	}
	reader := exec.Command("cat")
	reader.Stdin, reader.Stdout = pipe, logFile
	reader.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := reader.Start(); err != nil {
		return err
	}
	pipe.Close()
	readerEnded := make(chan struct{})
	go func() {
		_ = reader.Wait()
		close(readerEnded)
	}()
	supervisor := exec.Command("/bin/sh", "-c", "exec bin/machine -budget 20s "+folder)
	supervisor.Dir = p.root
	supervisor.Stderr = input
	supervisor.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := supervisor.Start(); err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	input.Close()
	p.note("machine started, process %d; process %d reads its log", supervisor.Process.Pid, reader.Process.Pid)
	ended := make(chan struct{})
	go func() {
		_ = supervisor.Wait()
		p.note("machine ended: %v", supervisor.ProcessState)
		close(ended)
	}()
	defer endMachine(p, supervisor, ended, readerEnded, reader, logPath)
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	p.note("all edge nodes are ready")
	var loads []*load
	customer := 0x100
	for _, n := range f.nodes {
		loads = append(loads, f.startLoad(1, 100*time.Millisecond, n, func() *request {
			return newRequest("pinjam", "penuh", customer, 5*time.Second, 3, 0)
		}))
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.note("the reader of the log ends")
		_ = reader.Process.Kill()
		<-readerEnded
	}
	// One client a second sends what can't be read; each edge node writes a line about that to its log.
	stop := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		if c, err := net.Dial("tcp", f.addrs[i%3]); err == nil {
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			fmt.Fprint(c, "GET /katalog HTTP/1.1\r\nHost: app.svc\r\nX-Class: none\r\n\r\n")
			_, _ = io.ReadFull(c, make([]byte, 12))
			c.Close()
		}
		time.Sleep(time.Second)
	}
	select {
	case <-ended:
		down := 0
		for _, n := range f.nodes {
			if n.health() != 200 {
				p.note("%s is not ready", n.name)
				down++
			}
		}
		p.breaks("the machine's program ended by itself: %v; %d of %d edge nodes of the machine are out of service",
			supervisor.ProcessState, down, len(f.nodes))
	default:
		for _, n := range f.nodes {
			if n.health() != 200 {
				p.breaks("%s is out of service", n.name)
			}
		}
	}
	var all []*request
	for _, l := range loads {
		all = append(all, l.end()...)
	}
	f.describe(all)
	return nil
}

var startedLine = regexp.MustCompile(`msg=started "edge node"=\S+ pid=(\d+)`)

// endMachine ends the machine's program, the reader, and the edge nodes that the log names.
func endMachine(p *play, supervisor *exec.Cmd, ended, readerEnded chan struct{}, reader *exec.Cmd, logPath string) {
	_ = supervisor.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		_ = supervisor.Process.Kill()
		<-ended
	}
	_ = reader.Process.Kill()
	<-readerEnded
	data, _ := os.ReadFile(logPath)
	for _, m := range startedLine.FindAllStringSubmatch(string(data), -1) {
		pid, _ := strconv.Atoi(m[1])
		for i := 0; i < 300 && p.isEdgeNode(pid); i++ {
			if i == 200 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// isEdgeNode reports whether a process runs the edge node's program of this repository.
func (p *play) isEdgeNode(pid int) bool {
	exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	return err == nil && exe == filepath.Join(p.root, "bin", "valvering")
}
