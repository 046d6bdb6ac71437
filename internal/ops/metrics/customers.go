package metrics

// Names and label values of the metrics by customer. Their number is bounded as that of
// the histograms: further customers are counted under OtherTenant.
const (
	// CustomerOperations counts the operations of each LabelCustomer by LabelOutcome.
	CustomerOperations = "customer-operations"
	// CustomerOperationsWaited counts the operations that waited for control's answer.
	CustomerOperationsWaited = "customer-operations-waited"
	// CustomerTokensHeld is how many operations the proxy may still admit.
	CustomerTokensHeld = "customer-tokens-held"
	// CustomerConnections is the number of open connections to all servers together.
	CustomerConnections = "customer-connections"
	// CustomerConnectionsOpened counts the connections that were opened.
	CustomerConnectionsOpened = "customer-connections-opened"

	// LabelCustomer is the label with the customer's name; empty: no customer holds
	// the caller's key.
	LabelCustomer = "customer"
	// LabelOutcome is the label with the outcome of an operation.
	LabelOutcome = "outcome"

	// OutcomeAdmitted is an operation that was within the limit. The outcome of one
	// that was refused is OutcomeRefusedPrefix and the reason.
	OutcomeAdmitted = "admitted"
	// OutcomeRefusedPrefix is the beginning of the outcomes of refused operations.
	OutcomeRefusedPrefix = "refused-"
	// OutcomeRefusedLimit is an operation beyond the customer's limit.
	OutcomeRefusedLimit = OutcomeRefusedPrefix + "limit"
	// OutcomeRefusedKey is an operation under a key that no customer holds.
	OutcomeRefusedKey = OutcomeRefusedPrefix + "key"
	// OutcomeRefusedRight is an operation at a proxy that couldn't confirm that its
	// keys are in force.
	OutcomeRefusedRight = OutcomeRefusedPrefix + "key-right"
)
