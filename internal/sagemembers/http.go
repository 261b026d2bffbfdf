package sagemembers

import (
	"encoding/json"
	"net/http"

	"sagestand.example/sagestand/pkg/sagemember"
)

// View is the response of GET /v1/nodes on the operators' interface: the nodes as seen by this node.
type View struct {
	Nodes []NodeView `json:"nodes"`
	// Fresh is false for a while after a pause of the process, when this node doesn't act on its view.
	Fresh     bool  `json:"fresh"`
	Evictions int64 `json:"evictions"`
	Pauses    int64 `json:"pauses"`
}

// NodeView is a node with the names of its phase and state.
type NodeView struct {
	sagemember.Node
	PhaseName string `json:"phase_name"`
	StateName string `json:"state_name"`
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v := View{Fresh: s.Table.Fresh(), Evictions: s.Table.Evictions(), Pauses: s.Table.Pauses()}
	for _, n := range s.Table.All() {
		v.Nodes = append(v.Nodes, NodeView{Node: n, PhaseName: n.Phase.String(), StateName: n.State.String()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&v)
}
