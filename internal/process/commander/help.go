package commander

const entryHelp = `Runs an entry until it receives a termination signal, then stops gracefully.

Example:
  currantledge entry --settings entry.hujson`

const agentHelp = `Runs an agent until it receives a termination signal, then stops gracefully.

Example:
  currantledge agent --settings agent.hujson`

const gatewayHelp = `Runs a gateway until it receives a termination signal, then stops gracefully. The settings come from the file that the platform names in CURRANTLEDGE_NODE_FILE.

Example:
  currantledge gateway`

const applyHelp = `Declares the resources of one or more files, ordered so that all references are valid. Resources that are not in the files remain unchanged. Unchanged resources keep their revision. Exits with 3 on a conflict.

Examples:
  currantledge apply --entry 127.10.1.11:8081 examples/ke-central/resources.hujson
  currantledge apply --expect 41 customers.hujson
  currantledge apply --delete customers/old-shop`

const getHelp = `Shows the resources of a kind in the form that apply reads, or one resource. The kinds are failureDomains, modelGroups, services, upstreams, customers, and read-only nodes, maps and decisions.

Examples:
  currantledge get customers > customers.hujson
  currantledge get upstreams ke-a-runner-01
  currantledge get nodes`

const watchHelp = `Follows the changes of a kind or of one resource as JSON lines until interrupted. If the entry stops, the watch continues at the next one.

Examples:
  currantledge watch failureDomains
  currantledge watch --revision 41 customers nairobi-shops`

const drainHelp = `Takes a failure domain or an upstream out of service: new requests stop within 3 s, and running requests finish.

Examples:
  currantledge drain failureDomain ke-central-a
  currantledge drain upstream ke-a-runner-01`

const returnHelp = `Returns a failure domain or an upstream to service. Its load grows as its upstreams warm up.

Examples:
  currantledge return failureDomain ke-central-a
  currantledge return upstream ke-a-runner-01`

const statusHelp = `Shows each node with its state and revision, and names the nodes that lag or cannot be reached.

Examples:
  currantledge status
  currantledge status --json`

const explainHelp = `Shows the decisions on a request with their reasons. It queries all given entries, since each keeps its own decisions. The request id is in the response header Currantledge-Request.

Example:
  currantledge explain --entry 127.10.1.11:8081 --entry 127.10.2.11:8081 0123456789abcdef0123456789abcdef`

const whereHelp = `Asks a gateway where a request would go now, and why, without sending it. The answer names the route, customer, service and priority, the decision (an upstream, a wait or a refusal), what was weighed, and the state that the gateway used. Upstreams are compared by random samples, so that several calls may name several upstreams.

Names and values of --header are those that clients send: Host, the key, the deadline and so on. The body of a request is not known to the gateway; refusals that depend on it are not foreseen. An empty header counts as missing.

Examples:
  currantledge where --gateway 10.0.1.11:9003 --header Host:chat.example --header Credential:KEY /v1/chat
  currantledge where --gateway 10.0.1.11:9003 --json --header Host:shop.example --header Deadline-Ms:4000 /orders`

const checkHelp = `Validates files without any entry and reports all problems at once, with file, line and column. The resource files together are checked as one complete configuration.

Examples:
  currantledge check examples/ke-central/resources.hujson
  currantledge check --entry-settings entry.hujson --agent-settings agent.hujson
  currantledge check --entries examples/ke-central/entries.hujson --agents examples/ke-central/agents.hujson`

const keygenHelp = `Creates the fleet's certificate authority, unless the directory contains one, and a certificate and key for each node.

Example:
  currantledge keygen --out keys --node ke-a-entry-1:entry --node ke-a-agent-01:agent`
