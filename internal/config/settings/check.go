package settings

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	maxDrainTime  = time.Hour
	minDeadline   = time.Millisecond
	maxDeadline   = time.Hour
	maxMaxCallers = 1_000_000

	addressFix = `write an IP number and a port, such as "127.0.0.1:7400"`
	nameFix    = "use 1 to 63 letters, digits, '.', '_' and '-', a letter or digit at both ends"
)

var (
	nameForm  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	logLevels = []string{"debug", "info", "error"}
	// An empty format is that of a role started without a command line.
	logFormats = []string{"json", "text", ""}
)

// checker collects faults.
type checker struct {
	faults Problems
}

// Check returns every fault of the settings that shows without a start.
func (p *Proxy) Check() Problems {
	var c checker
	c.common(&p.Common)
	c.required("data-centre", p.DataCentre)
	c.address("listen", p.Listen, true)
	c.address("peer", p.Peer, false)
	c.reachable("peer", p.Peer)
	c.peer(p)
	c.differ("listen", p.Listen, "peer", p.Peer)
	c.differ("listen", p.Listen, "admin", p.Admin)
	c.addresses("control", p.Control)
	c.passwordFile("password-file", p.PasswordFile)
	c.file("backend-password-file", p.BackendPasswordFile)
	c.required("backend-user", p.BackendUser)
	c.certificate(p.TLSCert, p.TLSKey)
	c.duration("drain-time", p.DrainTime, 0, maxDrainTime)
	c.duration("deadline", p.Deadline, minDeadline, maxDeadline)
	c.number("max-callers", p.MaxCallers, 1, maxMaxCallers)
	return c.faults
}

// Check returns every fault of the settings that shows without a start.
func (s *Control) Check() Problems {
	var c checker
	c.common(&s.Common)
	c.address("listen", s.Listen, true)
	c.differ("listen", s.Listen, "admin", s.Admin)
	c.folder("data", s.Data)
	c.peers(s)
	c.file("backend-password-file", s.BackendPasswordFile)
	c.required("backend-user", s.BackendUser)
	return c.faults
}

// Check returns every fault of the settings.
func (s *Client) Check() Problems {
	var c checker
	c.addresses("control", s.Control)
	c.file("key-file", s.KeyFile)
	c.internal(s.InternalTLS)
	return c.faults
}

// CheckListen returns a fault for each address that can't be listened on now.
func CheckListen(named map[string]string) Problems {
	var c checker
	for setting, address := range named {
		if _, err := netip.ParseAddrPort(address); err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			c.fault(setting, "can't listen on "+address+": "+reason(err), "stop the process that holds the port or choose another")
			continue
		}
		_ = listener.Close()
	}
	return c.faults
}

func (c *checker) fault(setting, text, fix string) {
	c.faults = append(c.faults, Problem{Setting: flagPrefix + setting, Text: text, Fix: fix})
}

func (c *checker) common(s *Common) {
	if s.Name == "" {
		c.required("name", s.Name)
	} else if !nameForm.MatchString(s.Name) {
		c.fault("name", fmt.Sprintf("%q is not a name", s.Name), nameFix)
	}
	if s.DataCentre != "" && !nameForm.MatchString(s.DataCentre) {
		c.fault("data-centre", fmt.Sprintf("%q is not a name", s.DataCentre), nameFix)
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		c.fault("log-level", fmt.Sprintf("%q is not a level", s.LogLevel), didYouMean(s.LogLevel, logLevels))
	}
	if !slices.Contains(logFormats, s.LogFormat) {
		c.fault("log-format", fmt.Sprintf("%q is not a format", s.LogFormat), "write json or text")
	}
	c.address("admin", s.Admin, false)
	c.file("key-file", s.KeyFile)
	c.internal(s.InternalTLS)
}

// internal checks that the three files are given together and fit.
func (c *checker) internal(s InternalTLS) {
	if s.InternalCert == "" && s.InternalKey == "" && s.InternalCA == "" {
		return
	}
	missing := false
	for _, file := range []struct{ setting, name string }{
		{"internal-cert", s.InternalCert}, {"internal-key", s.InternalKey}, {"internal-ca", s.InternalCA},
	} {
		if file.name == "" {
			c.fault(file.setting, "is missing beside the other --internal settings", "set all three or none")
			missing = true
		}
	}
	if missing {
		return
	}
	if _, err := tls.LoadX509KeyPair(s.InternalCert, s.InternalKey); err != nil {
		c.fault("internal-cert", "can't load the certificate and key: "+err.Error(), "check both files, in PEM form")
	}
	c.file("internal-ca", s.InternalCA)
}

func (c *checker) required(setting, value string) {
	if value == "" {
		c.fault(setting, "is missing", "set it by the flag or "+variableOf(setting))
	}
}

func (c *checker) address(setting, value string, required bool) {
	if value == "" {
		if required {
			c.required(setting, value)
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(setting, fmt.Sprintf("%q is not IP:port", value), addressFix)
	}
}

// reachable refuses an address that other processes can't use.
func (c *checker) reachable(setting, value string) {
	if address, err := netip.ParseAddrPort(value); err == nil && address.Addr().IsUnspecified() {
		c.fault(setting, value+" is no address that others can reach", "write the VM's own IP number")
	}
}

// peer refuses a proxy on a VM of its own whose peers can't reach it.
func (c *checker) peer(p *Proxy) {
	peer, peerErr := netip.ParseAddrPort(p.Peer)
	isLocal := p.Peer == "" || peerErr == nil && peer.Addr().IsLoopback()
	for _, text := range p.Control {
		control, err := netip.ParseAddrPort(text)
		if err == nil && !control.Addr().IsLoopback() && isLocal {
			c.fault("peer", "other proxies can't reach this one, but control is on another VM", "write the VM's own IP number and a port")
			return
		}
	}
}

func (c *checker) addresses(setting string, values []string) {
	if len(values) == 0 {
		c.required(setting, "")
	}
	for i, value := range values {
		if slices.Contains(values[:i], value) {
			c.fault(setting, value+" is given twice", "remove one")
			continue
		}
		c.address(setting, value, true)
	}
}

func (c *checker) differ(a, aValue, b, bValue string) {
	if aValue == "" || aValue != bValue || strings.HasSuffix(aValue, ":0") {
		return
	}
	c.fault(b, aValue+" is the address of "+flagPrefix+a+" too", "choose another port")
}

func (c *checker) file(setting, name string) []byte {
	if name == "" {
		return nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		c.fault(setting, "can't read "+name+": "+reason(err), "check the file's name and permissions")
		return nil
	}
	if strings.TrimSpace(string(text)) == "" {
		c.fault(setting, name+" is empty", "write the secret into it")
	}
	return text
}

func (c *checker) passwordFile(setting, name string) {
	for i, line := range strings.Split(string(c.file(setting, name)), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if user, _, ok := strings.Cut(line, ":"); !ok || user == "" {
			c.fault(setting, fmt.Sprintf("%s:%d is not user:password", name, i+1), "write one user:password a line")
		}
	}
}

func (c *checker) certificate(cert, key string) {
	switch {
	case cert == "" && key == "":
	case key == "":
		c.fault("tls-key", "is missing beside --tls-cert", "set both or neither")
	case cert == "":
		c.fault("tls-cert", "is missing beside --tls-key", "set both or neither")
	default:
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			c.fault("tls-cert", "can't load the certificate and key: "+err.Error(), "check both files, in PEM form")
		}
	}
}

func (c *checker) duration(setting string, value, least, most time.Duration) {
	if value < least || value > most {
		c.fault(setting, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a duration from %v to %v", least, most))
	}
}

func (c *checker) number(setting string, value, least, most int) {
	if value < least || value > most {
		c.fault(setting, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write a number from %d to %d", least, most))
	}
}

// folder checks that the data folder, or the folder it would be made in, can
// be written to.
func (c *checker) folder(setting, name string) {
	if name == "" {
		c.required(setting, name)
		return
	}
	existing := filepath.Clean(name)
	info, err := os.Stat(existing)
	for errors.Is(err, fs.ErrNotExist) && existing != filepath.Dir(existing) {
		existing = filepath.Dir(existing)
		info, err = os.Stat(existing)
	}
	if err != nil {
		c.fault(setting, "can't use "+name+": "+reason(err), "check the folder's name and permissions")
		return
	}
	if !info.IsDir() {
		c.fault(setting, existing+" is not a folder", "name a folder")
		return
	}
	probe, err := os.CreateTemp(existing, ".write-check-*")
	if err != nil {
		c.fault(setting, "can't write to "+existing+": "+reason(err), "give the process's user the right to write, or name another folder")
		return
	}
	_ = probe.Close()
	_ = os.Remove(probe.Name())
}

func (c *checker) peers(s *Control) {
	if len(s.Peers) == 0 {
		c.fault("peer", "is missing", "write name=IP:port for each control node, this one too")
		return
	}
	names := make(map[string]bool)
	places := make(map[netip.AddrPort]bool)
	for _, text := range s.Peers {
		name, address, err := ParsePeer(text)
		switch {
		case err != nil:
			c.fault("peer", fmt.Sprintf("%q is not name=IP:port", text), `write for example "control-1=127.0.0.1:7400"`)
			continue
		case names[name]:
			c.fault("peer", fmt.Sprintf("the name %q is given twice", name), "give each control node its own name")
		case places[address] && address.Port() != 0:
			c.fault("peer", fmt.Sprintf("the address %v is given twice", address), "give each control node its own address")
		case name == s.Name:
			c.ownPeer(s, address)
		}
		names[name] = true
		places[address] = true
	}
	if s.Name != "" && !names[s.Name] {
		c.fault("peer", fmt.Sprintf("this node, %q, is not among the peers", s.Name), "add "+s.Name+"="+s.Listen)
	}
}

func (c *checker) ownPeer(s *Control, address netip.AddrPort) {
	listen, err := netip.ParseAddrPort(s.Listen)
	if err != nil || listen.Port() == 0 || listen.Addr().IsUnspecified() {
		return
	}
	if listen != address {
		c.fault("peer", fmt.Sprintf("%s=%v contradicts --listen %v", s.Name, address, listen), "write the same address in both")
	}
}

func variableOf(setting string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(setting, "-", "_"))
}

// reason returns the innermost text of an error of a file or socket.
func reason(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
