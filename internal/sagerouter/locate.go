package sagerouter

// enoughNear is how many nodes a data centre needs for its callers to be kept there: with three, the
// loss of two still leaves one until the callers ask again.
const enoughNear = 3

// Locate returns the entry addresses that a caller of a data centre may use: those of its own data
// centre if enough serve there, or else all. Requests and answers then cross data centres once less.
func (n *Node) EntryAddresses(dataCentre string) []string {
	var all, near []string
	add := func(entry, at string) {
		all = append(all, entry)
		if at == dataCentre {
			near = append(near, entry)
		}
	}
	if n.Ready() {
		add(n.Settings.Listen.Entry, n.Settings.DataCentre)
	}
	for _, m := range n.mesh.Live() {
		if m.Ready && !m.Leaving {
			add(m.Entry, m.DataCentre)
		}
	}
	if len(near) >= enoughNear {
		return near
	}
	return all
}
