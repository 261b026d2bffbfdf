package sagerouter

// minLocalNodes is how many nodes a data centre needs for its callers to get only local addresses: with three, one
// is still left if two are lost before the callers query the directory again.
const minLocalNodes = 3

// EntryAddresses returns the entry addresses for callers in a data centre: those of the same data centre if at
// least three nodes serve there, otherwise all. Local addresses save each request and response a path between data
// centres.
func (n *Node) EntryAddresses(dataCentre string) []string {
	var all, local []string
	add := func(entry, entryDataCentre string) {
		all = append(all, entry)
		if entryDataCentre == dataCentre {
			local = append(local, entry)
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
	if len(local) >= minLocalNodes {
		return local
	}
	return all
}
