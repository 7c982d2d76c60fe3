package commander_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberrypass/gooseberrypass/commander"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gooseberrypass": func() {
			os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// TestScripts runs the scripts of testdata/script. In addition to the commands of
// testscript they can use
//
//	start NAME ARG...  starts gooseberrypass, waits for "listening" and sets $NAME to its URL
//	status N PROGRAM ARG...  runs a program, which must exit with status N
//	stop NAME          ends a process of start by SIGTERM; it must exit with status 0
//	http METHOD URL [FILE [RANGE]]  sends the file's bytes and prints status and body
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"http":   scriptHTTP,
			"start":  scriptStart,
			"status": scriptStatus,
			"stop":   scriptStop,
		},
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = map[string]*exec.Cmd{}
			return nil
		},
	})
}

// processesKey is the key of a script's value that holds its started processes by name.
type processesKey struct{}

func processes(ts *testscript.TestScript) map[string]*exec.Cmd {
	return ts.Value(processesKey{}).(map[string]*exec.Cmd)
}

func scriptStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME ARG...")
	}
	cmd := exec.Command("gooseberrypass", args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stderr = ts.Stderr()
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	ts.Check(err)
	_, address, ok := strings.Cut(strings.TrimSpace(line), "listening ")
	if !ok {
		ts.Fatalf("got %q, want the address", line)
	}
	ts.Setenv(args[0], "http://"+address)
	processes(ts)[args[0]] = cmd
}

func scriptStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status N PROGRAM ARG...")
	}
	status := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got, want := strconv.Itoa(status), args[0]; got != want {
		ts.Fatalf("got status %s, want %s", got, want)
	}
}

func scriptStop(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || processes(ts)[args[0]] == nil {
		ts.Fatalf("usage: stop NAME, of a started process")
	}
	cmd := processes(ts)[args[0]]
	ts.Check(cmd.Process.Signal(syscall.SIGTERM))
	ts.Check(cmd.Wait())
}

func scriptHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [FILE [RANGE]]")
	}
	body := ""
	if len(args) > 2 {
		body = ts.ReadFile(args[2])
	}
	r, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	if len(args) > 3 {
		r.Header.Set("Range", args[3])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		_, _ = fmt.Fprintln(ts.Stdout(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = fmt.Fprintln(ts.Stdout(), resp.Status)
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
}
