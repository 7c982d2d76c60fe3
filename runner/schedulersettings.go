package runner

import (
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

func (s *MachineSettings) schedulerSettings() scheduler.Settings {
	return scheduler.Settings{
		LeastWaitShare: s.float(sectionForward, "share-least"),
		MaxWaiting:     checker.Get[int](s.values, sectionForward, "queue-most"),
		Mode:           scheduler.Mode(checker.Get[string](s.values, sectionForward, "scheduling")),
		MostWaitShare:  s.float(sectionForward, "share-most"),
		ReportTTL:      s.forwardDuration("notice-life"),
	}
}
