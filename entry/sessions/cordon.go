package sessions

import (
	"time"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/wire/wirev1"
)

// cordonInterval is the interval after which a guard is notified again whether its data centre is
// cordoned: an entry that saw a change which others missed may have ended since.
const cordonInterval = time.Second

// cordonNotice tracks what a guard was last sent about the cordon on its data centre.
type cordonNotice struct {
	sentAt   time.Duration
	revision int64
	cordoned bool
}

// next returns the notice for the message that is sent now, or nil if it needs none.
func (n *cordonNotice) next(now time.Duration, set *cordon.Set, dataCentre string) *wirev1.Cordon {
	if set == nil {
		return nil
	}
	cordoned := set.Contains(dataCentre)
	if n.revision > 0 && n.cordoned == cordoned && now-n.sentAt < cordonInterval {
		return nil
	}
	*n = cordonNotice{sentAt: now, revision: set.Revision, cordoned: cordoned}
	return &wirev1.Cordon{Revision: set.Revision, Cordoned: cordoned}
}
