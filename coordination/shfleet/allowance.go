package shfleet

// Limited returns the teams of the table that hold a key and have an allowance, by
// name.
func (x *RouteIndex) Limited() map[string]Team {
	limited := map[string]Team{}
	if x == nil {
		return limited
	}
	for _, t := range x.teams {
		if t.Rate > 0 {
			limited[t.Name] = *t
		}
	}
	return limited
}
