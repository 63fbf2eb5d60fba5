package work

import (
	"hash/fnv"
	"time"
)

// PriorityClasses is the number of priority classes by which guards report allocated CPU. The last
// one includes all lower priorities.
const PriorityClasses = 4

// PriorityClass returns the class of a contract's priority.
func PriorityClass(priority int) int { return min(max(priority, 0), PriorityClasses-1) }

// MaxDemands is the maximum number of contracts whose demand is sent in one message.
const MaxDemands = 16

// Demand is the demand of the tasks of one contract that wait for capacity.
type Demand struct {
	// Contract identifies the contract; see ContractHash.
	Contract uint32
	// Priority is that of the contract; 0 is the most urgent.
	Priority int
	// WaitingMilli is the CPU that the waiting tasks request, in thousandths of a core, without the tasks
	// of jobs that are held back for more urgent work.
	WaitingMilli int64
	// Work is the expected work of the waiting tasks, in core-seconds.
	Work float64
	// Slack is the least time left to start one of the jobs within its response-time target.
	Slack time.Duration
	// Jobs is the number of jobs with waiting tasks.
	Jobs int
	// ArrivingMilli is the rate at which work of the contract arrives, in thousandths of a core.
	ArrivingMilli int64
}

// ContractHash identifies a contract in messages, where names would take too much space. The demand
// of contracts with equal hashes is added up.
func ContractHash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
