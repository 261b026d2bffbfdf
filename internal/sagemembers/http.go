package sagemembers

import (
	"encoding/json"
	"net/http"

	"sagestand.example/sagestand/pkg/sagemember"
)

// View is what GET /v1/nodes of the operators' interface shows: the nodes as this one sees them.
type View struct {
	Nodes []NodeView `json:"nodes"`
	// Fresh says that this node acts on its view; it doesn't just after a pause.
	Fresh     bool  `json:"fresh"`
	Evictions int64 `json:"evictions"`
	Pauses    int64 `json:"pauses"`
}

// NodeView is a node with its phase and state in words.
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
