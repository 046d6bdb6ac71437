// Package settings holds the settings of each role, written as flags and
// environment variables, and checks them at start.
//
// # Usage
//
//	var options settings.Proxy
//	parsed, faults := settings.Parse(&options, os.Args[1:], os.Environ())
//	faults = faults.With(options.Check())
//	if len(faults) > 0 {
//		return faults // Each fault names the setting and the fix.
//	}
//	settings.Print(os.Stdout, parsed)
//
// One struct describes one role. A flag goes before its environment variable,
// which goes before the default. Every fault is reported at once.
package settings

import "time"

type (
	// Internal are the settings of TLS between the system's own processes;
	// all are given or none.
	Internal struct {
		InternalCert string `long:"internal-cert" env:"BURDOCKWOOD_INTERNAL_CERT" description:"certificate file for connections between the system's processes"`
		InternalKey  string `long:"internal-key" env:"BURDOCKWOOD_INTERNAL_KEY" description:"key file for connections between the system's processes"`
		InternalCA   string `long:"internal-ca" env:"BURDOCKWOOD_INTERNAL_CA" description:"certificate file of the authority of all the system's processes"`
	}

	// Common are the settings that every role has.
	Common struct {
		Internal
		Name       string `long:"name" env:"BURDOCKWOOD_NAME" description:"name of this process, unique among its role"`
		DataCentre string `long:"data-centre" env:"BURDOCKWOOD_DATA_CENTRE" description:"data centre of this process"`
		LogLevel   string `long:"log-level" env:"BURDOCKWOOD_LOG_LEVEL" default:"info" description:"debug, info or error"`
		LogFormat  string `long:"log-format" env:"BURDOCKWOOD_LOG_FORMAT" default:"json" description:"json or text"`
		Admin      string `long:"admin" env:"BURDOCKWOOD_ADMIN" description:"IP:port for health, metrics and log level; empty for none"`
		KeyFile    string `long:"key-file" env:"BURDOCKWOOD_KEY_FILE" description:"file with the keys shared by this system's processes, one a line; the first is presented"`
	}

	// Proxy are the settings of the role "proxy".
	Proxy struct {
		Common
		Listen          string        `long:"listen" env:"BURDOCKWOOD_LISTEN" description:"IP:port for callers"`
		Peer            string        `long:"peer" env:"BURDOCKWOOD_PEER" description:"IP:port for the other proxies"`
		Control         []string      `long:"control" env:"BURDOCKWOOD_CONTROL" env-delim:"," description:"IP:port of each control node"`
		PasswordFile    string        `long:"password-file" env:"BURDOCKWOOD_PASSWORD_FILE" description:"file with one user:password a line for callers; empty trusts every caller"`
		BackendUser     string        `long:"backend-user" env:"BURDOCKWOOD_BACKEND_USER" default:"burdockwood" description:"user at backend servers"`
		BackendPassword string        `long:"backend-password-file" env:"BURDOCKWOOD_BACKEND_PASSWORD_FILE" description:"file with the password at backend servers"`
		TLSCert         string        `long:"tls-cert" env:"BURDOCKWOOD_TLS_CERT" description:"certificate file for callers"`
		TLSKey          string        `long:"tls-key" env:"BURDOCKWOOD_TLS_KEY" description:"key file for callers"`
		DrainTime       time.Duration `long:"drain-time" env:"BURDOCKWOOD_DRAIN_TIME" default:"30s" description:"most time that a graceful shutdown waits"`
		Deadline        time.Duration `long:"deadline" env:"BURDOCKWOOD_DEADLINE" default:"5s" description:"deadline of requests that no selector bounds"`
		MaxCallers      int           `long:"max-callers" env:"BURDOCKWOOD_MAX_CALLERS" default:"10000" description:"most caller connections"`
	}

	// Control are the settings of the role "control".
	Control struct {
		Common
		Listen          string   `long:"listen" env:"BURDOCKWOOD_LISTEN" description:"IP:port for proxies, servers, operators and the other control nodes"`
		Data            string   `long:"data" env:"BURDOCKWOOD_DATA" description:"data folder"`
		Peers           []string `long:"peer" env:"BURDOCKWOOD_PEERS" env-delim:"," description:"name=IP:port of each control node, this one too"`
		BackendUser     string   `long:"backend-user" env:"BURDOCKWOOD_BACKEND_USER" default:"burdockwood" description:"user at backend servers"`
		BackendPassword string   `long:"backend-password-file" env:"BURDOCKWOOD_BACKEND_PASSWORD_FILE" description:"file with the password at backend servers"`
	}

	// Author is the setting of commands that change declarations.
	Author struct {
		Author string `long:"author" env:"BURDOCKWOOD_AUTHOR" description:"who changes; without it the user's name"`
	}

	// Client are the settings of the operators' commands.
	Client struct {
		Internal
		Control []string `long:"control" env:"BURDOCKWOOD_CONTROL" env-delim:"," default:"127.0.0.1:7400" description:"IP:port of each control node"`
		KeyFile string   `long:"key-file" env:"BURDOCKWOOD_KEY_FILE" description:"file with the keys shared by this system's processes, one a line; the first is presented"`
	}
)
