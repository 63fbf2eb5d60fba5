package work

import "time"

// LateStartWindow is the time after an order within which a start that went unanswered is executed
// by its runner, and after which what it started is over: the platform executes an unanswered call
// within 12 s, a guard sends the copies of a start within one, and a runner grants leases of one.
const LateStartWindow = 14 * time.Second
