package drill

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program that the drill started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}

	mu      sync.Mutex
	exitErr error // how the process exited
}

// startProcess runs a program with its output in a log file. If firstLine is
// not nil, it is called with the first line that the program prints.
func startProcess(log string, firstLine func(string), name string, args ...string) (*process, error) {
	file, err := os.Create(log)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer file.Close()
	p := &process{command: exec.Command(name, args...), ended: make(chan struct{})}
	// A process that outlived the drill would keep calling ports that others get then.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Stdout = file
	p.command.Stderr = file
	var out io.ReadCloser
	if firstLine != nil {
		p.command.Stdout = nil
		if out, err = p.command.StdoutPipe(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if err := p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	if out != nil {
		line, _ := bufio.NewReader(out).ReadString('\n') // empty if the program exited without output
		firstLine(strings.TrimSpace(line))
	}
	go p.wait()
	return p, nil
}

func (p *process) wait() {
	err := p.command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(p.ended)
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) } // it may have exited

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// waitOrKill waits until the process exits and kills it after the timeout. It
// returns how the process exited.
func (p *process) waitOrKill(timeout time.Duration) error {
	select {
	case <-p.ended:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// residentBytes returns the resident set size of the process, or 0 if it cannot be
// read.
func (p *process) residentBytes() int64 {
	const kilobyte = 1 << 10
	path := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "status")
	data, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			size, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if it is malformed
			return size * kilobyte
		}
	}
	return 0
}
