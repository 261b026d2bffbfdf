// Package sagemembers is the service "members" of a node: it lets the member table's heartbeat tick,
// tells the table what this node reports of itself, feeds it the hints of the settings and of the
// platform's VM list, and announces the start and the end of service.
//
// # Usage
//
//	m := &sagemembers.Service{Table: table, Every: time.Second, Seeds: seeds, Ready: ready}
//	k.Register("members", m)
//	for _, n := range m.Table.Live() {
//		...
//	}
//	until := m.Leave(time.Now())
package sagemembers
