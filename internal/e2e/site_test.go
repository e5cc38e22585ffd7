// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "separate processes")
}

var daemonPath, toolPath string

var _ = BeforeSuite(build)

// build builds the daemon and the command-line tool.
func build() {
	var err error
	daemonPath, err = gexec.Build("github.com/canvaspulley/canvaspulley/cmd/canvaspulleyd")
	Expect(err).NotTo(HaveOccurred())
	toolPath, err = gexec.Build("github.com/canvaspulley/canvaspulley/cmd/canvaspulley")
	Expect(err).NotTo(HaveOccurred())
}

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// waitTimeout limits every wait; the tests do not check how long things take.
const waitTimeout = 20 * time.Second

// site is a site whose daemons and stand-ins run as separate processes.
type site struct {
	*example.Site
	dir         string
	procs       map[string]*exec.Cmd
	operatorTLS *http.Client // HTTP client with an operator's certificate; nil without TLS.
}

// startSite creates and starts a site, and waits until all processes serve.
func startSite(user example.User, size example.Size, change ...func(*site)) *site {
	GinkgoHelper()
	layout, err := example.New(user, size, 0)
	Expect(err).NotTo(HaveOccurred())
	s := &site{Site: layout, dir: GinkgoT().TempDir(), procs: map[string]*exec.Cmd{}}
	for _, f := range change {
		f(s)
	}
	DeferCleanup(s.stopAll)
	s.boot()
	return s
}

// boot writes the settings files, starts all processes and waits until they serve.
func (s *site) boot() {
	GinkgoHelper()
	bundle, err := json.Marshal(standin.Bundle{Manifest: s.Pack(1, "", s.Published()), Values: s.Published()})
	Expect(err).NotTo(HaveOccurred())
	s.write("generation-1.json", bundle)
	s.write("standin.ini", s.StandinSettings(filepath.Join(s.dir, "generation-1.json")))
	s.start("standin", toolPath, "standin", "--config", filepath.Join(s.dir, "standin.ini"))
	Eventually(func() error { return s.post(standin.PathFault, standin.Fault{Kind: standin.FaultLeaving}) }, waitTimeout).Should(Succeed())
	for _, p := range s.all() {
		s.startDaemon(p)
	}
	for _, p := range s.all() {
		s.waitReady(p)
	}
	Eventually(func() int { return len(s.status(s.Entries[0]).Members) }, waitTimeout).Should(Equal(len(s.all())))
}

func (s *site) all() []example.Process {
	return append(append([]example.Process(nil), s.Entries...), s.Agents...)
}

func (s *site) write(name string, data []byte) {
	Expect(os.WriteFile(filepath.Join(s.dir, name), data, 0o600)).To(Succeed())
}

func (s *site) start(name, path string, args ...string) {
	GinkgoHelper()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	// The process gets its own process group: when the test's group is orphaned, for example
	// because its shell ends, the kernel continues all stopped processes of that group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	Expect(cmd.Start()).To(Succeed())
	s.procs[name] = cmd
}

func (s *site) startDaemon(p example.Process) {
	GinkgoHelper()
	s.write(p.Name+".ini", s.Settings(p))
	s.start(p.Name, daemonPath, "--config", filepath.Join(s.dir, p.Name+".ini"))
}

// operatorClient returns the client and the URL scheme for the operators' listeners.
func (s *site) operatorClient() (c *http.Client, scheme string) {
	if s.operatorTLS == nil {
		return http.DefaultClient, "http://"
	}
	return s.operatorTLS, "https://"
}

func (s *site) waitReady(p example.Process) {
	GinkgoHelper()
	Eventually(func() int { return s.readiness(p) }, waitTimeout, "20ms").Should(Equal(http.StatusOK), p.Name)
}

// readiness returns the status of a process's readiness endpoint; 0 when it does not answer.
func (s *site) readiness(p example.Process) int {
	c, scheme := s.operatorClient()
	resp, err := c.Get(scheme + p.OperatorAddress + node.PathReady)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// signal sends a signal to a process of the site. After SIGSTOP it waits until the process is stopped.
func (s *site) signal(name string, sig syscall.Signal) {
	GinkgoHelper()
	Expect(s.procs[name].Process.Signal(sig)).To(Succeed())
	if sig == syscall.SIGSTOP {
		Eventually(stopped, waitTimeout, "1ms").WithArguments(s.procs[name].Process.Pid).Should(BeTrue())
	}
}

// stopped reports whether every thread of a process is stopped. SIGSTOP does not take effect at once:
// on a busy machine 5 of 150 processes continued to run for up to 3.3 ms, long enough to answer a
// request.
func stopped(pid int) (bool, error) {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	for _, name := range stats {
		raw, err := os.ReadFile(name)
		if err != nil {
			return false, err
		}
		_, after, _ := strings.Cut(string(raw), ") ") // The part before contains the program's name.
		if !strings.HasPrefix(after, "T") {
			return false, nil
		}
	}
	return len(stats) > 0, nil
}

// kill ends a process by SIGKILL, without a planned stop, and waits for its end.
func (s *site) kill(name string) {
	GinkgoHelper()
	s.signal(name, syscall.SIGKILL)
	_ = s.procs[name].Wait()
	delete(s.procs, name)
}

func (s *site) stopAll() {
	for name, cmd := range s.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(s.procs, name)
	}
}

// post sends JSON to the stand-ins' control endpoint.
func (s *site) post(path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.ControlAddress+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (s *site) fault(f standin.Fault) {
	GinkgoHelper()
	Expect(s.post(standin.PathFault, f)).To(Succeed())
}

func (s *site) runs() (runs map[string]int) {
	GinkgoHelper()
	Expect(getJSON(s.ControlAddress, standin.PathRuns, &runs)).To(Succeed())
	return runs
}

// getJSON reads JSON from a process.
func getJSON(address, path string, v any) error {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

func (s *site) status(p example.Process) (st node.Status) {
	c, scheme := s.operatorClient()
	resp, err := c.Get(scheme + p.OperatorAddress + node.PathStatus)
	if err != nil {
		return st
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&st) // Callers wait for the status they expect.
	return st
}

// reply is an answer as the caller received it.
type reply struct {
	status  int
	outcome wire.Outcome
	header  http.Header
	body    string
}

// ask sends one request as the first customer; headers may be nil.
func (s *site) ask(entry example.Process, method, path, body string, headers map[string]string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+entry.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Customers[0].Key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), resp.Header, string(raw)}, err
}

// chat requests an answer of a model that is not streamed.
func (s *site) chat(entry example.Process, content string, tokens int) (reply, error) {
	return s.ask(entry, http.MethodPost, "/v1/chat/completions",
		fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, s.Model, tokens, content), nil)
}

func (s *site) mustAsk(entry example.Process, method, path, body string, headers map[string]string) reply {
	GinkgoHelper()
	r, err := s.ask(entry, method, path, body, headers)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// createKey requests a new idempotency key for the site's service.
func (s *site) createKey(entry example.Process) string {
	GinkgoHelper()
	r := s.mustAsk(entry, http.MethodPost, "/v1/keys", `{"path":"`+s.Path+`"}`, nil)
	Expect(r.status).To(Equal(http.StatusOK), r.body)
	var m struct{ Key string }
	Expect(json.Unmarshal([]byte(r.body), &m)).To(Succeed())
	return m.Key
}

// pay calls the service with an idempotency key.
func (s *site) pay(entry example.Process, key, id string) (reply, error) {
	return s.ask(entry, http.MethodPost, s.Path+"pay?id="+id, "amount", map[string]string{wire.HeaderKey: key})
}
