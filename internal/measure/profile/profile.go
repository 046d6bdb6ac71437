// Package profile holds the sizes and the load of each user of the brief.
//
// # Usage
//
//	p, ok := profile.Named("guild")
//	kind := p.Mix.Pick(random.Float64())
package profile

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Mix gives the share of each kind of request; the shares add up to 1.
	Mix struct {
		Write            float64
		ReadYourWrites   float64
		BoundedStaleness float64
		Transaction      float64
	}

	// Profile is a user's places, servers and load.
	Profile struct {
		Name        string
		DataCentres []cluster.DataCentre
		// Latency is one way between data centres.
		Latency time.Duration
		// CallerLatency is one way between a caller and a proxy.
		CallerLatency time.Duration
		Proxies       int
		Slots         int
		Connections   int
		ConnectDelay  time.Duration
		// ServiceTime is the time of one statement in its slot.
		ServiceTime time.Duration
		// Sessions is the number of callers.
		Sessions int
		// ProxiesPerSession is the number of proxies among which a session moves.
		ProxiesPerSession int
		// Deadline bounds each request.
		Deadline time.Duration
		// Rate is the number of requests started a second.
		Rate    float64
		Mix     Mix
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

// ByName returns the profile of a user.
func ByName(name string) (Profile, bool) {
	for _, p := range profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Scaled returns the profile with its rate multiplied; sessions are added so
// that callers that wait don't slow the load down.
func (p Profile) Scaled(factor float64) Profile {
	p.Rate *= factor
	if factor > 1 {
		p.Sessions = int(float64(p.Sessions) * factor)
	}
	return p
}

// Pick returns the kind for a number from 0 to 1.
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
