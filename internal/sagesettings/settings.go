package sagesettings

import "sagestand.example/sagestand/pkg/sagewire"

// Settings is the content of the settings file of a node.
type Settings struct {
	Node       Node        `json:"node" doc:"who this node is"`
	Listen     Listen      `json:"listen" doc:"addresses this node listens on"`
	Platform   Platform    `json:"platform" doc:"the platform's service"`
	Seeds      []Seed      `json:"seeds" doc:"nodes to talk to first; their order numbers the roster of the data centres"`
	Keys       Keys        `json:"keys" doc:"files that hold keys"`
	TLS        TLS         `json:"tls" doc:"certificates for operators and nodes; empty: shared keys over plain TCP"`
	Limits     Limits      `json:"limits" doc:"limits on callers"`
	Locate     Locate      `json:"locate" doc:"answers to where to connect"`
	Stop       Stop        `json:"stop" doc:"graceful stop"`
	Isolated   Isolated    `json:"isolated" doc:"what a node does that can't confirm its configuration"`
	Placement  Placement   `json:"placement" doc:"load bound and placement token"`
	Load       Allotments  `json:"load" doc:"in-flight allotments of upstreams; the same on every node"`
	Retry      Retry       `json:"retry" doc:"retry budget"`
	Claims     Claims      `json:"claims" doc:"idempotency keys"`
	Objectives []Objective `json:"objectives" doc:"service levels that report burn measures against"`
}

// Node identifies this node.
type Node struct {
	Name       string `json:"name" doc:"unique name of this node"`
	DataCentre string `json:"data_centre" doc:"data centre this node stands in"`
	Region     string `json:"region" doc:"region of the data centre"`
}

// Listen holds this node's own addresses, each as IP:port.
type Listen struct {
	Entry    string `json:"entry" doc:"callers, as IP:port"`
	Peer     string `json:"peer" doc:"other nodes, as IP:port"`
	Operator string `json:"operator" doc:"operators, metrics and health, as IP:port"`
}

// Platform locates the platform's service.
type Platform struct {
	URL string `json:"url" doc:"base of the Object API, such as http://10.0.0.5:7000"`
}

// Seed is a node that others contact when they start.
type Seed struct {
	Peer       string `json:"peer" doc:"its address for nodes, as IP:port"`
	DataCentre string `json:"data_centre" doc:"its data centre"`
}

// Keys holds the paths of the key files.
type Keys struct {
	PeerFile     string `json:"peer_file" doc:"shared key of the nodes"`
	OperatorFile string `json:"operator_file" doc:"key of the operators"`
}

// TLS holds the paths of the certificate files. Either all three are set or none.
type TLS struct {
	CertFile string `json:"cert_file" doc:"this node's certificate, PEM"`
	KeyFile  string `json:"key_file" doc:"its private key, PEM"`
	CAFile   string `json:"ca_file" doc:"the project's own authority, PEM"`
}

// Limits limits callers' requests.
type Limits struct {
	BodyBytes        int64 `json:"body_bytes" doc:"greatest body of a request"`
	HeaderBytes      int   `json:"header_bytes" doc:"greatest size of a request's headers"`
	HeaderMillis     int   `json:"header_millis" doc:"time a caller has to send the headers"`
	BodyMillis       int   `json:"body_millis" doc:"time a caller has to send the body"`
	DeadlineMillis   int   `json:"deadline_millis" doc:"deadline of a request that states none, and the latest allowed"`
	InFlight         int   `json:"in_flight" doc:"requests this node serves at once"`
	Queued           int   `json:"queued" doc:"requests this node lets wait"`
	HeldAnswersBytes int   `json:"held_answers_bytes" doc:"memory for answers held for repeats"`
}

// Locate configures the responses to callers that ask for the addresses of nodes to connect to.
type Locate struct {
	ValidMillis int `json:"valid_millis" doc:"how long a caller may keep an answer"`
	Addresses   int `json:"addresses" doc:"addresses in an answer"`
}

// Stop configures the graceful stop.
type Stop struct {
	WithinMillis int `json:"within_millis" doc:"requests still running this long after a stop began are cut"`
}

// IsolatedRule determines how a node serves requests while it can't confirm that its configuration is current.
type IsolatedRule string

// The rules for isolated nodes; see sagesync.IsolationPolicy.
const (
	IsolatedFence      IsolatedRule = "fence"
	IsolatedIdempotent IsolatedRule = "idempotent_only"
	IsolatedServe      IsolatedRule = "serve"
	IsolatedQuorum     IsolatedRule = "quorum"
)

// Isolated holds the rule for isolated nodes and the time after which it applies.
type Isolated struct {
	Rule        IsolatedRule `json:"rule" doc:"quorum, fence, idempotent_only or serve"`
	AfterMillis int          `json:"after_millis" doc:"time without confirmation after which the rule applies"`
}

// Placement configures the load bound of upstreams and the validity of placement tokens.
type Placement struct {
	LoadBound        float64 `json:"load_bound" doc:"greatest load of an upstream as a multiple of the mean"`
	TokenValidMillis int     `json:"token_valid_millis" doc:"how long a placement token counts"`
}

// Allotments configures the in-flight allotments of upstreams.
type Allotments struct {
	GrantMillis     int `json:"grant_millis" doc:"how long a granted share of an upstream's limit lasts"`
	PromiseMillis   int `json:"promise_millis" doc:"how long a node that recognised an upstream's home recognises no other"`
	ReportLagMillis int `json:"report_lag_millis" doc:"greatest age of the figures in an engine's load report"`
	Floor           int `json:"floor" doc:"part of a warm engine's limit that is set aside for nodes that can't get a grant"`
	RampCompletions int `json:"ramp_completions" doc:"completed requests after which a cold engine gets one more at once"`
}

// Retry configures the retry budget.
type Retry struct {
	Ratio    float64 `json:"ratio" doc:"retries allowed for each request"`
	Attempts int     `json:"attempts" doc:"greatest number of attempts of one request"`
}

// Claims configures the claims of idempotency keys.
type Claims struct {
	RetentionMillis int `json:"retention_millis" doc:"age beyond which a key is refused"`
	CollectMillis   int `json:"collect_millis" doc:"how long claims are collected for one write"`
}

// Objective is a service-level objective for an account and a priority.
type Objective struct {
	Account       string            `json:"account" doc:"client account, * for each"`
	Priority      sagewire.Priority `json:"priority" doc:"urgent, normal or bulk"`
	LatencyMillis int               `json:"latency_millis" doc:"first byte of a good answer comes within this time"`
	Target        float64           `json:"target" doc:"part of requests that must be good, such as 0.99"`
}

// Default returns settings with every limit set, but no addresses.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 16 << 10, HeaderMillis: 5000, BodyMillis: 30000,
			DeadlineMillis: 300000, InFlight: 2000, Queued: 2000, HeldAnswersBytes: 8 << 20,
		},
		Locate:    Locate{ValidMillis: 5000, Addresses: 3},
		Stop:      Stop{WithinMillis: 330000},
		Isolated:  Isolated{Rule: IsolatedQuorum, AfterMillis: 10000},
		Placement: Placement{LoadBound: 1.5, TokenValidMillis: 3600000},
		Load:      Allotments{GrantMillis: 4000, PromiseMillis: 4000, ReportLagMillis: 1000, Floor: 1, RampCompletions: 4},
		Retry:     Retry{Ratio: 0.1, Attempts: 3},
		Claims:    Claims{RetentionMillis: 86400000, CollectMillis: 50},
		Objectives: []Objective{
			{Account: "*", Priority: sagewire.Urgent, LatencyMillis: 810, Target: 0.99},
			{Account: "*", Priority: sagewire.Normal, LatencyMillis: 2000, Target: 0.99},
		},
	}
}

// Example returns complete settings for a node on loopback.
func Example() Settings {
	s := Default()
	s.Node = Node{Name: "vm1", DataCentre: "derby", Region: "east_midlands"}
	s.Listen = Listen{Entry: "127.0.0.1:7101", Peer: "127.0.0.1:7201", Operator: "127.0.0.1:7301"}
	s.Platform = Platform{URL: "http://127.0.0.1:7000"}
	s.Seeds = []Seed{{Peer: "127.0.0.1:7201", DataCentre: "derby"}, {Peer: "127.0.0.1:7202", DataCentre: "derby"}}
	s.Keys = Keys{PeerFile: "peer.key", OperatorFile: "operator.key"}
	return s
}
