// Package profile holds the profiles of the reference users: the size of each
// one's system and its load.
//
// # Usage
//
//	p, ok := profile.ByName("guild")
//	kind := p.Mix.Pick(random.Float64())
package profile

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Mix holds the share of each kind of request. The shares add up to 1.
	Mix struct {
		Write            float64
		ReadYourWrites   float64
		BoundedStaleness float64
		Transaction      float64
	}

	// Profile describes a user's data centres, servers, proxies and load.
	Profile struct {
		Name        string
		DataCentres []cluster.DataCentre
		// Latency is the one-way latency between data centres.
		Latency time.Duration
		// CallerLatency is the one-way latency between a caller and a proxy.
		CallerLatency time.Duration
		Proxies       int
		// Slots is the number of statements that a server executes at a time.
		Slots int
		// Connections is the connection limit of a server.
		Connections int
		// ConnectDelay is the time that a server takes to open a connection.
		ConnectDelay time.Duration
		// ServiceTime is the time for which a statement occupies its slot.
		ServiceTime time.Duration
		// Sessions is the number of callers.
		Sessions int
		// ProxiesPerSession is the number of proxies among which a session
		// moves.
		ProxiesPerSession int
		// Deadline is the time limit of each request.
		Deadline time.Duration
		// Rate is the number of requests per second.
		Rate float64
		Mix  Mix
		// MaxAges are the data ages from which a BoundedStaleness read draws the
		// one that it accepts.
		MaxAges []time.Duration
	}
)

var profiles = []Profile{
	{
		Name:              "guild",
		DataCentres:       []cluster.DataCentre{"perth-a", "perth-b", "bunbury", "geraldton"},
		Latency:           time.Millisecond,
		CallerLatency:     time.Millisecond,
		Proxies:           6,
		Slots:             2,
		Connections:       16,
		ConnectDelay:      10 * time.Millisecond,
		ServiceTime:       5 * time.Millisecond,
		Sessions:          200,
		ProxiesPerSession: 3,
		Deadline:          2 * time.Second,
		Rate:              100,
		Mix:               Mix{Write: 0.35, ReadYourWrites: 0.30, BoundedStaleness: 0.30, Transaction: 0.05},
		MaxAges:           []time.Duration{2 * time.Second, 10 * time.Second},
	},
	{
		Name:              "ecouri",
		DataCentres:       []cluster.DataCentre{"buc-a", "buc-b", "buc-c", "buc-d"},
		Latency:           1500 * time.Microsecond,
		CallerLatency:     time.Millisecond,
		Proxies:           6,
		Slots:             5,
		Connections:       50,
		ConnectDelay:      30 * time.Millisecond,
		ServiceTime:       5 * time.Millisecond,
		Sessions:          200,
		ProxiesPerSession: 3,
		Deadline:          2 * time.Second,
		Rate:              200,
		Mix:               Mix{Write: 0.09, ReadYourWrites: 0.08, BoundedStaleness: 0.80, Transaction: 0.03},
		MaxAges:           []time.Duration{time.Second, 5 * time.Second},
	},
}

// ByName returns the profile of the user with the given name, and whether it exists.
func ByName(name string) (Profile, bool) {
	for _, p := range profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Scaled returns the profile with its rate multiplied by factor. A factor above 1
// multiplies the sessions too, so that requests which wait for their session don't
// slow the load down.
func (p Profile) Scaled(factor float64) Profile {
	p.Rate *= factor
	if factor > 1 {
		p.Sessions = int(float64(p.Sessions) * factor)
	}
	return p
}

// Pick returns the kind of a request for a random number from 0 to 1.
func (m Mix) Pick(number float64) history.Kind {
	switch {
	case number < m.Write:
		return history.Write
	case number < m.Write+m.ReadYourWrites:
		return history.ReadYourWrites
	case number < m.Write+m.ReadYourWrites+m.Transaction:
		return history.Transaction
	default:
		return history.BoundedStaleness
	}
}
