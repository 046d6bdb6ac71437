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
	maxDrainTime    = time.Hour
	minDeadline     = time.Millisecond
	maxDeadline     = time.Hour
	maxCallersLimit = 1_000_000

	addressFix = `write an IP number and a port, such as "127.0.0.1:7400"`
	nameFix    = "use 1 to 63 letters, digits, '.', '_' and '-', a letter or digit at both ends"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	logLevels   = []string{"debug", "info", "error"}
	// The format is empty if a role is started without a command line.
	logFormats = []string{"json", "text", ""}
)

// checker collects the problems that its checks find. The argument setting of a
// check is the name of a flag without its leading hyphens.
type checker struct {
	problems Problems
}

// Check returns all problems of the settings that can be found without starting
// the role. It reads the files that the settings name.
func (p *Proxy) Check() Problems {
	var c checker
	c.checkCommon(&p.Common)
	c.checkPresent("data-centre", p.DataCentre)
	c.checkAddress("listen", p.Listen, true)
	c.checkAddress("peer", p.Peer, false)
	c.checkNotUnspecified("peer", p.Peer)
	c.checkPeerReachable(p)
	c.checkDifferent("listen", p.Listen, "peer", p.Peer)
	c.checkDifferent("listen", p.Listen, "admin", p.Admin)
	c.checkAddresses("control", p.Control)
	c.checkPasswordFile("password-file", p.PasswordFile)
	c.checkFile("backend-password-file", p.BackendPasswordFile)
	c.checkPresent("backend-user", p.BackendUser)
	c.checkCertificate(p.TLSCert, p.TLSKey)
	c.checkDuration("drain-time", p.DrainTime, 0, maxDrainTime)
	c.checkDuration("deadline", p.Deadline, minDeadline, maxDeadline)
	c.checkNumber("max-callers", p.MaxCallers, 1, maxCallersLimit)
	return c.problems
}

// Check returns all problems of the settings that can be found without starting
// the role. It reads the files that the settings name, and creates and removes an
// empty file in the data folder.
func (s *Control) Check() Problems {
	var c checker
	c.checkCommon(&s.Common)
	c.checkAddress("listen", s.Listen, true)
	c.checkDifferent("listen", s.Listen, "admin", s.Admin)
	c.checkFolder("data", s.Data)
	c.checkPeers(s)
	c.checkFile("backend-password-file", s.BackendPasswordFile)
	c.checkPresent("backend-user", s.BackendUser)
	return c.problems
}

// Check returns all problems of the settings. It reads the files that they name.
func (s *Client) Check() Problems {
	var c checker
	c.checkAddresses("control", s.Control)
	c.checkFile("key-file", s.KeyFile)
	c.checkInternalTLS(s.InternalTLS)
	return c.problems
}

// CheckListen returns a problem for each address that can't be listened on at the
// moment. The keys of addresses are the settings; malformed addresses are skipped.
func CheckListen(addresses map[string]string) Problems {
	var c checker
	for setting, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			c.add(setting, "can't listen on "+address+": "+innermostText(err), "stop the process that holds the port or choose another")
			continue
		}
		_ = listener.Close()
	}
	return c.problems
}

func (c *checker) add(setting, text, fix string) {
	c.problems = append(c.problems, Problem{Setting: flagPrefix + setting, Text: text, Fix: fix})
}

func (c *checker) checkCommon(s *Common) {
	if s.Name == "" {
		c.checkPresent("name", s.Name)
	} else if !namePattern.MatchString(s.Name) {
		c.add("name", fmt.Sprintf("%q is not a name", s.Name), nameFix)
	}
	if s.DataCentre != "" && !namePattern.MatchString(s.DataCentre) {
		c.add("data-centre", fmt.Sprintf("%q is not a name", s.DataCentre), nameFix)
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		c.add("log-level", fmt.Sprintf("%q is not a level", s.LogLevel), didYouMean(s.LogLevel, logLevels))
	}
	if !slices.Contains(logFormats, s.LogFormat) {
		c.add("log-format", fmt.Sprintf("%q is not a format", s.LogFormat), "write json or text")
	}
	c.checkAddress("admin", s.Admin, false)
	c.checkFile("key-file", s.KeyFile)
	c.checkInternalTLS(s.InternalTLS)
}

// checkInternalTLS checks that either all three files are set or none, that the
// certificate matches its key, and that the file of the certificate authority can
// be read.
func (c *checker) checkInternalTLS(s InternalTLS) {
	if s.InternalCert == "" && s.InternalKey == "" && s.InternalCA == "" {
		return
	}
	missing := false
	for _, file := range []struct{ setting, name string }{
		{"internal-cert", s.InternalCert}, {"internal-key", s.InternalKey}, {"internal-ca", s.InternalCA},
	} {
		if file.name == "" {
			c.add(file.setting, "is missing beside the other --internal settings", "set all three or none")
			missing = true
		}
	}
	if missing {
		return
	}
	if _, err := tls.LoadX509KeyPair(s.InternalCert, s.InternalKey); err != nil {
		c.add("internal-cert", "can't load the certificate and key: "+err.Error(), "check both files, in PEM form")
	}
	c.checkFile("internal-ca", s.InternalCA)
}

func (c *checker) checkPresent(setting, value string) {
	if value == "" {
		c.add(setting, "is missing", "set it by the flag or "+variableName(setting))
	}
}

func (c *checker) checkAddress(setting, value string, required bool) {
	if value == "" {
		if required {
			c.checkPresent(setting, value)
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(setting, fmt.Sprintf("%q is not IP:port", value), addressFix)
	}
}

// checkNotUnspecified rejects the address 0.0.0.0 or ::, which other processes
// can't connect to.
func (c *checker) checkNotUnspecified(setting, value string) {
	if address, err := netip.ParseAddrPort(value); err == nil && address.Addr().IsUnspecified() {
		c.add(setting, value+" is no address that others can reach", "write the VM's own IP number")
	}
}

// checkPeerReachable rejects a missing or loopback peer address if a control node
// runs on another VM: proxies on other VMs couldn't connect to this one.
func (c *checker) checkPeerReachable(p *Proxy) {
	peer, peerErr := netip.ParseAddrPort(p.Peer)
	isLocal := p.Peer == "" || peerErr == nil && peer.Addr().IsLoopback()
	for _, text := range p.Control {
		control, err := netip.ParseAddrPort(text)
		if err == nil && !control.Addr().IsLoopback() && isLocal {
			c.add("peer", "other proxies can't reach this one, but control is on another VM", "write the VM's own IP number and a port")
			return
		}
	}
}

func (c *checker) checkAddresses(setting string, values []string) {
	if len(values) == 0 {
		c.checkPresent(setting, "")
	}
	for i, value := range values {
		if slices.Contains(values[:i], value) {
			c.add(setting, value+" is given twice", "remove one")
			continue
		}
		c.checkAddress(setting, value, true)
	}
}

// checkDifferent rejects the same address for both settings, except with port 0,
// for which the system chooses two different ports.
func (c *checker) checkDifferent(first, firstValue, second, secondValue string) {
	if firstValue == "" || firstValue != secondValue || strings.HasSuffix(firstValue, ":0") {
		return
	}
	c.add(second, firstValue+" is the address of "+flagPrefix+first+" too", "choose another port")
}

// checkFile checks that the file can be read and isn't empty, and returns its content.
// Without a file name it returns nil.
func (c *checker) checkFile(setting, name string) []byte {
	if name == "" {
		return nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		c.add(setting, "can't read "+name+": "+innermostText(err), "check the file's name and permissions")
		return nil
	}
	if strings.TrimSpace(string(text)) == "" {
		c.add(setting, name+" is empty", "write the secret into it")
	}
	return text
}

func (c *checker) checkPasswordFile(setting, name string) {
	for i, line := range strings.Split(string(c.checkFile(setting, name)), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if user, _, ok := strings.Cut(line, ":"); !ok || user == "" {
			c.add(setting, fmt.Sprintf("%s:%d is not user:password", name, i+1), "write one user:password a line")
		}
	}
}

func (c *checker) checkCertificate(cert, key string) {
	switch {
	case cert == "" && key == "":
	case key == "":
		c.add("tls-key", "is missing beside --tls-cert", "set both or neither")
	case cert == "":
		c.add("tls-cert", "is missing beside --tls-key", "set both or neither")
	default:
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			c.add("tls-cert", "can't load the certificate and key: "+err.Error(), "check both files, in PEM form")
		}
	}
}

func (c *checker) checkDuration(setting string, value, minValue, maxValue time.Duration) {
	if value < minValue || value > maxValue {
		c.add(setting, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a duration from %v to %v", minValue, maxValue))
	}
}

func (c *checker) checkNumber(setting string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.add(setting, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write a number from %d to %d", minValue, maxValue))
	}
}

// checkFolder checks that the folder can be written to or, if it doesn't exist,
// that its nearest existing parent can.
func (c *checker) checkFolder(setting, name string) {
	if name == "" {
		c.checkPresent(setting, name)
		return
	}
	existing := filepath.Clean(name)
	info, err := os.Stat(existing)
	for errors.Is(err, fs.ErrNotExist) && existing != filepath.Dir(existing) {
		existing = filepath.Dir(existing)
		info, err = os.Stat(existing)
	}
	if err != nil {
		c.add(setting, "can't use "+name+": "+innermostText(err), "check the folder's name and permissions")
		return
	}
	if !info.IsDir() {
		c.add(setting, existing+" is not a folder", "name a folder")
		return
	}
	testFile, err := os.CreateTemp(existing, ".write-check-*")
	if err != nil {
		c.add(setting, "can't write to "+existing+": "+innermostText(err), "give the process's user the right to write, or name another folder")
		return
	}
	_ = testFile.Close()
	_ = os.Remove(testFile.Name())
}

func (c *checker) checkPeers(s *Control) {
	if len(s.Peers) == 0 {
		c.add("peer", "is missing", "write name=IP:port for each control node, this one too")
		return
	}
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]bool)
	for _, text := range s.Peers {
		name, address, err := ParsePeer(text)
		switch {
		case err != nil:
			c.add("peer", fmt.Sprintf("%q is not name=IP:port", text), `write for example "control-1=127.0.0.1:7400"`)
			continue
		case names[name]:
			c.add("peer", fmt.Sprintf("the name %q is given twice", name), "give each control node its own name")
		case addresses[address] && address.Port() != 0:
			c.add("peer", fmt.Sprintf("the address %v is given twice", address), "give each control node its own address")
		case name == s.Name:
			c.checkOwnPeer(s, address)
		}
		names[name] = true
		addresses[address] = true
	}
	if s.Name != "" && !names[s.Name] {
		c.add("peer", fmt.Sprintf("this node, %q, is not among the peers", s.Name), "add "+s.Name+"="+s.Listen)
	}
}

// checkOwnPeer checks that the peer address of this node equals its listen address,
// unless that has port 0 or no specific IP number.
func (c *checker) checkOwnPeer(s *Control, address netip.AddrPort) {
	listen, err := netip.ParseAddrPort(s.Listen)
	if err != nil || listen.Port() == 0 || listen.Addr().IsUnspecified() {
		return
	}
	if listen != address {
		c.add("peer", fmt.Sprintf("%s=%v contradicts --listen %v", s.Name, address, listen), "write the same address in both")
	}
}

// variableName returns the environment variable of a setting.
func variableName(setting string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(setting, "-", "_"))
}

// innermostText returns the text of the innermost wrapped error, such as
// "permission denied" of a file error.
func innermostText(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
