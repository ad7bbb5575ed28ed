package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	racksPerZone  = 2
	racksWork     = 20 * time.Second
	racksTasks    = 8
	racksSmall    = 40 // Small jobs beside, in the other zones.
	racksInterval = 250 * time.Millisecond
	racksFirst    = 8                // Small jobs before the first rack is lost,
	racksSecond   = 32               // and before the second one.
	racksWatch    = 30 * time.Second // After finish_s.
	racksID       = "00000000000e0001"
)

// runRacks plays one job that fills, and small jobs in other zones. With trouble the
// racks of the job's zone are lost for good, one after the other. From finish_s after
// the end of the traffic, no job may have nothing running for 3 s, since the
// executors of the other zones are nearly empty.
func runRacks(s *system, trouble bool) (broken []string, err error) {
	for rack := range racksPerZone {
		err := s.addRack(rack, 2, func(task string) behaviour {
			if task[:len(racksID)] == racksID {
				return behaviour{work: racksWork}
			}
			return behaviour{work: time.Second}
		})
		if err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	job := map[string]any{"specification": "bundle", "steps": []map[string]any{
		{"count": racksTasks, "cpu": 1000, "taskMemoryMb": 2048, "estimatedMs": racksWork.Milliseconds(), "fills": true, "image": "a"},
	}}
	if status, _ := s.call(s.hosts[0], http.MethodPost, seasonPrefix+racksID, job, clientTimeout); status != http.StatusOK {
		return nil, fmt.Errorf("the job was not accepted: %d", status)
	}
	accepted := []string{racksID}
	for i := range racksSmall {
		id := fmt.Sprintf("%016x", 0xe100+i)
		small := map[string]any{"specification": "receipt", "steps": []map[string]any{
			{"count": 2, "cpu": 1000, "taskMemoryMb": 256, "estimatedMs": 1000},
		}}
		if status, _ := s.call(s.hosts[1+i%2], http.MethodPost, seasonPrefix+id, small, clientTimeout); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		if trouble && (i == racksFirst || i == racksSecond) {
			s.loseRack(zones[0], min(1, i/racksSecond))
		}
		time.Sleep(racksInterval)
	}
	s.record.printf("the traffic has ended")
	time.Sleep(finishTime)
	from := s.record.now()
	time.Sleep(racksWatch)
	to := s.record.now()
	for _, id := range accepted {
		if s.state(s.hosts[1], seasonPrefix+id) == "completed" {
			continue
		}
		for _, g := range s.ledger.gaps(id, from, to) {
			broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
		}
	}
	return broken, nil
}
