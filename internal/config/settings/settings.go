// Package settings defines the settings of each role, reads them from flags and
// environment variables, and validates them at startup.
//
// # Usage
//
//	var options settings.Proxy
//	parsed, problems := settings.Parse(&options, os.Args[1:], os.Environ())
//	problems = problems.With(options.Check())
//	if len(problems) > 0 {
//		return problems // Each problem names the setting and how to fix it.
//	}
//	settings.Print(os.Stdout, parsed)
//
// One struct describes the settings of one role. A flag takes precedence over its
// environment variable, which takes precedence over the default. All problems are
// reported together.
package settings

import "time"

type (
	// InternalTLS holds the settings for TLS between the system's own
	// processes. Either all of them are set or none.
	InternalTLS struct {
		InternalCert string `long:"internal-cert" env:"BURDOCKWOOD_INTERNAL_CERT" value-name:"FILE" description:"certificate file for connections between the system's processes"`
		InternalKey  string `long:"internal-key" env:"BURDOCKWOOD_INTERNAL_KEY" value-name:"FILE" description:"key file for connections between the system's processes"`
		InternalCA   string `long:"internal-ca" env:"BURDOCKWOOD_INTERNAL_CA" value-name:"FILE" description:"certificate file of the authority of all the system's processes"`
	}

	// Common holds the settings that every role has.
	Common struct {
		Name       string `long:"name" env:"BURDOCKWOOD_NAME" value-name:"NAME" description:"name of this process, unique among its role"`
		DataCentre string `long:"data-centre" env:"BURDOCKWOOD_DATA_CENTRE" value-name:"NAME" description:"data centre of this process"`
		LogLevel   string `long:"log-level" env:"BURDOCKWOOD_LOG_LEVEL" default:"info" value-name:"LEVEL" description:"debug, info or error"`
		LogFormat  string `long:"log-format" env:"BURDOCKWOOD_LOG_FORMAT" default:"json" value-name:"FORMAT" description:"json or text"`
		Admin      string `long:"admin" env:"BURDOCKWOOD_ADMIN" value-name:"IP:PORT" description:"IP:port for health, metrics and log level; empty for none"`
		KeyFile    string `long:"key-file" env:"BURDOCKWOOD_KEY_FILE" value-name:"FILE" description:"file with the keys shared by this system's processes, one a line; the first is presented"`
		InternalTLS
	}

	// Proxy holds the settings of the role "proxy".
	Proxy struct {
		Common
		Listen              string        `long:"listen" env:"BURDOCKWOOD_LISTEN" value-name:"IP:PORT" description:"IP:port for callers"`
		Peer                string        `long:"peer" env:"BURDOCKWOOD_PEER" value-name:"IP:PORT" description:"IP:port for the other proxies"`
		Control             []string      `long:"control" env:"BURDOCKWOOD_CONTROL" env-delim:"," value-name:"IP:PORT" description:"IP:port of each control node"`
		PasswordFile        string        `long:"password-file" env:"BURDOCKWOOD_PASSWORD_FILE" value-name:"FILE" description:"file with one user:password a line for callers; empty trusts every caller"`
		BackendUser         string        `long:"backend-user" env:"BURDOCKWOOD_BACKEND_USER" default:"burdockwood" value-name:"NAME" description:"user at backend servers"`
		BackendPasswordFile string        `long:"backend-password-file" env:"BURDOCKWOOD_BACKEND_PASSWORD_FILE" value-name:"FILE" description:"file with the password at backend servers"`
		TLSCert             string        `long:"tls-cert" env:"BURDOCKWOOD_TLS_CERT" value-name:"FILE" description:"certificate file for callers"`
		TLSKey              string        `long:"tls-key" env:"BURDOCKWOOD_TLS_KEY" value-name:"FILE" description:"key file for callers"`
		DrainTime           time.Duration `long:"drain-time" env:"BURDOCKWOOD_DRAIN_TIME" default:"30s" value-name:"DURATION" description:"most time that a graceful shutdown waits"`
		Deadline            time.Duration `long:"deadline" env:"BURDOCKWOOD_DEADLINE" default:"5s" value-name:"DURATION" description:"deadline of requests that no selector bounds"`
		MaxCallers          int           `long:"max-callers" env:"BURDOCKWOOD_MAX_CALLERS" default:"10000" value-name:"N" description:"most caller connections"`
	}

	// Control holds the settings of the role "control".
	Control struct {
		Common
		Listen              string   `long:"listen" env:"BURDOCKWOOD_LISTEN" value-name:"IP:PORT" description:"IP:port for proxies, servers, operators and the other control nodes"`
		Data                string   `long:"data" env:"BURDOCKWOOD_DATA" value-name:"DIR" description:"data folder"`
		Peers               []string `long:"peer" env:"BURDOCKWOOD_PEERS" env-delim:"," value-name:"NAME=IP:PORT" description:"name=IP:port of each control node, this one too"`
		BackendUser         string   `long:"backend-user" env:"BURDOCKWOOD_BACKEND_USER" default:"burdockwood" value-name:"NAME" description:"user at backend servers"`
		BackendPasswordFile string   `long:"backend-password-file" env:"BURDOCKWOOD_BACKEND_PASSWORD_FILE" value-name:"FILE" description:"file with the password at backend servers"`
	}

	// Author holds the setting of commands that change declarations.
	Author struct {
		Author string `long:"author" env:"BURDOCKWOOD_AUTHOR" value-name:"NAME" description:"who changes; without it the user's name"`
	}

	// Client holds the settings of the operators' commands that call the control
	// plane.
	Client struct {
		Control []string `long:"control" env:"BURDOCKWOOD_CONTROL" env-delim:"," default:"127.0.0.1:7400" value-name:"IP:PORT" description:"IP:port of each control node"`
		KeyFile string   `long:"key-file" env:"BURDOCKWOOD_KEY_FILE" value-name:"FILE" description:"file with the keys shared by this system's processes, one a line; the first is presented"`
		InternalTLS
	}
)
