package main

import (
	"bytes"
	"errors"
	"fmt"
	"time"
)

// checkPromotions has each promotion checked by the rule LOST for services with
// syncReplicas: the log of the promoted server must hold each commit that was acknowledged
// before. It returns where breaks are collected; read them after the group was closed, or
// with group.mu held.
func (s *scene) checkPromotions() *[]string {
	broken := &[]string{}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.promoted = func(promoted *server) {
		acknowledged := s.callers.acknowledged()
		lost := 0
		for _, id := range acknowledged {
			if !promoted.has(id) {
				lost++
				s.record.printf("lost: %s", id)
			}
		}
		s.record.say("promotion of %s: %d of %d acknowledged writes aren't in its log", promoted.id, lost, len(acknowledged))
		if lost > 0 {
			*broken = append(*broken, fmt.Sprintf("LOST: %d acknowledged commits aren't in the log of %s, which was promoted", lost, promoted.id))
		}
	}
	return broken
}

func (s *scene) get(broken *[]string) []string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]string(nil), *broken...)
}

func (s *scene) set(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
}

// plannedStops: one replica receives nothing for 6 s. Meanwhile the other replica and the
// primary announce that they will shut down, one after the other; both go on serving.
func plannedStops(s *scene) ([]string, error) {
	if err := s.begin(1); err != nil {
		return nil, err
	}
	broken := s.checkPromotions()
	primary, leaving, deaf := s.group.servers[0], s.group.servers[1], s.group.servers[2]
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.set(func() { deaf.deaf = true })
		s.record.say("%s receives nothing from now on", deaf.id)
	}
	time.Sleep(time.Second)
	s.drain(leaving)
	time.Sleep(2 * time.Second)
	s.drain(primary)
	time.Sleep(3 * time.Second)
	s.set(func() { deaf.deaf = false })
	if s.trouble {
		s.record.say("%s receives again", deaf.id)
	}
	time.Sleep(6 * time.Second)
	s.leave(leaving)
	time.Sleep(2 * time.Second)
	s.leave(primary)
	time.Sleep(3 * time.Second)
	return s.get(broken), nil
}

// drain has a server announce that it will shut down.
func (s *scene) drain(leaving *server) {
	s.set(func() { leaving.draining = true })
	s.record.say("%s (%s) drains", leaving.id, leaving.role())
	leaving.notify()
}

// leave has a server say that it leaves, and ends it.
func (s *scene) leave(leaving *server) {
	leaving.call("/Instances.Leave/"+leaving.id, map[string]any{"born": leaving.born}, true)
	s.group.crash(leaving)
}

// crashedPrimary: one replica receives nothing for 6 s, the other one announces that it
// will shut down, and the primary crashes and is back after 7 s.
func crashedPrimary(s *scene) ([]string, error) {
	if err := s.begin(1); err != nil {
		return nil, err
	}
	broken := s.checkPromotions()
	primary, leaving, deaf := s.group.servers[0], s.group.servers[1], s.group.servers[2]
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.set(func() { deaf.deaf = true })
		s.record.say("%s receives nothing from now on", deaf.id)
		s.drain(leaving)
		time.Sleep(2 * time.Second)
		s.group.crash(primary)
		time.Sleep(4 * time.Second)
		s.set(func() { deaf.deaf = false })
		s.record.say("%s receives again", deaf.id)
		time.Sleep(3 * time.Second)
		if _, err := s.group.restart(primary); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	return s.get(broken), nil
}

// busyTarget: the primary crashes while the platform answers slowly and all slots of the
// replica that is ahead are taken for a moment.
func busyTarget(s *scene) ([]string, error) {
	if err := s.begin(1); err != nil {
		return nil, err
	}
	broken := s.checkPromotions()
	primary, ahead, deaf := s.group.servers[0], s.group.servers[1], s.group.servers[2]
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.set(func() { deaf.deaf = true; s.group.platformDelay = 2 * time.Second })
		s.record.say("%s receives nothing from now on, the platform answers after 2 s", deaf.id)
		time.Sleep(2 * time.Second)
		s.group.crash(primary)
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
			s.group.mu.Lock()
			asked := len(s.group.tokens) > 0
			s.group.mu.Unlock()
			if asked {
				break
			}
		}
		s.set(func() { ahead.busy = true })
		s.record.say("all slots of %s are taken", ahead.id)
		time.Sleep(2 * time.Second)
		s.set(func() { ahead.busy = false })
		s.record.say("%s has slots again", ahead.id)
		time.Sleep(2 * time.Second)
		s.set(func() { deaf.deaf = false })
		time.Sleep(time.Second)
		if _, err := s.group.restart(primary); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	return s.get(broken), nil
}

// promotedAlready: the primary crashes and is back at its address with its log, under a
// new ID and as the primary, before another server was promoted. Later, all processes are
// killed at once.
func promotedAlready(s *scene) ([]string, error) {
	if err := s.begin(0); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	from := time.Now()
	for round := range 2 {
		if !s.trouble {
			time.Sleep(8 * time.Second)
			continue
		}
		crashed := s.group.primary
		s.group.crash(crashed)
		time.Sleep(100 * time.Millisecond)
		if _, err := s.group.restart(crashed); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		if round == 0 {
			time.Sleep(5 * time.Second)
		}
	}
	before, beforeSent := s.callers.served(from, time.Now())
	s.record.say("before the final fault %d of %d requests were served", before, beforeSent)
	s.killAll()
	time.Sleep(1200 * time.Millisecond)
	if err := s.startAll(false); err != nil {
		return nil, err
	}
	time.Sleep(recovery)
	start := time.Now()
	time.Sleep(8 * time.Second)
	after, afterSent := s.callers.served(start, time.Now().Add(-answerTimeout))
	s.record.say("later than %v after the machines were back %d of %d requests were served", recovery, after, afterSent)
	if 4*before >= beforeSent && 4*after < afterSent {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests were served", after, afterSent)}, nil
	}
	return nil, nil
}

// firstStartWithoutOne: at the first start of the whole system, one control node is killed
// before the others have started, and is started again after 3.5 s.
func firstStartWithoutOne(s *scene) ([]string, error) {
	s.group = newGroup(s.deployment, 0)
	if err := s.group.open(3); err != nil {
		return nil, err
	}
	if err := s.start("control", 2, true); err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		s.kill("control", 2)
	}
	for i := range 2 {
		if err := s.start("control", i, true); err != nil {
			return nil, err
		}
	}
	for i := range proxyCount {
		if err := s.start("proxy", i, true); err != nil {
			return nil, err
		}
	}
	if s.trouble {
		time.Sleep(3500 * time.Millisecond)
		if err := s.start("control", 2, false); err != nil {
			return nil, err
		}
	}
	// All three run and reach each other from now on.
	acknowledged := configure(s.group, 0, 45*time.Second)
	version, read := readBack(s.group, contactWindow+time.Second)
	s.record.say("acknowledged: %t; read back: %t, version %d", acknowledged, read, version)
	if !acknowledged || !read || version != 1 {
		return []string{"CONFIG: 45 s after all machines were back, no control node has acknowledged the first configuration, and it can't be read back"}, nil
	}
	return nil, nil
}

// foreignHeartbeat: a heartbeat of another writer, without the fields zone, version and
// coldRemainingMs, names the primary. Later the primary announces that it will shut down,
// and does so 2 s after the time that it has to go on serving.
func foreignHeartbeat(s *scene) ([]string, error) {
	if err := s.begin(0); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	leaving := s.group.servers[0]
	if s.trouble {
		beat := map[string]any{
			"service": serviceName, "address": s.serverAddress(leaving.place), "slots": slots, "state": "ready", "databaseRole": "primary",
			"sequence": 1000000, "born": leaving.born,
		}
		answer, status, err := s.group.post(s.controlAddress(0), "/Instances.Heartbeat/"+leaving.id, beat)
		s.record.say("another writer's heartbeat without zone, version and coldRemainingMs: %d %s %v", status, bytes.TrimSpace(answer), err)
	}
	time.Sleep(2 * time.Second)
	s.drain(leaving)
	acknowledged, err := s.awaitDrainAcknowledged(leaving)
	if err != nil {
		return nil, err
	}
	s.record.say("the control nodes have acknowledged that %s drains", leaving.id)
	time.Sleep(time.Until(acknowledged.Add(drainTimeout + 2*time.Second)))
	from := time.Now()
	s.leave(leaving)
	time.Sleep(3 * time.Second)
	late := 0
	s.set(func() {
		for _, r := range leaving.ran {
			if r.at.After(acknowledged.Add(drainTimeout)) {
				late++
				s.record.printf("reached %s %.3f s after the acknowledgement: %s", leaving.id, r.at.Sub(acknowledged).Seconds(), r.request)
			}
		}
	})
	succeeded, sent := s.callers.served(from, from.Add(time.Second))
	s.record.say("in the second after %s ended %d of %d requests were served", leaving.id, succeeded, sent)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the acknowledgement that it drains", late, leaving.id, drainTimeout)}, nil
	}
	return nil, nil
}

// awaitDrainAcknowledged waits until a server's announcement that it drains is
// acknowledged, and returns when that was.
func (s *scene) awaitDrainAcknowledged(leaving *server) (time.Time, error) {
	for until := time.Now().Add(startPatience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		var at time.Time
		s.set(func() { at = leaving.drainAcknowledged })
		if !at.IsZero() {
			return at, nil
		}
	}
	return time.Time{}, errors.New("no control node acknowledged that the server drains")
}
