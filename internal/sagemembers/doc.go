// Package sagemembers is the service "members" of a node. It drives the heartbeat of the member table, updates what
// this node reports about itself, adds seed addresses from the settings and from the platform's VM list, and
// announces when the node starts and stops serving.
//
// # Usage
//
//	m := &sagemembers.Service{Table: table, HeartbeatPeriod: time.Second, Seeds: seeds, Ready: ready}
//	k.Register("members", m)
//	for _, n := range m.Table.Live() {
//		...
//	}
//	until := m.Leave(time.Now())
package sagemembers
