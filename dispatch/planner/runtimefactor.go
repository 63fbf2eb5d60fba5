package planner

// runTimeFactor returns the lasting ratio of the endpoint's run times to those of a normal endpoint
// of its service; 1 for an endpoint that does not differ.
func (e *endpoint) runTimeFactor() float64 { return 1 }
