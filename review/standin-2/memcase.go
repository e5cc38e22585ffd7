package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB  = 284          // Memory of a front machine.
	linkBytes = 20 * 1e6 / 8 // Bytes a second that a runner's machine sends: 20 Mbit/s.
	garbleFor = 5 * time.Second
	garbleGap = 8 * time.Second // From the end of one garble to the begin of the next.
	garbles   = 4
	runners   = 12
	garbled   = 6 // Runners that spoil answers.
	// garbledShare is the largest part of the answers of the garbled runners that may be spoiled, and perGateway is how
	// many are spoiled for one gateway in a garble, each by another runner.
	garbledShare = 0.05
	perGateway   = 3
)

// garble has some runners spoil some of their answers.
type garble struct {
	mu      sync.Mutex
	until   time.Time      // They do so until then.
	spoiled map[string]int // By gateway, answers to it that were spoiled; by runner, its own; and all of them.
	answers int            // Of the garbled runners since it began.
}

// spoils reports whether the next answer of a garbled runner to a gateway is to be spoiled.
func (g *garble) spoils(runner, gateway string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !time.Now().Before(g.until) {
		return false
	}
	g.answers++
	if g.spoiled[gateway] >= perGateway || g.spoiled[runner] > 0 {
		return false
	}
	g.spoiled[gateway]++
	g.spoiled[runner]++
	g.spoiled["all"]++
	return true
}

// spoiler is a runner. While it is garbled, it sends a head that doesn't end as some of its answers.
type spoiler struct {
	id     string
	rec    *record
	garble *garble // Nil if it is never garbled.

	mu  sync.Mutex
	due time.Time // When the link of its machine is free for the next bytes of spoiled answers.
}

// await waits until the link of the runner's machine has taken n more bytes.
func (s *spoiler) await(n int) {
	s.mu.Lock()
	if now := time.Now(); s.due.Before(now) {
		s.due = now
	}
	s.due = s.due.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	due := s.due
	s.mu.Unlock()
	time.Sleep(time.Until(due))
}

func (s *spoiler) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, q.Body); err != nil {
					return
				}
				attempt := q.Header.Get("Attempt-Id")
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: %s.%s\r\nVersions: 1\r\n", attempt, s.id, attempt)
				if q.Header.Get("Expected-Instance") != s.id {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
					continue
				}
				host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
				if s.garble != nil && s.garble.spoils(s.id, host) {
					s.rec.add("runner %s spoils the answer to %s at %s", s.id, attempt, host)
					n := s.endless(c, head)
					s.rec.add("runner %s: the connection ends after %.1f MB", s.id, float64(n)/1e6)
					return
				}
				var b strings.Builder
				for k := 1; k <= 12; k++ {
					fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", k, attempt, k)
				}
				time.Sleep(100 * time.Millisecond)
				if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", head, b.Len(), b.String()); err != nil {
					return
				}
			}
		}()
	}
}

// endless sends a head that doesn't end, at the pace of the link, and returns the number of bytes sent.
func (s *spoiler) endless(c net.Conn, head string) (sent int) {
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	for k := 0; ; {
		var b strings.Builder
		for b.Len() < 16<<10 {
			k++
			b.WriteString(strconv.FormatInt(int64(k), 36) + ":\r\n")
		}
		n, err := io.WriteString(c, b.String())
		sent += n
		if err != nil {
			return sent
		}
		s.await(n)
	}
}

// memCase has six of twelve runners spoil some answers now and then. Without trouble, they spoil none.
func memCase(root, dir, tmp string, trouble bool) int {
	rec := newRecord(filepath.Join(dir, "record.txt"))
	net2 := 50 + os.Getpid()%150 // Runs side by side use other addresses.
	ips := []string{fmt.Sprintf("127.%d.1.1", net2), fmt.Sprintf("127.%d.1.2", net2)}
	front, ready, control, side := freePort(ips), freePort(ips), freePort(ips), freePort(ips)
	storeIP := fmt.Sprintf("127.%d.8.1", net2)
	storeAt := fmt.Sprintf("%s:%d", storeIP, freePort([]string{storeIP}))
	st := newStore()
	serve(storeAt, st)
	wrong := &garble{}
	for k := range runners {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.7.%d:0", net2, k+1))
		if err != nil {
			fatal(err)
		}
		r := &spoiler{id: fmt.Sprintf("i-%04d", k), rec: rec}
		if k < garbled {
			r.garble = wrong
		}
		go r.serve(l)
		st.put("servers/"+r.id, map[string]any{"service": "model", "address": l.Addr().String(), "zone": "osu", "version": "v1", "slots": 12, "state": "ready",
			"cold-remaining-ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 4})
	}
	st.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path-prefix": "/m/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 500,
			"priority": 1, "service": "model", "max-attempts": 2, "public": false, "session-affinity": true, "stream-resumption": false, "gap_aim_ms": 120}},
		"services": []any{map[string]any{"name": "model", "health-check-path": "/health", "connection-limit": 348, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api-keys": []string{"k1"}, "priority": 1}},
	})
	defer endAll()
	ended := make([]int, len(ips)) // How often a process went over its memory.
	stop := make(chan struct{})
	var platform, clients sync.WaitGroup
	var mu sync.Mutex
	for g, ip := range ips {
		begin := func(first bool) *exec.Cmd {
			at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
			rec.add("gateway %d starts", g)
			return start(root, tmp, fmt.Sprintf("front-%d", g), "deploy/gateway.ini.tmpl", map[string]string{
				"node-name": fmt.Sprintf("front-%d", g), "zone": "osu", "limits.memory-mb": fmt.Sprint(memoryMB), "bootstrap": fmt.Sprint(first), "listen-addresses.front": at(front),
				"listen-addresses.ready": at(ready), "listen-addresses.control": at(control), "ip-address": ip, "internal-port-range.0": fmt.Sprint(side),
				"platform.address": storeAt, "seed-nodes": fmt.Sprintf("%s:%d,%s:%d", ips[0], control, ips[1], control), "bounds.revocation-ms": "5000",
				"bounds.configuration-ms": "2000", "bounds.grace-period-s": "8", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10",
				"bounds.retry-budget-slack": "90", "bounds.fencing-enforced": "true",
			})
		}
		c := begin(true)
		platform.Go(func() { // The platform kills a process that exceeds its memory, and starts it again.
			most := 0.0
			for {
				select {
				case <-stop:
					rec.add("gateway %d: most memory %.0f MB", g, most)
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := residentMB(c.Process.Pid)
				most = max(most, mb)
				if mb <= memoryMB {
					continue
				}
				rec.add("gateway %d has %.0f MB of memory, over its %d MB: the platform kills it", g, mb, memoryMB)
				_ = c.Process.Signal(syscall.SIGKILL)
				mu.Lock()
				ended[g]++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				c = begin(false)
			}
		})
		if !awaitReady(fmt.Sprintf("http://%s:%d/readiness", ip, ready), 10*time.Second) {
			return 2
		}
	}
	time.Sleep(3 * time.Second)
	answered, cut := 0, 0
	for g, ip := range ips {
		for k := range 14 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(80 * time.Millisecond):
					}
					id := fmt.Sprintf("9c41d0%d%d%08d", g, k, n)
					whole, status := ask(fmt.Sprintf("http://%s:%d/m/2f", ip, front), id)
					mu.Lock()
					if whole {
						answered++
					} else if status == "cut" {
						cut++
						rec.add("client: %s at gateway %d is cut without an answer", id, g)
					}
					mu.Unlock()
				}
			})
		}
	}
	tooMany := false
	for range garbles {
		time.Sleep(time.Second)
		if trouble {
			rec.add("garble: %d of %d runners spoil some of their answers for %v", garbled, runners, garbleFor)
			wrong.mu.Lock()
			wrong.until, wrong.spoiled, wrong.answers = time.Now().Add(garbleFor), map[string]int{}, 0
			wrong.mu.Unlock()
		}
		time.Sleep(garbleFor)
		wrong.mu.Lock()
		spoiled, all := wrong.spoiled["all"], wrong.answers
		wrong.mu.Unlock()
		rec.add("garble: %d of %d answers of these runners were spoiled", spoiled, all)
		if float64(spoiled) > garbledShare*float64(all) {
			rec.add("that is more than the limit")
			tooMany = true
		}
		time.Sleep(garbleGap)
	}
	close(stop)
	platform.Wait()
	clients.Wait()
	rec.add("processes that went over their memory: %v; %d requests answered, %d cut", ended, answered, cut)
	switch {
	case tooMany:
		return 2
	case ended[0] >= 3 && ended[1] >= 3:
		return 1 // On two machines, processes ended by themselves three times.
	case answered == 0:
		return 2
	}
	return 0
}

func awaitReady(url string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// residentMB returns the resident memory of a process, 0 if there is none.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// ask sends one request and reports whether a whole answer came; status is "cut" if the connection ended without one.
func ask(url, id string) (whole bool, status string) {
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("p", 700)))
	if err != nil {
		return false, "none"
	}
	q.Host = "a.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Model", "m")
	q.Header.Set("Token-Counts", "700,48")
	q.Header.Set("Prompt-Prefix", "5c1e07a2:40,"+id[8:]+":660")
	q.Header.Set("Deadline-Remaining-Ms", "8000")
	q.Header.Set("Authorization", "Bearer k1")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return false, "no connection"
		}
		return false, "cut"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, "cut"
	}
	return resp.StatusCode == http.StatusOK, "answered"
}
